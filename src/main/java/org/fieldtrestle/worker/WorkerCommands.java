package org.fieldtrestle.worker;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.WorkerCommand;

/**
 * The commands that a shard's workers are to receive, in the answers to their heartbeats or
 * directly ({@link DirectCommands}). {@link CommandPolicy} decides whether a command is allowed.
 */
public final class WorkerCommands {
  private final ControllerContext context;
  private final WorkerRegistry workers;
  private final TaskOutcomes outcomes;
  private final CommandPolicy policy;

  /** Workers for which there may be unsent commands. */
  private final Set<Worker> pendingWorkers = new LinkedHashSet<>();

  /** Creates the commands of this term to these workers. */
  public WorkerCommands(
      ControllerContext context,
      LeadershipTerm term,
      WorkerRegistry workers,
      TaskOutcomes outcomes) {
    this.context = context;
    this.workers = workers;
    this.outcomes = outcomes;
    this.policy = term.policy();
  }

  /** Called when there may be unsent commands for the worker. */
  public void addPending(Worker worker) {
    pendingWorkers.add(worker);
  }

  /** Called when the worker no longer belongs to this shard. */
  void forget(Worker worker) {
    pendingWorkers.remove(worker);
  }

  /**
   * Returns an iterator over the workers for which there may be unsent commands; supports removal.
   */
  Iterator<Worker> pendingWorkers() {
    return pendingWorkers.iterator();
  }

  /** Returns the commands for a worker, decided from the state that is known at this moment. */
  List<WorkerCommand> assembleFor(Worker worker) {
    if (anyMustStop(worker)) {
      for (TaskAttempt attempt : worker.copyOfAttempts()) {
        if (mustStop(attempt)) {
          stop(attempt, 0);
        }
      }
    }
    return CommandAssembler.assemble(
        worker, attempt -> workers.mayStartTasksOn(worker) && mayStart(attempt));
  }

  private boolean anyMustStop(Worker worker) {
    for (TaskAttempt attempt : worker.attempts()) {
      if (mustStop(attempt)) {
        return true;
      }
    }
    return false;
  }

  private boolean mustStop(TaskAttempt attempt) {
    return attempt.isLive()
        && !attempt.stopRequest().isWithoutGrace()
        && attempt.range() != null
        && policy.mustStop(attempt.range());
  }

  private boolean mayStart(TaskAttempt attempt) {
    return attempt.range() != null && policy.mayStart(attempt.range());
  }

  /**
   * Stops a task.
   *
   * @param graceS the grace period in seconds; a second stop can only shorten it
   */
  public void stop(TaskAttempt attempt, double graceS) {
    if (!attempt.isLive() || (attempt.isStopping() && attempt.graceS() <= graceS)) {
      return;
    }
    attempt.stopRequest().request(graceS);
    if (attempt.state() == TaskAttempt.State.STARTING && !attempt.isStartSent()) {
      outcomes.gone(attempt);
    } else {
      pendingWorkers.add(attempt.worker());
    }
  }

  /** Returns why a task that is to be stopped has not ended yet, for the log. */
  String stopPendingReason(TaskAttempt attempt) {
    Worker worker = attempt.worker();
    if (!policy.mayAcknowledge()) {
      return "this controller may not act";
    }
    if (worker.isLeaseExpired() || worker.isTerminating()) {
      return "its worker is lost or being returned";
    }
    if (!workers.mayReceiveCommands(worker)) {
      return "its worker has not shown this epoch's token";
    }
    if (!attempt.stopRequest().isSent()) {
      return worker.hasNoCommandInFlight()
          ? "the stop is to be sent"
          : "the outcome of an earlier command is unknown";
    }
    return "the worker has not reported its end, last heard "
        + (context.nowMs() - worker.connection().lastHeartbeatAtMs())
        + " ms ago";
  }
}
