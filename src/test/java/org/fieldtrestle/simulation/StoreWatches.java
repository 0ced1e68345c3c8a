package org.fieldtrestle.simulation;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.transport.Http;

/** The open watches of a simulated key-value store. */
final class StoreWatches {
  private static final class Watch {
    private final String prefix;
    private final long fromRevision;
    private final Consumer<Http.Response> reply;
    private boolean answered;

    Watch(String prefix, long fromRevision, Consumer<Http.Response> reply) {
      this.prefix = prefix;
      this.fromRevision = fromRevision;
      this.reply = reply;
    }
  }

  private final SimulatedTime time;
  private final VersionedKeys keys;
  private final LongSupplier remainingOutageMs;
  private final List<Watch> watches = new ArrayList<>();

  /**
   * Creates the watches of a store.
   *
   * @param remainingOutageMs returns how much longer the outage of the store lasts, in
   *     milliseconds; 0 or less if there is none
   */
  StoreWatches(SimulatedTime time, VersionedKeys keys, LongSupplier remainingOutageMs) {
    this.time = time;
    this.keys = keys;
    this.remainingOutageMs = remainingOutageMs;
  }

  /**
   * Opens a watch. It is answered with the next changes under its prefix, or without changes after
   * {@code blockMs}.
   */
  void open(String prefix, long fromRevision, long blockMs, Consumer<Http.Response> reply) {
    Watch watch = new Watch(prefix, fromRevision, reply);
    watches.add(watch);
    time.after(blockMs, () -> answer(watch, true));
    answerChanged();
  }

  /** Answers all watches for which there are changes, unless the store has an outage. */
  void answerChanged() {
    if (remainingOutageMs.getAsLong() <= 0) {
      List.copyOf(watches).forEach(watch -> answer(watch, false));
    }
  }

  private void answer(Watch watch, boolean timedOut) {
    if (watch.answered) {
      return;
    }
    long leftMs = remainingOutageMs.getAsLong();
    if (leftMs > 0) {
      if (timedOut) {
        time.after(leftMs + 1, () -> answer(watch, true));
      }
      return;
    }
    ArrayNode events = keys.changesAfter(watch.fromRevision, watch.prefix);
    if (timedOut || !events.isEmpty()) {
      watch.answered = true;
      watches.remove(watch);
      ObjectNode answer = Json.object().put("ledger", keys.revision());
      answer.set("log", events);
      watch.reply.accept(new Http.Response(200, Json.bytes(answer)));
    }
  }
}
