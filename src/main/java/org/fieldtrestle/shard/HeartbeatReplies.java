package org.fieldtrestle.shard;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.fieldtrestle.protocol.WorkerCommand;
import org.fieldtrestle.protocol.WorkerProtocol;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.worker.HeartbeatProcessor;
import org.fieldtrestle.worker.LeadershipTerm;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;

/** Answers heartbeats, either at once or after the next placement pass. */
final class HeartbeatReplies {
  private static final int OK = 200;
  private static final int SERVICE_UNAVAILABLE = 503;

  private record DelayedReply(Worker worker, Consumer<Http.Response> reply) {}

  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final HeartbeatProcessor heartbeats;
  private final List<DelayedReply> delayedReplies = new ArrayList<>();

  HeartbeatReplies(LeadershipTerm term, WorkerRegistry workers, HeartbeatProcessor heartbeats) {
    this.term = term;
    this.workers = workers;
    this.heartbeats = heartbeats;
  }

  /** Refuses a heartbeat; the worker then tries another controller. */
  static void refuse(Consumer<Http.Response> reply) {
    reply.accept(new Http.Response(SERVICE_UNAVAILABLE, Http.Response.EMPTY));
  }

  /**
   * Answers a heartbeat with the worker's commands, or refuses it if this controller may not act.
   */
  void answer(Worker worker, Consumer<Http.Response> reply) {
    if (!term.isLeading() || worker.isTerminating() || workers.get(worker.id()) != worker) {
      refuse(reply);
      return;
    }
    List<WorkerCommand> commands = heartbeats.assembleAnswer(worker);
    reply.accept(
        new Http.Response(
            OK, WorkerProtocol.writeHeartbeatAnswer(worker.fencingToken(), commands)));
  }

  /** Leaves the answer to a heartbeat to the next call of {@link #answerDelayed}. */
  void delay(Worker worker, Consumer<Http.Response> reply) {
    delayedReplies.add(new DelayedReply(worker, reply));
  }

  /** Answers all heartbeats that were delayed. */
  void answerDelayed() {
    List<DelayedReply> repliesToSend = List.copyOf(delayedReplies);
    delayedReplies.clear();
    repliesToSend.forEach(delayedReply -> answer(delayedReply.worker(), delayedReply.reply()));
  }
}
