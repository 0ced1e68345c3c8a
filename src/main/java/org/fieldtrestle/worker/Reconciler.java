package org.fieldtrestle.worker;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.ExitCause;
import org.fieldtrestle.protocol.Heartbeat;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.protocol.TaskState;
import org.fieldtrestle.protocol.TaskStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Compares the tasks that a heartbeat reports with the tasks that are expected on its worker. */
public final class Reconciler {
  private static final Logger LOG = LoggerFactory.getLogger(Reconciler.class);

  private final ControllerContext context;
  private final CommandPolicy policy;
  private final WorkerRegistry workers;
  private final TaskRanges ranges;
  private final TaskOutcomes outcomes;
  private final WorkerCommands commands;
  private final ImageDownloads downloads;

  /** Creates a reconciler of these workers with these ranges. */
  public Reconciler(
      ControllerContext context,
      LeadershipTerm term,
      WorkerRegistry workers,
      TaskRanges ranges,
      TaskOutcomes outcomes,
      WorkerCommands commands,
      ImageDownloads downloads) {
    this.context = context;
    this.policy = term.policy();
    this.workers = workers;
    this.ranges = ranges;
    this.outcomes = outcomes;
    this.commands = commands;
    this.downloads = downloads;
  }

  /**
   * Applies the tasks that the heartbeat reports; returns whether anything that matters to
   * placement has changed.
   */
  boolean reconcile(Worker worker, Heartbeat heartbeat) {
    boolean changed = false;
    int reportedCount = 0;
    worker.clearUnknownTasks();
    workers.duplicates().forgetWorker(worker);
    for (TaskStatus reported : heartbeat.tasks()) {
      TaskAttempt attempt = worker.attempt(reported.task());
      if (attempt == null || attempt.attemptNumber() != reported.attempt()) {
        attempt = discover(worker, reported, attempt);
        changed |= attempt != null;
      }
      if (attempt == null) {
        worker.addUnknownTask(reported);
        recordDuplicate(worker, reported);
      } else {
        reportedCount += attempt.isReportedIn(heartbeat.sequence()) ? 0 : 1;
        attempt.markReportedIn(heartbeat.sequence());
        changed |= applyReport(attempt, reported);
      }
    }
    if (reportedCount != worker.attempts().size()) {
      changed |= dropAbsent(worker, heartbeat.sequence());
    }
    return changed;
  }

  /**
   * Drops the attempts that the heartbeat does not report and that can no longer appear on the
   * worker.
   */
  private boolean dropAbsent(Worker worker, long sequence) {
    boolean changed = false;
    for (TaskAttempt attempt : worker.copyOfAttempts()) {
      if (attempt.isReportedIn(sequence)) {
        continue;
      }
      if (!attempt.isLive()) {
        if (attempt.isClearable()) {
          worker.remove(attempt);
        }
      } else if (attempt.state() != TaskAttempt.State.STARTING || attempt.isStopping()) {
        if (worker.fencing().absenceProvesEnd(attempt.task(), attempt.attemptNumber())) {
          outcomes.gone(attempt);
          changed = true;
        } else {
          context.metrics().countAbsentButMayStart();
        }
      }
    }
    return changed;
  }

  private void recordDuplicate(Worker worker, TaskStatus reported) {
    TaskRange range = ranges.containing(reported.task());
    if (range != null
        && reported.state() != TaskState.EXITED
        && !range.isDurablyDone(reported.task().index() - range.record().from())) {
      workers.duplicates().add(reported.task(), worker);
    }
  }

