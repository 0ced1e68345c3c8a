package org.fieldtrestle.bookkeeping;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.Settings;
import org.fieldtrestle.protocol.StateWire;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.Reactor;

/**
 * Our side of the state service: keeps to this controller's part of its limits, and says of every
 * request whether it was executed, was not, or may be at any time.
 */
public final class Store {
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
  public record Txn(List<StateWire.Condition> conditions, List<StateWire.Change> changes) {}

  /** Share of our requests that single reads, which users' questions cause, may take. */
  private static final double READS = 0.5;

  /** Requests waiting for their turn; more are refused, so that the stage before holds back. */
  private static final int WAITING = 64;

  private record Queued(int writes, Runnable send, Runnable refuse) {}

  private final Reactor reactor;
  private final Http.Caller caller;
  private final String address;
  private final long timeoutMs;
  private final Bucket requests;
  private final Bucket writes;
  private final Bucket reads;
  private final ArrayDeque<Queued> queue = new ArrayDeque<>();
  private boolean draining;
  private long failingSince = -1;
  private final Histogram latency = new Histogram(60_000, 2);

  public Store(Reactor reactor, Http.Caller caller, Settings settings) {
    this.reactor = reactor;
    this.caller = caller;
    this.address = settings.stateAddress();
    // A user waits 2 s for a poll; a request to the state service has to be over well before.
    this.timeoutMs = 1500;
    this.requests = new Bucket(settings.share(settings.state().rps()) * 0.9);
    this.reads = new Bucket(settings.share(settings.state().rps()) * READS);
    this.writes = new Bucket(settings.share(settings.state().writeRps()) * 0.95);
  }

  /** For how long the state service has answered nothing that we asked; 0 while it does. */
  public long unansweredMs() {
    return failingSince < 0 ? 0 : reactor.now() - failingSince;
  }

  private void note(Http.Outcome outcome) {
    if (outcome instanceof Http.Answer answer) {
      if (answer.status() < 500 && answer.status() != 429) {
        failingSince = -1;
        return;
      }
      if (answer.status() == 429) {
        return; // it is there, and we ask too much
      }
    }
    if (failingSince < 0) {
      failingSince = reactor.now();
    }
  }

  public Histogram latency() {
    return latency;
  }

  /** True when new work should be held back. */
  public boolean crowded() {
    return queue.size() >= WAITING / 2;
  }

  public void commit(Txn txn, Consumer<Result> done) {
    enqueue(
        txn.changes().size(),
        () ->
            call(
                "POST",
                StateWire.COMMIT,
                StateWire.commit(txn.conditions(), txn.changes()),
                timeoutMs,
                outcome -> done.accept(committed(outcome))),
        () -> done.accept(new Refused(429)));
  }

  private static Result committed(Http.Outcome outcome) {
    if (outcome instanceof Http.NotSent) {
      return new Refused(0);
    }
    if (outcome instanceof Http.Answer answer) {
      try {
        switch (answer.status()) {
          case 200:
            return new Committed(StateWire.readRevision(answer.body()));
          case 409:
            return new Conflict(
                StateWire.readFailed(answer.body()), StateWire.readRevision(answer.body()));
          case 400, 404, 413, 429, 503:
            return new Refused(answer.status());
          default:
            return new Uncertain();
        }
      } catch (Json.Malformed e) {
        return new Uncertain();
      }
    }
    return new Uncertain();
  }

  /**
   * Reads a key. Null: could not be read; an entry without value: does not exist. However many are
   * asked for, they leave the other requests their part and take no place in their queue.
   */
  public void get(String key, Consumer<StateWire.Entry> done) {
    if (reads.waitMs(reactor.now(), 1) > 0 || crowded()) {
      reactor.execute(() -> done.accept(null));
      return;
    }
    reads.take(reactor.now(), 1);
    enqueue(
        0,
        () ->
            call(
                "GET",
                StateWire.getPath(key),
                Http.Response.EMPTY,
                timeoutMs,
                outcome -> {
                  StateWire.Entry entry = null;
                  if (outcome instanceof Http.Answer answer) {
                    try {
                      if (answer.status() == 200) {
                        entry = StateWire.readEntry(answer.body());
                      } else if (answer.status() == 404) {
                        entry = new StateWire.Entry(key, null, 0);
                      }
                    } catch (Json.Malformed e) {
                      entry = null;
                    }
                  }
                  done.accept(entry);
                }),
        () -> done.accept(null));
  }

