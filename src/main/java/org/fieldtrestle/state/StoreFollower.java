package org.fieldtrestle.state;

import java.util.HashSet;
import java.util.Set;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.transport.Reactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a {@link StateCache} up to date: reads all live keys page by page, then watches them, and
 * reads them again where the watch cannot go on.
 */
final class StoreFollower {
  private static final Logger LOG = LoggerFactory.getLogger(StoreFollower.class);

  /** What opening a watch and reading its answer costs of a whole core, about. */
  private static final double WATCH_COST_MS = 0.5;

  /** Share of this controller's processor time that watches may take. */
  private static final double WATCH_CPU_SHARE = 0.05;

  /** Reopened watches may take a quarter of the requests per second that are allowed. */
  private static final double WATCH_REQUEST_MS = 4000;

  /** Watch intervals after which a failed request is repeated. */
  private static final int RETRY_INTERVALS = 4;

  /** Watch intervals after which a page that failed more than once is asked for again. */
  private static final int LONG_RETRY_INTERVALS = 8;

  /** Watches that fail in a row before everything is read again. */
  private static final int MAX_FAILED_WATCHES = 2;

  /** Times a watch's wait after which the cache counts as stale. */
  private static final int STALE_WAITS = 2;

  /** A watch waits for so much of the time for which a controller may act on one lease renewal. */
  private static final int WATCHES_PER_LEASE = 6;

  private final Reactor reactor;
  private final KeyValueClient store;
  private final StateCache cache;
  private final long watchIntervalMs;
  private final long watchWaitMs;
  private boolean watching;
  private long watchSentAt;
  private int failedWatches;

  StoreFollower(Reactor reactor, KeyValueClient store, StateCache cache, Settings settings) {
    this.reactor = reactor;
    this.store = store;
    this.cache = cache;
    this.watchIntervalMs =
        Math.round(
            Math.max(
                WATCH_REQUEST_MS / settings.share(settings.state().rps()),
                WATCH_COST_MS / (settings.limits().cpuShare() * WATCH_CPU_SHARE)));
    this.watchWaitMs = settings.stateLeaseMs() / WATCHES_PER_LEASE;
  }

  /** Begins to follow, without end. */
  void start() {
    reload();
  }

  /** Least time between the beginnings of two watches, in ms. */
  long watchIntervalMs() {
    return watchIntervalMs;
  }

  /** Age in ms beyond which the cache counts as stale. */
  long staleAfterMs() {
    return STALE_WAITS * watchWaitMs;
  }

  /**
   * Reads everything, page by page. A page that fails is asked for again; the pages before it are
   * kept, as what has changed since the first one comes by the watch that begins there.
   */
  private final class Reload {
    private final long startedAt = reactor.nowMs();
    private final Set<String> seen = new HashSet<>();
    private String lastKey = "";
    private long firstRevision = -1;
    private long retryMs = watchIntervalMs * RETRY_INTERVALS;

    void nextPage() {
      store.listUnthrottled(StateKeys.LIVE_PREFIX, lastKey, this::received);
    }

    private void received(ListResult result) {
      if (result instanceof ListResult.Listed listed) {
        take(listed.page());
      } else {
        reactor.schedule(retryMs, this::nextPage);
        retryMs = watchIntervalMs * LONG_RETRY_INTERVALS;
      }
    }

    private void take(KeyValueProtocol.Listing page) {
      if (firstRevision < 0) {
        firstRevision = page.revision();
      }
      for (KeyValueProtocol.Entry entry : page.entries()) {
        seen.add(entry.key());
        cache.apply(entry);
        lastKey = entry.key();
      }
      if (page.more() && !page.entries().isEmpty()) {
        nextPage();
      } else {
        finish();
      }
    }

    private void finish() {
      cache.removeUnseen(seen, firstRevision);
      cache.advance(firstRevision, startedAt);
      LOG.atInfo()
          .addKeyValue("revision", firstRevision)
          .addKeyValue("jobs", cache.jobs().size())
          .addKeyValue("machines", cache.machines().size())
          .log("state read");
      watch();
    }
  }

  private void reload() {
    failedWatches = 0;
    new Reload().nextPage();
  }

  private void watch() {
    if (watching) {
      return;
    }
    watching = true;
    watchSentAt = reactor.nowMs();
    store.watch(StateKeys.LIVE_PREFIX, cache.appliedRevision(), watchWaitMs, this::watchEnded);
  }

  private void watchEnded(WatchResult result) {
    watching = false;
    if (result instanceof WatchResult.Changes changes) {
      take(changes.events());
    } else if (result instanceof WatchResult.TooOld) {
      LOG.atInfo().addKeyValue("fromRevision", cache.appliedRevision()).log("watch too old");
      reload();
    } else if (result instanceof WatchResult.NotServed) {
      retryWatch();
    } else {
      watchFailed();
    }
  }

  private void take(KeyValueProtocol.Events events) {
    failedWatches = 0;
    events.events().forEach(cache::apply);
    cache.advance(events.revision(), watchSentAt);
    long pauseMs = Math.max(0, watchSentAt + watchIntervalMs - reactor.nowMs());
    reactor.schedule(pauseMs, this::watch);
  }

  private void retryWatch() {
    reactor.schedule(watchIntervalMs * RETRY_INTERVALS, this::watch);
  }

  /**
   * An answer holds all changes since the watch's revision and has no limit, so that after a long
   * failure it may be larger than a response may be and would fail again and again; the pages of a
   * reload are bounded.
   */
  private void watchFailed() {
    failedWatches++;
    boolean stale = reactor.nowMs() - cache.freshAsOf() > staleAfterMs();
    if (failedWatches >= MAX_FAILED_WATCHES && stale) {
      LOG.atWarn()
          .addKeyValue("fromRevision", cache.appliedRevision())
          .addKeyValue("failedWatches", failedWatches)
          .log("watches fail, state is read again");
      reactor.schedule(watchIntervalMs * RETRY_INTERVALS, this::reload);
    } else {
      retryWatch();
    }
  }
}
