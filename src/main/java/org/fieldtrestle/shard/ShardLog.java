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

/** Logs where a shard stands: at the beginning and end of its term, and from time to time. */
final class ShardLog {
  private static final Logger LOG = LoggerFactory.getLogger(ShardLog.class);

  /** Heartbeat intervals between two summaries. */
  private static final double SUMMARY_INTERVALS = 10;

  private static final double LOGGED_PERCENTILE = 95;

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskRanges ranges;
  private long summaryAtMs;

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

  /** What the workers of the shard have and use. */
  private static final class WorkerTotals {
    int ordinary;
    int booting;
    double cpus;
    double usedCpus;
    double notRunningCpus;
  }

  private WorkerTotals workerTotals() {
    WorkerTotals totals = new WorkerTotals();
    for (Worker worker : workers.all()) {
      MachineType type = context.type(worker.machineType());
      if (type == null) {
        continue;
      }
      totals.ordinary += worker.isSpot() ? 0 : 1;
      if (!worker.isUp()) {
        totals.booting++;
        continue;
      }
      totals.cpus += type.cpus();
      totals.usedCpus += worker.usedCpus();
      totals.notRunningCpus += notRunningCpus(worker);
    }
    return totals;
  }

  private static double notRunningCpus(Worker worker) {
    double cpus = 0;
    for (TaskAttempt attempt : worker.attempts()) {
      if (attempt.isLive() && !attempt.hasRun()) {
        cpus += attempt.cpus();
      }
    }
    return cpus;
  }

  /** Logs a summary where the last one is long enough ago. */
  void logSummary(long nowMs) {
    if (nowMs - summaryAtMs < context.heartbeatIntervalsMs(SUMMARY_INTERVALS)) {
      return;
    }
    summaryAtMs = nowMs;
    WorkerTotals totals = workerTotals();
    int waiting = 0;
    for (TaskRange range : ranges.all()) {
      waiting += range.waitingCount();
    }
    LOG.atInfo()
        .addKeyValue("shard", term.shard())
        .addKeyValue("machines", workers.count())
        .addKeyValue("ordinary", totals.ordinary)
        .addKeyValue("booting", totals.booting)
        .addKeyValue("cpus", totals.cpus)
        .addKeyValue("usedCpus", totals.usedCpus)
        .addKeyValue("notRunningCpus", totals.notRunningCpus)
        .addKeyValue("waitingTasks", waiting)
        .addKeyValue("ranges", ranges.count())
        .addKeyValue("placed", context.metrics().placed())
        .addKeyValue("fetches", context.metrics().imageFetches())
        .addKeyValue("passP95Ms", context.metrics().passMs.getValueAtPercentile(LOGGED_PERCENTILE))
        .log("shard summary");
    LOG.atInfo()
        .addKeyValue("work", context.metrics().work.summary())
        .log("event loop work so far");
  }
}
