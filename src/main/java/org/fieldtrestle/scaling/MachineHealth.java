package org.fieldtrestle.scaling;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.worker.FailureTracker;
import org.fieldtrestle.worker.TaskAttempt;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Health checks of machines. Unusable machines are drained, so that they are replaced. */
final class MachineHealth {
  private static final Logger LOG = LoggerFactory.getLogger(MachineHealth.class);

  /** Heartbeat intervals without a heartbeat after which a worker counts as silent. */
  private static final double SILENT_HEARTBEATS = 3.2;

  /** Multiple of the usual boot time after which a machine that has not come up is replaced. */
  private static final double MAX_BOOTS = 3.5;

  /** Number of leases after which a silent worker is replaced, even if its whole zone is silent. */
  private static final int MAX_SILENT_LEASES = 2;

  /**
   * Heartbeat intervals, in addition to a lease, within which a worker has to show a fencing token
   * of this term.
   */
  private static final double RECONCILIATION_HEARTBEATS = 4;

  private final ControllerContext context;
  private final WorkerRegistry workers;
  private final FailureTracker failures;

  MachineHealth(ControllerContext context, WorkerRegistry workers, FailureTracker failures) {
    this.context = context;
    this.workers = workers;
    this.failures = failures;
  }

  /** Drains a machine if it is no longer usable, and returns whether it was drained. */
  boolean drainIfUnusable(Worker worker, MachineType type, FleetStatus fleet, long nowMs) {
    checkForSlowTasks(worker, nowMs);
    if (!worker.hasReported()
        && !worker.isUp()
        && worker.ageMs(nowMs) > type.bootS() * (MAX_BOOTS * 1000)) {
      drain(worker, "never came up");
      return true;
    }
    boolean upWithLease = worker.isUp() && !worker.isLeaseExpired();
    if (upWithLease && isSilent(worker, nowMs) && !fleet.isZoneSilent(worker)) {
      drain(worker, "silent while others of its zone report");
      return true;
    }
    if (worker.isLeaseExpired()
        && workers.silentForMs(worker, nowMs)
            > MAX_SILENT_LEASES * context.settings().workerLeaseMs()) {
      drain(worker, "silent for two leases");
      return true;
    }
    if (upWithLease && isUnresponsive(worker, nowMs)) {
      // The worker's heartbeats do not show whether it receives the answers. No task can be started
      // on it, and its tasks stop only when its lease expires. Only the return of the machine
      // ensures that they stop.
      drain(worker, "receives no answers");
      worker.beginTermination();
      return true;
    }
    return false;
  }

  private void checkForSlowTasks(Worker worker, long nowMs) {
    for (TaskAttempt task : worker.attempts()) {
      if (task.state() == TaskAttempt.State.RUNNING) {
        failures.checkRunTime(task, nowMs);
      }
    }
  }

  /** Whether several consecutive heartbeats of a worker are missing. */
  boolean isSilent(Worker worker, long nowMs) {
    return workers.silentForMs(worker, nowMs) > context.heartbeatIntervalsMs(SILENT_HEARTBEATS);
  }

  /** Whether a worker that sends heartbeats has not received answers to them for too long. */
  boolean isUnresponsive(Worker worker, long nowMs) {
    long leaseMs = context.settings().workerLeaseMs();
    if (worker.isUnresponsive()) {
      return workers.listenedForMs(worker.unresponsiveSinceMs(), nowMs) > leaseMs / 2;
    }
    return !worker.isReconciled()
        && worker.hasReported()
        && workers.listenedForMs(worker.knownSinceMs(), nowMs)
            > leaseMs + context.heartbeatIntervalsMs(RECONCILIATION_HEARTBEATS);
  }

  /** Drains a worker and logs the reason. */
  static void drain(Worker worker, String reason) {
    worker.drain(reason);
    LOG.atInfo()
        .addKeyValue("machine", worker.id())
        .addKeyValue("reason", reason)
        .log("machine is drained");
  }
}
