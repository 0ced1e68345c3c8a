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

/** Answers heartbeats, some of them after the placement pass that is due. */
final class HeartbeatReplies {
  private static final int OK = 200;
  private static final int SERVICE_UNAVAILABLE = 503;

  private record Delayed(Worker worker, Consumer<Http.Response> reply) {}

  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final HeartbeatProcessor heartbeats;
  private final List<Delayed> delayed = new ArrayList<>();

  HeartbeatReplies(LeadershipTerm term, WorkerRegistry workers, HeartbeatProcessor heartbeats) {
    this.term = term;
    this.workers = workers;
    this.heartbeats = heartbeats;
  }

  /** Answers that the heartbeat does not count; the worker asks another controller then. */
  static void refuse(Consumer<Http.Response> reply) {
    reply.accept(new Http.Response(SERVICE_UNAVAILABLE, Http.Response.EMPTY));
  }

  /** Answers a heartbeat with the worker's commands, if that is allowed at this moment. */
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

  /** The heartbeat is to be answered by the next {@link #answerDelayed}. */
  void delay(Worker worker, Consumer<Http.Response> reply) {
    delayed.add(new Delayed(worker, reply));
  }

  void answerDelayed() {
    List<Delayed> now = List.copyOf(delayed);
    delayed.clear();
    now.forEach(one -> answer(one.worker(), one.reply()));
  }
}
