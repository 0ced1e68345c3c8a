package org.fieldtrestle.shard;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.worker.LeadershipTerm;
import org.fieldtrestle.worker.TaskAttempt;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.TaskRanges;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs the beginning and the end of a leadership term, and regular summaries of the shard. */
final class ShardLog {
  private static final Logger LOG = LoggerFactory.getLogger(ShardLog.class);

  /** Time between two summaries, in heartbeat intervals. */
  private static final double SUMMARY_HEARTBEAT_INTERVALS = 10;

  private static final double LOGGED_PERCENTILE = 95;

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskRanges ranges;
  private long lastSummaryAtMs;

  ShardLog(
      ControllerContext context, LeadershipTerm term, WorkerRegistry workers, TaskRanges ranges) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.ranges = ranges;
  }

  /** Logs the beginning or the end of the term. */
  void logLeadership(String event) {
    LOG.atInfo()
        .addKeyValue("shard", term.shard())
        .addKeyValue("epoch", term.epoch())
        .addKeyValue("firstToken", term.firstToken())
        .addKeyValue("revision", context.stateCache().appliedRevision())
        .addKeyValue("machines", workers.count())
        .addKeyValue("ranges", ranges.count())
        .log(event);
  }

  /** The total capacity of the shard's workers and how much of it is used. */
  private static final class WorkerTotals {
    int nonSpotWorkers;
    int bootingWorkers;
    double totalCpus;
    double usedCpus;
    double notRunningCpus;
  }

  private WorkerTotals workerTotals() {
    WorkerTotals totals = new WorkerTotals();
    for (Worker worker : workers.all()) {
      MachineType type = context.machineType(worker.machineType());
      if (type == null) {
        continue;
      }
      totals.nonSpotWorkers += worker.isSpot() ? 0 : 1;
      if (!worker.isUp()) {
        totals.bootingWorkers++;
        continue;
      }
      totals.totalCpus += type.cpus();
      totals.usedCpus += worker.usedCpus();
      totals.notRunningCpus += notRunningCpus(worker);
    }
    return totals;
  }

  /** Returns the CPUs of a worker's live attempts that have not run yet. */
  private static double notRunningCpus(Worker worker) {
    double cpus = 0;
    for (TaskAttempt attempt : worker.attempts()) {
      if (attempt.isLive() && !attempt.hasRun()) {
        cpus += attempt.cpus();
      }
    }
    return cpus;
  }

  /** Logs a summary if {@link #SUMMARY_HEARTBEAT_INTERVALS} have passed since the last one. */
  void logSummary(long nowMs) {
    if (nowMs - lastSummaryAtMs < context.heartbeatIntervalsMs(SUMMARY_HEARTBEAT_INTERVALS)) {
      return;
    }
    lastSummaryAtMs = nowMs;
    WorkerTotals totals = workerTotals();
    int waitingTasks = 0;
    for (TaskRange range : ranges.all()) {
      waitingTasks += range.waitingCount();
    }
    LOG.atInfo()
        .addKeyValue("shard", term.shard())
        .addKeyValue("machines", workers.count())
        .addKeyValue("ordinary", totals.nonSpotWorkers)
        .addKeyValue("booting", totals.bootingWorkers)
        .addKeyValue("cpus", totals.totalCpus)
        .addKeyValue("usedCpus", totals.usedCpus)
        .addKeyValue("notRunningCpus", totals.notRunningCpus)
        .addKeyValue("waitingTasks", waitingTasks)
        .addKeyValue("ranges", ranges.count())
        .addKeyValue("placed", context.metrics().placed())
        .addKeyValue("fetches", context.metrics().imageFetches())
        .addKeyValue(
            "passP95Ms", context.metrics().placementPassMs.getValueAtPercentile(LOGGED_PERCENTILE))
        .log("shard summary");
    LOG.atInfo()
        .addKeyValue("work", context.metrics().eventLoopMeter.summary())
        .log("event loop work so far");
  }
}
