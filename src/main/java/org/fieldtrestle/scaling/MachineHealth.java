package org.fieldtrestle.scaling;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.worker.FailureTracker;
import org.fieldtrestle.worker.TaskAttempt;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Health checks of machines; those that are of no use are drained and so replaced. */
final class MachineHealth {
  private static final Logger LOG = LoggerFactory.getLogger(MachineHealth.class);

  /** A worker counts as silent after so many heartbeat intervals. */
  private static final double SILENT_HEARTBEATS = 3.2;

  /** A machine that has not come up after so many times its usual boot is replaced. */
  private static final double MAX_BOOTS = 3.5;

  /** A worker that is silent for so many leases is replaced, whatever its zone does. */
  private static final int MAX_SILENT_LEASES = 2;

  /** Heartbeat intervals, beside a lease, in which a worker has to show a token of this term. */
  private static final double RECONCILIATION_HEARTBEATS = 4;

  private final ControllerContext context;
  private final WorkerRegistry workers;
  private final FailureTracker failures;

  MachineHealth(ControllerContext context, WorkerRegistry workers, FailureTracker failures) {
    this.context = context;
    this.workers = workers;
    this.failures = failures;
  }

  /** Drains a machine that is of no use any more; returns whether it did. */
  boolean drainIfUseless(Worker worker, MachineType type, FleetStatus fleet, long nowMs) {
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
      // Its heartbeats do not show whether it receives the answers. Nothing on it can be stopped
      // but by the end of its lease, and nothing can be started: only its return ensures that.
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

  /** Whether several heartbeats of a worker in a row are missing. */
  boolean isSilent(Worker worker, long nowMs) {
    return workers.silentForMs(worker, nowMs) > context.heartbeatIntervalsMs(SILENT_HEARTBEATS);
  }

  /** Whether a worker that sends heartbeats has not received the answers to them for too long. */
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

  /** Drains a worker and logs why. */
  static void drain(Worker worker, String reason) {
    worker.drain(reason);
    LOG.atInfo()
        .addKeyValue("machine", worker.id())
        .addKeyValue("reason", reason)
        .log("machine is drained");
  }
}