  /** Reads a page of keys. Null: could not be read. */
  public void list(String prefix, String after, Consumer<StateWire.Listing> done) {
    call(
        "GET",
        StateWire.listPath(prefix, after, 1000),
        Http.Response.EMPTY,
        timeoutMs * 2,
        outcome -> {
          StateWire.Listing listing = null;
          if (outcome instanceof Http.Answer answer && answer.status() == 200) {
            try {
              listing = StateWire.readListing(answer.body());
            } catch (Json.Malformed e) {
              listing = null;
            }
          }
          done.accept(listing);
        });
  }

  /** How a watch ended: changes, too old, or no use. */
  public sealed interface Watched {}

  public record Changes(StateWire.Events events) implements Watched {}

  public record TooOld() implements Watched {}

  public record Failed() implements Watched {}

  public void watch(String prefix, long after, long waitMs, Consumer<Watched> done) {
    call(
        "GET",
        StateWire.watchPath(prefix, after, waitMs),
        Http.Response.EMPTY,
        waitMs * 2 + timeoutMs,
        outcome -> {
          Watched watched = new Failed();
          if (outcome instanceof Http.Answer answer) {
            if (answer.status() == 200) {
              try {
                watched = new Changes(StateWire.readEvents(answer.body()));
              } catch (Json.Malformed e) {
                watched = new Failed();
              }
            } else if (answer.status() == 410) {
              watched = new TooOld();
            }
          }
          done.accept(watched);
        });
  }

  /** Takes a lease. 0: none was to be had. */
  public void grant(long ttlMs, Consumer<Long> done) {
    call(
        "POST",
        StateWire.LEASES,
        StateWire.ttl(ttlMs),
        timeoutMs,
        outcome -> {
          long lease = 0;
          if (outcome instanceof Http.Answer answer && answer.status() == 200) {
            try {
              lease = StateWire.readLease(answer.body());
            } catch (Json.Malformed e) {
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
    call(
        "POST",
        StateWire.renewPath(lease),
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
    requests.take(reactor.now(), 1);
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

  private void enqueue(int changes, Runnable send, Runnable refuse) {
    if (queue.size() >= WAITING) {
      reactor.execute(refuse);
      return;
    }
    queue.addLast(new Queued(changes, send, refuse));
    drain();
  }

  private void drain() {
    if (draining) {
      return;
    }
    while (!queue.isEmpty()) {
      Queued next = queue.peekFirst();
      long wait =
          Math.max(requests.waitMs(reactor.now(), 1), writes.waitMs(reactor.now(), next.writes()));
      if (wait > 0) {
        draining = true;
        reactor.schedule(
            wait,
            () -> {
              draining = false;
              drain();
            });
        return;
      }
      queue.removeFirst();
      writes.take(reactor.now(), next.writes());
      next.send().run();
    }
  }

  /** A token bucket that holds one second's worth. */
  static final class Bucket {
    private final double perSecond;
    private double level;
    private long at = Long.MIN_VALUE;

    Bucket(double perSecond) {
      this.perSecond = perSecond;
      this.level = perSecond;
    }

    private void refill(long now) {
      if (at != Long.MIN_VALUE) {
        level = Math.min(perSecond, level + (now - at) * perSecond / 1000);
      }
      at = now;
    }

    long waitMs(long now, double amount) {
      refill(now);
      double missing = Math.min(amount, perSecond) - level;
      return missing <= 0 ? 0 : (long) Math.ceil(missing * 1000 / perSecond);
    }

    void take(long now, double amount) {
      refill(now);
      level -= amount;
    }
  }
}
