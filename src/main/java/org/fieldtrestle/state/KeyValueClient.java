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
 * A client of the key-value store that stays within this controller's share of the store's rate
 * limits. Every result says whether the request was executed, was not executed, or may yet be
 * executed at any time. All methods must be called on the reactor's thread. Callbacks run on the
 * same thread, and not before the call has returned unless stated otherwise.
 */
public final class KeyValueClient {
  /** The maximum number of entries in one page of a listing. */
  public static final int MAX_PAGE_ENTRIES = 1000;

  /**
   * Timeout of a request as a share of the time for which a user waits for an answer. A request
   * must end before that time, because answering a query takes two requests.
   */
  private static final double TIMEOUT_SHARE = 0.75;

  /** Reading a page of keys may take this many times as long as another request. */
  private static final int LIST_TIMEOUT_FACTOR = 2;

  /**
   * Share of its allowed requests that this controller uses. The rest is a margin, because the
   * clocks and counts of the controllers and the store differ.
   */
  private static final double REQUESTS_USED_SHARE = 0.9;

  /** Share of its allowed changes of keys that this controller uses. */
  private static final double CHANGES_USED_SHARE = 0.95;

  private static final int MAX_RECORDED_LATENCY_MS = 60_000;
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
  private final Histogram latency = new Histogram(MAX_RECORDED_LATENCY_MS, LATENCY_DIGITS);
  private long unavailableSinceMs = AVAILABLE;

  /** Creates a client of the store at the address in the settings; it connects on demand. */
  public KeyValueClient(Reactor reactor, Http.Caller caller, Settings settings) {
    this.reactor = reactor;
    this.caller = caller;
    this.address = settings.keyValueStoreAddress();
    this.timeoutMs = Math.round(UserProtocol.QUERY_TIMEOUT_MS * TIMEOUT_SHARE);
    this.queue =
        new RequestQueue(
            reactor,
            settings.equalShare(settings.storeLimits().requestsPerS()) * REQUESTS_USED_SHARE,
            settings.equalShare(settings.storeLimits().changesPerS()) * CHANGES_USED_SHARE);
  }

  /** Returns for how long the store has been unavailable, in milliseconds; 0 while it answers. */
  public long unavailableForMs() {
    return unavailableSinceMs == AVAILABLE ? 0 : reactor.nowMs() - unavailableSinceMs;
  }

  /** Returns the latencies, in milliseconds, of all requests except listings and watches. */
  public Histogram latency() {
    return latency;
  }

  /** Returns whether so many writes are waiting that new work should be held back. */
  public boolean isCongested() {
    return queue.isCongested();
  }

  /**
   * Sends a transaction that changes keys, once the rate limits allow it. If too many writes are
   * waiting already, the transaction is refused with status 429.
   */
  public void commit(Transaction transaction, Consumer<CommitResult> callback) {
    if (!queue.enqueueWrite(transaction.changes().size(), () -> send(transaction, callback))) {
      reactor.execute(() -> callback.accept(new CommitResult.Refused(STATUS_TOO_MANY_REQUESTS)));
    }
  }

  /**
   * Like {@link #commit}, but ahead of all waiting writes and never refused for their number. Only
   * for changes of membership and leadership.
   */
  public void commitWithPriority(Transaction transaction, Consumer<CommitResult> callback) {
    queue.enqueueWriteFirst(transaction.changes().size(), () -> send(transaction, callback));
  }

  /**
   * Compares versions of keys without changing any key. The request is sent at once, because
   * answers to users depend on it; the caller must limit how often this happens.
   */
  public void compare(
      List<KeyValueProtocol.Condition> conditions, Consumer<CommitResult> callback) {
    queue.requestSentDirectly();
    send(new Transaction(conditions, List.of()), callback);
  }

