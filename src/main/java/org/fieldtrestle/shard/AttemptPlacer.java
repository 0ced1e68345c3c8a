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

/** Carries out the decisions of a placement pass: starts attempts on workers and stops them. */
final class AttemptPlacer implements TaskPlacer.PlacementExecutor {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptPlacer.class);

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerCommands commands;

  /** The value of {@link LeadershipFence#openings} when a first start was last logged. */
  private long openingsAtLastLog;

  AttemptPlacer(ControllerContext context, LeadershipTerm term, WorkerCommands commands) {
    this.context = context;
    this.term = term;
    this.commands = commands;
  }

  @Override
  public long nextAttemptNumber() {
    return term.nextAttemptNumber();
  }

  @Override
  public void stop(TaskAttempt attempt, double graceS) {
    commands.stop(attempt, graceS);
  }

  @Override
  public void place(TaskRange range, int offset, Worker worker, long attemptNumber) {
    long nowMs = context.nowMs();
    Retry retry = range.retries().get(offset);
    long waitingSinceMs = retry == null ? range.waitingSinceMs() : retry.waitingSinceMs();
    long waitedMs = nowMs - waitingSinceMs;
    TaskId task = new TaskId(range.key().job(), range.record().from() + offset);
    TaskAttempt attempt =
        new TaskAttempt(task, attemptNumber, worker, range, nowMs, waitedMs / 1000.0);
    JobSpec spec = range.spec();
    MachineType type = context.machineType(worker.machineType());
    boolean mustFetchImage = !worker.hasImage(spec.image());
    if (mustFetchImage && worker.isFetchingImage()) {
      attempt.markConcurrentFetch(type.imageFetchS(spec));
    }
    worker.put(attempt);
    range.place(offset, attempt);
    worker.markBusy(nowMs);
    commands.addPending(worker);
    worker.recordImageUse(spec.image(), spec.imageGb(), type.cacheGb());
    countPlacement(mustFetchImage, waitedMs);
    logFirstStart(attempt);
    LOG.debug(
        "task {} placed after waiting {} ms, image has to be fetched: {}",
        attempt,
        waitedMs,
        mustFetchImage);
  }

  private void countPlacement(boolean mustFetchImage, long waitedMs) {
    if (mustFetchImage) {
      context.metrics().countImageFetch();
    }
    context.metrics().countPlaced();
    ControllerMetrics.record(context.metrics().startWaitMs, waitedMs);
  }

  /** Logs the first start after each opening of the fence, with the state that allowed it. */
  private void logFirstStart(TaskAttempt attempt) {
    LeadershipFence fence = context.membership().fence();
    if (openingsAtLastLog == fence.openings()) {
      return;
    }
    openingsAtLastLog = fence.openings();
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
