package org.fieldtrestle.worker;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.ExitCause;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles tasks whose attempt has ended or was lost: the task is done or waits again. */
public final class TaskOutcomes {
  private static final Logger LOG = LoggerFactory.getLogger(TaskOutcomes.class);

  /**
   * Heartbeat intervals for which a worker that refused a task gets no tasks, and the task is not
   * started again.
   */
  private static final double REFUSAL_PAUSE_INTERVALS = 0.5;

  private final ControllerContext context;
  private final WorkerRegistry workers;
  private final FailureTracker failures;
  private final RangeProgressWriter progressWriter;
  private final ShardEvents events;

  /** Creates a handler for the tasks on these workers. */
  public TaskOutcomes(
      ControllerContext context,
      WorkerRegistry workers,
      FailureTracker failures,
      RangeProgressWriter progressWriter,
      ShardEvents events) {
    this.context = context;
    this.workers = workers;
    this.failures = failures;
    this.progressWriter = progressWriter;
    this.events = events;
  }

  /** Called when a task has ended by itself or because of a stop command. */
  void exited(TaskAttempt attempt) {
    LOG.debug("task {} exited: {}", attempt, attempt.exitCause());
    if (attempt.range() == null) {
      attempt.markClearable();
    } else if (attempt.exitCause() == ExitCause.DONE) {
      completed(attempt);
    } else {
      attempt.markClearable();
      if (attempt.range().placed().get(attempt.offset()) == attempt) {
        retry(attempt);
        progressWriter.removeIfEnded(attempt.range());
      }
    }
  }

  private void completed(TaskAttempt attempt) {
    TaskRange range = attempt.range();
    range.finish(attempt.offset());
    failures.succeeded(attempt, context.nowMs());
    if (range.stopState().isEnded() || range.isDurablyDone(attempt.offset())) {
      attempt.markClearable();
    } else {
      range.finishedTasks().hold(attempt);
      progressWriter.requestWrite(range);
    }
  }

  private void retry(TaskAttempt attempt) {
    TaskRange range = attempt.range();
    long nowMs = context.nowMs();
    Retry retry = range.requeue(attempt.offset(), attempt.waitingSinceMs());
    switch (attempt.exitCause()) {
      case ERROR -> {
        // The waiting time starts again. Otherwise a task that fails on every worker would, after a
        // long wait, be allowed to preempt others.
        retry.restartWaiting(nowMs);
        failures.failed(attempt, retry, range.countFailure(attempt.offset()), nowMs);
      }
      case NO_ROOM, OTHER_ATTEMPT_PRESENT, UNKNOWN -> {
        long pauseUntilMs = nowMs + context.heartbeatIntervalsMs(REFUSAL_PAUSE_INTERVALS);
        retry.delayUntil(pauseUntilMs);
        attempt.worker().quarantineUntil(pauseUntilMs);
      }
      default -> {}
    }
  }

  /** Called when the worker no longer has the attempt and no command that was sent can start it. */
  void gone(TaskAttempt attempt) {
    attempt.worker().remove(attempt);
    TaskRange range = attempt.range();
    if (range == null) {
      return;
    }
    range.finishedTasks().drop(attempt);
    int offset = attempt.offset();
    if (range.placed().get(offset) == attempt) {
      range.requeue(offset, attempt.waitingSinceMs());
      progressWriter.removeIfEnded(range);
    }
  }

  /**
   * Called when all tasks on the worker are lost with its incarnation or with the machine itself.
   *
   * @param reason the reason for the log
   */
  public void workerLost(Worker worker, String reason) {
    worker.clearUnknownTasks();
    workers.duplicates().forgetWorker(worker);
    boolean machineGone =
        worker.isLeaseExpired()
            || worker.isTerminating()
            || !context.stateCache().machines().containsKey(worker.id());
    int lost = 0;
    for (TaskAttempt attempt : worker.copyOfAttempts()) {
      if (machineGone || attempt.incarnation() != worker.incarnation()) {
        if (attempt.isLive()) {
          lost++;
        }
        gone(attempt);
      }
    }
    if (lost > 0) {
      context.metrics().countLost(lost);
      LOG.atInfo()
          .addKeyValue("worker", worker.id())
          .addKeyValue("tasks", lost)
          .addKeyValue("reason", reason)
          .log("tasks lost with their worker");
    }
    events.requestPlacementPass();
  }
}
