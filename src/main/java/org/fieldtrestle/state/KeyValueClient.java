package org.fieldtrestle.state;

import java.util.List;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.protocol.UserProtocol;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.Reactor;

/**
 * Our side of the state service: keeps to this controller's part of its limits, and says of every
 * request whether it was executed, was not, or may be at any time.
 */
public final class KeyValueClient {
  /** What became of a request. */
  public sealed interface Result {}

  /** Executed. */
  public record Committed(long revision) implements Result {}

  /** Not executed, since these keys have other versions. */
  public record Conflict(List<String> keys, long revision) implements Result {}

  /** Not executed: limits, an outage, or a lease that has ended. */
  public record Refused(int status) implements Result {}

  /** May have been executed, or may yet be. */
  public record Uncertain() implements Result {}

  /** A transaction. */
  public record Transaction(
      List<KeyValueProtocol.Condition> conditions, List<KeyValueProtocol.Change> changes) {}

  /** Share of a user's patience within which a request has to be over, as a question needs two. */
  private static final double TIMEOUT_SHARE = 0.75;

  private static final int TOO_MANY_REQUESTS = 429;

  /** Share of this controller's part of the requests that is used, as clocks and counts differ. */
  private static final double REQUESTS_USED = 0.9;

  /** Share of this controller's part of the changes that is used. */
  private static final double CHANGES_USED = 0.95;

  private final Reactor reactor;
  private final Http.Caller caller;
  private final String address;
  private final long timeoutMs;
  private final RequestQueue queue;
  private long failingSince = -1;
  private final Histogram latency = new Histogram(60_000, 2);

  public KeyValueClient(Reactor reactor, Http.Caller caller, Settings settings) {
    this.reactor = reactor;
    this.caller = caller;
    this.address = settings.stateAddress();
    this.timeoutMs = Math.round(UserProtocol.POLL_TIMEOUT_MS * TIMEOUT_SHARE);
    this.queue =
        new RequestQueue(
            reactor,
            settings.share(settings.state().rps()) * REQUESTS_USED,
            settings.share(settings.state().writeRps()) * CHANGES_USED);
  }

  /** For how long the state service has answered nothing that we asked; 0 while it does. */
  public long unavailableForMs() {
    return failingSince < 0 ? 0 : reactor.now() - failingSince;
  }

  private void note(Http.Outcome outcome) {
    // 429 is an answer too: the service is there, and we ask too much.
    if (outcome instanceof Http.Answer answer && answer.status() < 500) {
      failingSince = -1;
    } else if (failingSince < 0) {
      failingSince = reactor.now();
    }
  }

  public Histogram latency() {
    return latency;
  }

  /** True when new work should be held back. */
  public boolean isCongested() {
    return queue.isCongested();
  }

  /** Carries out a transaction that changes keys, once the limits allow it. */
  public void commit(Transaction txn, Consumer<Result> done) {
    if (!queue.write(txn.changes().size(), () -> send(txn, done))) {
      reactor.execute(() -> done.accept(new Refused(TOO_MANY_REQUESTS)));
    }
  }

  /** Like {@link #commit}, before all writes that wait: for changes of membership alone. */
  public void commitWithPriority(Transaction txn, Consumer<Result> done) {
    queue.writeFirst(txn.changes().size(), () -> send(txn, done));
  }

  /**
   * Compares keys without changing any. It waits for nothing, as answers to users depend on it; how
   * often it is asked for is bounded by the caller.
   */
  public void compare(List<KeyValueProtocol.Condition> conditions, Consumer<Result> done) {
    queue.sentDirectly();
    send(new Transaction(conditions, List.of()), done);
  }

  private void send(Transaction txn, Consumer<Result> done) {
    call(
        "POST",
        KeyValueProtocol.COMMIT,
        KeyValueProtocol.commit(txn.conditions(), txn.changes()),
        timeoutMs,
        outcome -> done.accept(committed(outcome)));
  }

  private static Result committed(Http.Outcome outcome) {
    if (outcome instanceof Http.NotSent) {
      return new Refused(0);
    }
    if (outcome instanceof Http.Answer answer) {
      try {
        switch (answer.status()) {
          case 200:
            return new Committed(KeyValueProtocol.readRevision(answer.body()));
          case 409:
            return new Conflict(
                KeyValueProtocol.readFailed(answer.body()),
                KeyValueProtocol.readRevision(answer.body()));
          case 400, 404, 413, 429, 503:
            return new Refused(answer.status());
          default:
            return new Uncertain();
        }
      } catch (Json.MalformedJsonException e) {
        return new Uncertain();
      }
    }
    return new Uncertain();
  }