  /**
   * Handles a report of an attempt that was not placed on the worker in this term.
   *
   * @param expected the attempt at the same task that was placed on the worker, or {@code null}
   * @return the attempt, which is expected on the worker from now on; {@code null} if the reported
   *     attempt is to be stopped and cleared
   */
  private TaskAttempt discover(Worker worker, TaskStatus reported, TaskAttempt expected) {
    TaskRange range = ranges.containing(reported.task());
    if (range == null) {
      return null;
    }
    boolean exited = reported.state() == TaskState.EXITED;
    int offset = reported.task().index() - range.record().from();
    boolean placedElsewhere = expected == null && range.placed().containsKey(offset);
    if (range.isDurablyDone(offset) || placedElsewhere) {
      if (!exited && range.placed().containsKey(offset)) {
        LOG.atError()
            .addKeyValue("task", reported.task())
            .addKeyValue("worker", worker.id())
            .log("task is on two workers");
      }
      return null;
    }
    if (exited) {
      return reported.cause() == ExitCause.DONE
          ? discoverDone(worker, reported, expected, range)
          : null;
    }
    if (expected != null) {
      if (expected.state() != TaskAttempt.State.STARTING) {
        return null;
      }
      worker.remove(expected);
    }
    return discoverRunning(worker, reported, range, offset);
  }

  private TaskAttempt discoverDone(
      Worker worker, TaskStatus reported, TaskAttempt expected, TaskRange range) {
    if (expected != null) {
      worker.remove(expected);
    }
    TaskAttempt attempt =
        new TaskAttempt(reported.task(), reported.attempt(), worker, range, context.nowMs(), 0);
    worker.put(attempt);
    return attempt;
  }

  private TaskAttempt discoverRunning(
      Worker worker, TaskStatus reported, TaskRange range, int offset) {
    long nowMs = context.nowMs();
    double waitedS = (nowMs - range.waitingSinceMs()) / 1000.0;
    TaskAttempt attempt =
        new TaskAttempt(reported.task(), reported.attempt(), worker, range, nowMs, waitedS);
    attempt.markDiscovered();
    worker.put(attempt);
    range.place(offset, attempt);
    if (policy.mustStop(range)) {
      commands.stop(attempt, 0);
    }
    return attempt;
  }

  /** Applies the reported state; returns whether resources or an image have become available. */
  private boolean applyReport(TaskAttempt attempt, TaskStatus reported) {
    attempt.markStartSent();
    boolean wasAwaitingImage = attempt.state().isAwaitingImage();
    boolean ended = applyState(attempt, reported);
    recordImage(attempt);
    // Other tasks may be waiting for the image that was fetched.
    return ended || (wasAwaitingImage && !attempt.state().isAwaitingImage());
  }

  private boolean applyState(TaskAttempt attempt, TaskStatus reported) {
    Worker worker = attempt.worker();
    switch (reported.state()) {
      case FETCHING -> worker.changeState(attempt, TaskAttempt.State.FETCHING);
      case RUNNING -> {
        recordRunning(attempt);
        worker.changeState(attempt, TaskAttempt.State.RUNNING);
      }
      case SAVING -> worker.changeState(attempt, TaskAttempt.State.SAVING);
      case EXITED -> {
        if (attempt.isLive()) {
          worker.changeState(attempt, TaskAttempt.State.EXITED);
          attempt.recordExit(reported.cause());
          outcomes.exited(attempt);
          return true;
        }
      }
    }
    return false;
  }

  private void recordRunning(TaskAttempt attempt) {
    if (attempt.hasRun()) {
      return;
    }
    long nowMs = context.nowMs();
    attempt.markRunning(nowMs);
    if (attempt.uncontendedFetchS() > 0) {
      downloads.record((nowMs - attempt.placedAtMs()) / 1000.0, attempt.uncontendedFetchS());
    }
  }

  private void recordImage(TaskAttempt attempt) {
    if (attempt.range() == null || attempt.range().spec() == null || !attempt.isLive()) {
      return;
    }
    MachineType type = context.machineType(attempt.worker().machineType());
    JobSpec spec = attempt.range().spec();
    if (type != null) {
      attempt.worker().recordImageUse(spec.image(), spec.imageGb(), type.cacheGb());
    }
  }
}