  private void send(Transaction transaction, Consumer<CommitResult> callback) {
    call(
        "POST",
        KeyValueProtocol.COMMIT_PATH,
        KeyValueProtocol.writeTransaction(transaction.conditions(), transaction.changes()),
        timeoutMs,
        outcome -> callback.accept(commitResult(outcome)));
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
   * Runs an action that sends one read, once the rate limits allow it. Reads and writes take turns.
   *
   * @param send the action; it may run before this method returns
   * @return {@code false} if too many reads are waiting already; the action never runs then
   */
  public boolean enqueueRead(Runnable send) {
    return queue.enqueueRead(send);
  }

  /**
   * Reads a page of keys without waiting for the rate limits.
   *
   * @param prefix the common prefix of the listed keys
   * @param after the listing begins after this key; empty to begin with the first key
   */
  public void listUnthrottled(String prefix, String after, Consumer<ListResult> callback) {
    queue.requestSentDirectly();
    list(prefix, after, MAX_PAGE_ENTRIES, callback);
  }

  /**
   * Reads a page of keys; to be called by an action that is passed to {@link #enqueueRead}.
   *
   * @param prefix the common prefix of the listed keys
   * @param after the listing begins after this key; empty to begin with the first key
   * @param limit the maximum number of listed entries
   */
  public void list(String prefix, String after, int limit, Consumer<ListResult> callback) {
    call(
        "GET",
        KeyValueProtocol.listPath(prefix, after, limit),
        Http.Response.EMPTY,
        timeoutMs * LIST_TIMEOUT_FACTOR,
        outcome -> callback.accept(listResult(outcome)));
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
   * Waits for changes of keys.
   *
   * @param prefix the common prefix of the watched keys
   * @param after only changes after this revision are returned
   * @param waitMs how long the store waits for the first change, in milliseconds
   */
  public void watch(String prefix, long after, long waitMs, Consumer<WatchResult> callback) {
    queue.requestSentDirectly();
    call(
        "GET",
        KeyValueProtocol.watchPath(prefix, after, waitMs),
        Http.Response.EMPTY,
        waitMs * 2 + timeoutMs,
        outcome -> callback.accept(watchResult(outcome)));
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

  /** Requests a new lease with the given time to live in milliseconds. */
  public void requestLease(long ttlMs, Consumer<LeaseGrant> callback) {
    queue.requestSentDirectly();
    call(
        "POST",
        KeyValueProtocol.LEASES_PATH,
        KeyValueProtocol.writeLeaseRequest(ttlMs),
        timeoutMs,
        outcome -> callback.accept(leaseGrant(outcome)));
  }

  private static LeaseGrant leaseGrant(Http.Outcome outcome) {
    if (!(outcome instanceof Http.Answer answer)) {
      return new LeaseGrant.Failed();
    }
    if (answer.status() != STATUS_OK) {
      return new LeaseGrant.Refused(answer.status());
    }
    try {
      long leaseId = KeyValueProtocol.readLeaseId(answer.body());
      return leaseId == NO_LEASE ? new LeaseGrant.Failed() : new LeaseGrant.Granted(leaseId);
    } catch (MalformedJsonException e) {
      return new LeaseGrant.Failed();
    }
  }

  /** Renews a lease, so that its full time to live starts again. */
  public void renewLease(long leaseId, Consumer<LeaseRenewal> callback) {
    queue.requestSentDirectly();
    call(
        "POST",
        KeyValueProtocol.renewPath(leaseId),
        Http.Response.EMPTY,
        timeoutMs,
        outcome -> callback.accept(leaseRenewal(outcome)));
  }

  private static LeaseRenewal leaseRenewal(Http.Outcome outcome) {
    int status = outcome instanceof Http.Answer answer ? answer.status() : NO_STATUS;
    return switch (status) {
      case STATUS_OK -> LeaseRenewal.RENEWED;
      case STATUS_NOT_FOUND -> LeaseRenewal.EXPIRED;
      default -> LeaseRenewal.UNKNOWN;
    };
  }

  private void call(
      String method,
      String path,
      byte[] body,
      long requestTimeoutMs,
      Consumer<Http.Outcome> callback) {
    long sentAtMs = reactor.nowMs();
    caller.call(
        address,
        method,
        path,
        body,
        requestTimeoutMs,
        outcome -> {
          recordAvailability(outcome);
          if (requestTimeoutMs == timeoutMs) {
            latency.recordValue(
                Math.min(MAX_RECORDED_LATENCY_MS, Math.max(0, reactor.nowMs() - sentAtMs)));
          }
          callback.accept(outcome);
        });
  }

  private void recordAvailability(Http.Outcome outcome) {
    // Status 429 is an answer too: the store is available, but receives too many requests.
    if (outcome instanceof Http.Answer answer && answer.status() < FIRST_SERVER_ERROR) {
      unavailableSinceMs = AVAILABLE;
    } else if (unavailableSinceMs == AVAILABLE) {
      unavailableSinceMs = reactor.nowMs();
    }
  }
}
