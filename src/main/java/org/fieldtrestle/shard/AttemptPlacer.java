package org.fieldtrestle.shard;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.leadership.LeadershipFence;
import org.fieldtrestle.metrics.ControllerMetrics;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.scheduling.TaskPlacer;
import org.fieldtrestle.worker.LeadershipTerm;
import org.fieldtrestle.worker.Retry;
import org.fieldtrestle.worker.TaskAttempt;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerCommands;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries out what a placement pass decides: attempts begin on workers, or are stopped there. */
final class AttemptPlacer implements TaskPlacer.Decisions {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptPlacer.class);

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerCommands commands;

  /** How often the fence had opened when the last first start was logged. */
  private long loggedOpenings;

  AttemptPlacer(ControllerContext context, LeadershipTerm term, WorkerCommands commands) {
    this.context = context;
    this.term = term;
    this.commands = commands;
  }

  @Override
  public long nextAttempt() {
    return term.nextAttemptNumber();
  }

  @Override
  public void stop(TaskAttempt attempt, double graceS) {
    commands.stop(attempt, graceS);
  }

  @Override
  public void place(TaskRange range, int offset, Worker worker, long attemptNumber) {
    long now = context.now();
    Retry retry = range.retries().get(offset);
    long waitingSince = retry == null ? range.waitingSinceMs() : retry.waitingSinceMs();
    long waitedMs = now - waitingSince;
    TaskId task = new TaskId(range.key().job(), range.record().from() + offset);
    TaskAttempt attempt =
        new TaskAttempt(task, attemptNumber, worker, range, now, waitedMs / 1000.0);
    JobSpec spec = range.spec();
    MachineType type = context.type(worker.machineType());
    boolean fetches = !worker.hasImage(spec.image());
    if (fetches && worker.isFetchingImage()) {
      attempt.markConcurrentFetch(type.imageFetchS(spec));
    }
    worker.put(attempt);
    range.place(offset, attempt);
    worker.markBusy(now);
    commands.addPending(worker);
    worker.recordImageUse(spec.image(), spec.imageGb(), type.cacheGb());
    countPlacement(fetches, waitedMs);
    logFirstStart(attempt);
    LOG.debug("task {} placed after {} ms, fetches its image: {}", attempt, waitedMs, fetches);
  }

  private void countPlacement(boolean fetches, long waitedMs) {
    if (fetches) {
      context.metrics().countImageFetch();
    }
    context.metrics().countPlaced();
    ControllerMetrics.record(context.metrics().startWaitMs, waitedMs);
  }

  /** Logs the first start after each time that the fence was closed, and what allowed it. */
  private void logFirstStart(TaskAttempt attempt) {
    LeadershipFence fence = context.membership().fence();
    if (loggedOpenings == fence.openings()) {
      return;
    }
    loggedOpenings = fence.openings();
    LOG.atInfo()
        .addKeyValue("shard", term.shard())
        .addKeyValue("epoch", term.epoch())
        .addKeyValue("revision", context.stateCache().appliedRevision())
        .addKeyValue("leaseAgeMs", fence.leaseAgeMs())
        .addKeyValue("stateAgeMs", fence.stateAgeMs())
        .addKeyValue("task", attempt)
        .log("first start since the fence opened");
  }
}
