package org.fieldtrestle.state;

import java.util.List;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.protocol.MalformedJsonException;
import org.fieldtrestle.protocol.UserProtocol;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.Reactor;

/**
 * A client of the key-value store that keeps to this controller's part of the store's rate limits.
 * Every result says whether the request was executed, was not, or may be at any time. Called on the
 * event loop's thread; so are the callbacks, never before the call has returned unless stated.
 */
public final class KeyValueClient {
  /** The most entries that the store lists at once. */
  public static final int MAX_PAGE = 1000;

  /** Share of a user's patience within which a request has to be over, as a question needs two. */
  private static final double TIMEOUT_SHARE = 0.75;

  /** A page of keys may take this many times as long as other requests. */
  private static final int LIST_TIMEOUTS = 2;

  /** Share of this controller's part of the requests that is used, as clocks and counts differ. */
  private static final double REQUESTS_USED_SHARE = 0.9;

  /** Share of this controller's part of the changes that is used. */
  private static final double CHANGES_USED_SHARE = 0.95;

  private static final int MAX_LATENCY_MS = 60_000;
  private static final int LATENCY_DIGITS = 2;
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int NO_STATUS = 0;
  private static final long NO_LEASE = 0;
  private static final long AVAILABLE = -1;

  private final Reactor reactor;
  private final Http.Caller caller;
  private final String address;
  private final long timeoutMs;
  private final RequestQueue queue;
  private final Histogram latency = new Histogram(MAX_LATENCY_MS, LATENCY_DIGITS);
  private long unavailableSince = AVAILABLE;

  /** Creates a client of the store at the address in the settings; it connects when needed. */
  public KeyValueClient(Reactor reactor, Http.Caller caller, Settings settings) {
    this.reactor = reactor;
    this.caller = caller;
    this.address = settings.stateAddress();
    this.timeoutMs = Math.round(UserProtocol.POLL_TIMEOUT_MS * TIMEOUT_SHARE);
    this.queue =
        new RequestQueue(
            reactor,
            settings.share(settings.state().rps()) * REQUESTS_USED_SHARE,
            settings.share(settings.state().writeRps()) * CHANGES_USED_SHARE);
  }

  /** For how long the store has answered nothing, in ms; 0 while it does answer. */
  public long unavailableForMs() {
    return unavailableSince == AVAILABLE ? 0 : reactor.nowMs() - unavailableSince;
  }

  /** Latencies in ms of all requests but pages and watches. */
  public Histogram latency() {
    return latency;
  }

  /** Whether so many writes wait that new work should be held back. */
  public boolean isCongested() {
    return queue.isCongested();
  }

  /**
   * Carries out a transaction that changes keys, once the limits allow it. Where too many wait
   * already, it is refused with status 429.
   */
  public void commit(Transaction transaction, Consumer<CommitResult> done) {
    if (!queue.write(transaction.changes().size(), () -> send(transaction, done))) {
      reactor.execute(() -> done.accept(new CommitResult.Refused(STATUS_TOO_MANY_REQUESTS)));
    }
  }

  /** Like {@link #commit}, before all writes that wait: for changes of membership alone. */
  public void commitWithPriority(Transaction transaction, Consumer<CommitResult> done) {
    queue.writeFirst(transaction.changes().size(), () -> send(transaction, done));
  }

  /**
   * Compares keys without changing any. It is sent at once, as answers to users depend on it; its
   * caller bounds how often that is.
   */
  public void compare(List<KeyValueProtocol.Condition> conditions, Consumer<CommitResult> done) {
    queue.sentDirectly();
    send(new Transaction(conditions, List.of()), done);
  }

  private void send(Transaction transaction, Consumer<CommitResult> done) {
    call(
        "POST",
        KeyValueProtocol.COMMIT_PATH,
        KeyValueProtocol.writeTransaction(transaction.conditions(), transaction.changes()),
        timeoutMs,
        outcome -> done.accept(commitResult(outcome)));
  }

  private static CommitResult commitResult(Http.Outcome outcome) {
    if (outcome instanceof Http.NotSent) {
      return new CommitResult.Refused(NO_STATUS);
    }
    if (!(outcome instanceof Http.Answer answer)) {
      return new CommitResult.Uncertain();
    }
    try {
      return switch (answer.status()) {
        case STATUS_OK -> new CommitResult.Committed(KeyValueProtocol.readRevision(answer.body()));
        case 409 ->
            new CommitResult.Conflict(
                KeyValueProtocol.readConflictingKeys(answer.body()),
                KeyValueProtocol.readRevision(answer.body()));
        case 400, STATUS_NOT_FOUND, 413, STATUS_TOO_MANY_REQUESTS, 503 ->
            new CommitResult.Refused(answer.status());
        default -> new CommitResult.Uncertain();
      };
    } catch (MalformedJsonException e) {
      return new CommitResult.Uncertain();
    }
  }

  /**
   * Runs something that sends one read, once the limits allow it. Reads and writes take turns.
   *
   * @param send may be run before this returns
   * @return false if too many wait already, so that it is never run
   */
  public boolean enqueueRead(Runnable send) {
    return queue.read(send);
  }