  /**
   * Runs something that sends one read, once the limits allow it. Reads and writes take turns.
   *
   * @return false if too many wait already, so that it is never run
   */
  public boolean enqueueRead(Runnable send) {
    return queue.read(send);
  }

  /** The most entries that the state service lists at once. */
  public static final int MAX_PAGE = 1000;

  /** Reads a page of keys without waiting for the limits. Null: could not be read. */
  public void listUnthrottled(
      String prefix, String after, Consumer<KeyValueProtocol.Listing> done) {
    queue.sentDirectly();
    list(prefix, after, MAX_PAGE, done);
  }

  /** Reads a page of keys; to be sent {@link #whenReadAllowed}. Null: could not be read. */
  public void list(String prefix, String after, int most, Consumer<KeyValueProtocol.Listing> done) {
    call(
        "GET",
        KeyValueProtocol.listPath(prefix, after, most),
        Http.Response.EMPTY,
        timeoutMs * 2,
        outcome -> {
          KeyValueProtocol.Listing listing = null;
          if (outcome instanceof Http.Answer answer && answer.status() == 200) {
            try {
              listing = KeyValueProtocol.readListing(answer.body());
            } catch (Json.MalformedJsonException e) {
              listing = null;
            }
          }
          done.accept(listing);
        });
  }

  /** How a watch ended. */
  public sealed interface Watched {}

  /** All changes since the revision at which it began. */
  public record Changes(KeyValueProtocol.Events events) implements Watched {}

  /** The changes since that revision are not kept any more. */
  public record TooOld() implements Watched {}

  /** The state service answers, but serves no watch now. */
  public record NotServed() implements Watched {}

  /** No answer came, or none that can be used. */
  public record Failed() implements Watched {}

  public void watch(String prefix, long after, long waitMs, Consumer<Watched> done) {
    queue.sentDirectly();
    call(
        "GET",
        KeyValueProtocol.watchPath(prefix, after, waitMs),
        Http.Response.EMPTY,
        waitMs * 2 + timeoutMs,
        outcome -> done.accept(watched(outcome)));
  }

  private static Watched watched(Http.Outcome outcome) {
    if (!(outcome instanceof Http.Answer answer)) {
      return new Failed();
    }
    try {
      return switch (answer.status()) {
        case 200 -> new Changes(KeyValueProtocol.readEvents(answer.body()));
        case 410 -> new TooOld();
        default -> new NotServed();
      };
    } catch (Json.MalformedJsonException e) {
      return new Failed();
    }
  }

  /** Takes a lease. 0: none was to be had. */
  public void grant(long ttlMs, Consumer<Long> done) {
    queue.sentDirectly();
    call(
        "POST",
        KeyValueProtocol.LEASES,
        KeyValueProtocol.ttl(ttlMs),
        timeoutMs,
        outcome -> {
          long lease = 0;
          if (outcome instanceof Http.Answer answer && answer.status() == 200) {
            try {
              lease = KeyValueProtocol.readLease(answer.body());
            } catch (Json.MalformedJsonException e) {
              lease = 0;
            }
          }
          done.accept(lease);
        });
  }

  /** How a renewal went. */
  public enum Renewal {
    KEPT,
    ENDED,
    NO_ANSWER
  }

  public void renew(long lease, Consumer<Renewal> done) {
    queue.sentDirectly();
    call(
        "POST",
        KeyValueProtocol.renewPath(lease),
        Http.Response.EMPTY,
        timeoutMs,
        outcome -> {
          int status = outcome instanceof Http.Answer answer ? answer.status() : 0;
          done.accept(
              status == 200 ? Renewal.KEPT : status == 404 ? Renewal.ENDED : Renewal.NO_ANSWER);
        });
  }

  private void call(
      String method, String path, byte[] body, long timeout, Consumer<Http.Outcome> done) {
    long sent = reactor.now();
    caller.call(
        address,
        method,
        path,
        body,
        timeout,
        outcome -> {
          note(outcome);
          if (timeout == timeoutMs) {
            latency.recordValue(Math.min(60_000, Math.max(0, reactor.now() - sent)));
          }
          done.accept(outcome);
        });
  }
}
