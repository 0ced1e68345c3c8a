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
 * reads them all again if the watch cannot continue.
 */
final class StoreFollower {
  private static final Logger LOG = LoggerFactory.getLogger(StoreFollower.class);

  /** Approximate time in ms for which opening a watch and reading its answer occupy a full core. */
  private static final double WATCH_COST_MS = 0.5;

  /** Share of this controller's processor time that watches may take. */
  private static final double WATCH_CPU_SHARE = 0.05;

  /**
   * The watch interval in ms if one request per second is allowed: watches may take a quarter of
   * the requests.
   */
  private static final double WATCH_INTERVAL_MS_AT_ONE_RPS = 4000;

  /** A failed request is repeated after this many watch intervals. */
  private static final int RETRY_INTERVALS = 4;

  /** A page that has failed more than once is requested again after this many watch intervals. */
  private static final int REPEATED_RETRY_INTERVALS = 8;

  /** After this many failed watches in a row, a stale cache is read again completely. */
  private static final int MAX_FAILED_WATCHES = 2;

  /** The cache counts as stale if it is older than this many times the wait of a watch. */
  private static final int STALE_AFTER_WATCH_WAITS = 2;

  /**
   * A watch waits for changes for the time for which a controller may act on one lease renewal,
   * divided by this number.
   */
  private static final int WATCH_WAITS_PER_LEASE = 6;

  private final Reactor reactor;
  private final KeyValueClient store;
  private final StateCache cache;
  private final long watchIntervalMs;
  private final long watchWaitMs;
  private boolean watching;
  private long watchSentAtMs;
  private int failedWatches;

  StoreFollower(Reactor reactor, KeyValueClient store, StateCache cache, Settings settings) {
    this.reactor = reactor;
    this.store = store;
    this.cache = cache;
    this.watchIntervalMs =
        Math.round(
            Math.max(
                WATCH_INTERVAL_MS_AT_ONE_RPS
                    / settings.equalShare(settings.storeLimits().requestsPerS()),
                WATCH_COST_MS / (settings.processLimits().cpuShare() * WATCH_CPU_SHARE)));
    this.watchWaitMs = settings.controllerLeaseMs() / WATCH_WAITS_PER_LEASE;
  }

  /** Starts to follow the store; this never ends. */
  void start() {
    reload();
  }

  /** Returns the minimum time between the starts of two watches, in milliseconds. */
  long watchIntervalMs() {
    return watchIntervalMs;
  }

  /** Returns the age beyond which the cache counts as stale, in milliseconds. */
  long staleAfterMs() {
    return STALE_AFTER_WATCH_WAITS * watchWaitMs;
  }

  /**
   * Reads all live keys, page by page. A page that fails is requested again. The pages before it
   * are kept, because the following watch begins at the revision of the first page and delivers
   * every change since then.
   */
  private final class Reload {
    private final long startedAtMs = reactor.nowMs();
    private final Set<String> listedKeys = new HashSet<>();
    private String lastKey = "";
    private long firstRevision = -1;
    private long retryMs = watchIntervalMs * RETRY_INTERVALS;

    void nextPage() {
      store.listUnthrottled(StateKeys.LIVE_PREFIX, lastKey, this::pageReceived);
    }

    private void pageReceived(ListResult result) {
      if (result instanceof ListResult.Listed listed) {
        applyPage(listed.page());
      } else {
        reactor.schedule(retryMs, this::nextPage);
        retryMs = watchIntervalMs * REPEATED_RETRY_INTERVALS;
      }
    }

    private void applyPage(KeyValueProtocol.Listing page) {
      if (firstRevision < 0) {
        firstRevision = page.revision();
      }
      for (KeyValueProtocol.Entry entry : page.entries()) {
        listedKeys.add(entry.key());
        cache.apply(entry);
        lastKey = entry.key();
      }
      if (page.hasMore() && !page.entries().isEmpty()) {
        nextPage();
      } else {
        finish();
      }
    }

    private void finish() {
      cache.removeUnlisted(listedKeys, firstRevision);
      cache.advance(firstRevision, startedAtMs);
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
    watchSentAtMs = reactor.nowMs();
    store.watch(StateKeys.LIVE_PREFIX, cache.appliedRevision(), watchWaitMs, this::watchEnded);
  }

  private void watchEnded(WatchResult result) {
    watching = false;
    if (result instanceof WatchResult.Changes changes) {
      applyEvents(changes.events());
    } else if (result instanceof WatchResult.TooOld) {
      LOG.atInfo().addKeyValue("fromRevision", cache.appliedRevision()).log("watch too old");
      reload();
    } else if (result instanceof WatchResult.NotServed) {
      retryWatch();
    } else {
      watchFailed();
    }
  }

  private void applyEvents(KeyValueProtocol.Events events) {
    failedWatches = 0;
    events.events().forEach(cache::apply);
    cache.advance(events.revision(), watchSentAtMs);
    long pauseMs = Math.max(0, watchSentAtMs + watchIntervalMs - reactor.nowMs());
    reactor.schedule(pauseMs, this::watch);
  }

  private void retryWatch() {
    reactor.schedule(watchIntervalMs * RETRY_INTERVALS, this::watch);
  }

  /**
   * Retries the watch, or reads everything again if that is unlikely to help. The answer to a watch
   * holds all changes since the watch's revision and is not limited in size. After a long outage it
   * may exceed the maximum size of a response, and then every retry would fail; the pages of a
   * reload are bounded.
   */
  private void watchFailed() {
    failedWatches++;
    boolean stale = reactor.nowMs() - cache.freshAsOfMs() > staleAfterMs();
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