  /**
   * Reads a page of keys without waiting for the limits.
   *
   * @param prefix of all keys that are listed
   * @param after the key before the first one that is listed; empty to begin with the first
   */
  public void listUnthrottled(String prefix, String after, Consumer<ListResult> done) {
    queue.sentDirectly();
    list(prefix, after, MAX_PAGE, done);
  }

  /**
   * Reads a page of keys; to be called in {@link #enqueueRead}.
   *
   * @param prefix of all keys that are listed
   * @param after the key before the first one that is listed; empty to begin with the first
   * @param limit how many are listed at the most
   */
  public void list(String prefix, String after, int limit, Consumer<ListResult> done) {
    call(
        "GET",
        KeyValueProtocol.listPath(prefix, after, limit),
        Http.Response.EMPTY,
        timeoutMs * LIST_TIMEOUTS,
        outcome -> done.accept(listResult(outcome)));
  }

  private static ListResult listResult(Http.Outcome outcome) {
    if (!(outcome instanceof Http.Answer answer)) {
      return new ListResult.Failed();
    }
    if (answer.status() != STATUS_OK) {
      return new ListResult.Refused(answer.status());
    }
    try {
      return new ListResult.Listed(KeyValueProtocol.readListing(answer.body()));
    } catch (MalformedJsonException e) {
      return new ListResult.Failed();
    }
  }

  /**
   * Waits for changes.
   *
   * @param prefix of all keys that are watched
   * @param after the revision after which changes are asked for
   * @param waitMs how long the store waits for the first change
   */
  public void watch(String prefix, long after, long waitMs, Consumer<WatchResult> done) {
    queue.sentDirectly();
    call(
        "GET",
        KeyValueProtocol.watchPath(prefix, after, waitMs),
        Http.Response.EMPTY,
        waitMs * 2 + timeoutMs,
        outcome -> done.accept(watchResult(outcome)));
  }

  private static WatchResult watchResult(Http.Outcome outcome) {
    if (!(outcome instanceof Http.Answer answer)) {
      return new WatchResult.Failed();
    }
    try {
      return switch (answer.status()) {
        case STATUS_OK -> new WatchResult.Changes(KeyValueProtocol.readEvents(answer.body()));
        case 410 -> new WatchResult.TooOld();
        default -> new WatchResult.NotServed();
      };
    } catch (MalformedJsonException e) {
      return new WatchResult.Failed();
    }
  }

  /** Takes a lease of a duration in ms. */
  public void grant(long ttlMs, Consumer<LeaseGrant> done) {
    queue.sentDirectly();
    call(
        "POST",
        KeyValueProtocol.LEASES_PATH,
        KeyValueProtocol.writeLeaseRequest(ttlMs),
        timeoutMs,
        outcome -> done.accept(leaseGrant(outcome)));
  }

  private static LeaseGrant leaseGrant(Http.Outcome outcome) {
    if (!(outcome instanceof Http.Answer answer)) {
      return new LeaseGrant.Failed();
    }
    if (answer.status() != STATUS_OK) {
      return new LeaseGrant.Refused(answer.status());
    }
    try {
      long lease = KeyValueProtocol.readLease(answer.body());
      return lease == NO_LEASE ? new LeaseGrant.Failed() : new LeaseGrant.Granted(lease);
    } catch (MalformedJsonException e) {
      return new LeaseGrant.Failed();
    }
  }

  /** Gives a lease its whole time again. */
  public void renew(long lease, Consumer<LeaseRenewal> done) {
    queue.sentDirectly();
    call(
        "POST",
        KeyValueProtocol.renewPath(lease),
        Http.Response.EMPTY,
        timeoutMs,
        outcome -> done.accept(leaseRenewal(outcome)));
  }

  private static LeaseRenewal leaseRenewal(Http.Outcome outcome) {
    int status = outcome instanceof Http.Answer answer ? answer.status() : NO_STATUS;
    return switch (status) {
      case STATUS_OK -> LeaseRenewal.KEPT;
      case STATUS_NOT_FOUND -> LeaseRenewal.ENDED;
      default -> LeaseRenewal.NO_ANSWER;
    };
  }

  private void call(
      String method, String path, byte[] body, long withinMs, Consumer<Http.Outcome> done) {
    long sentAt = reactor.nowMs();
    caller.call(
        address,
        method,
        path,
        body,
        withinMs,
        outcome -> {
          noteAvailability(outcome);
          if (withinMs == timeoutMs) {
            latency.recordValue(Math.min(MAX_LATENCY_MS, Math.max(0, reactor.nowMs() - sentAt)));
          }
          done.accept(outcome);
        });
  }

  private void noteAvailability(Http.Outcome outcome) {
    // 429 is an answer too: the store is there, and is asked too much.
    if (outcome instanceof Http.Answer answer && answer.status() < FIRST_SERVER_ERROR) {
      unavailableSince = AVAILABLE;
    } else if (unavailableSince == AVAILABLE) {
      unavailableSince = reactor.nowMs();
    }
  }
}
