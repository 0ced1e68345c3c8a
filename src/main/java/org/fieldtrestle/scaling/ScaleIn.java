package org.fieldtrestle.scaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.CloudProtocol;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.worker.LeadershipTerm;
import org.fieldtrestle.worker.TaskRanges;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;

/** Scale in: cordons and drains machines that are not needed, and returns drained ones. */
final class ScaleIn {
  /** How long a machine may be idle before it is drained, in boot times of its machine type. */
  private static final double IDLE_BOOTS = 0.5;

  /**
   * How long a cordoned machine may be idle before it is drained, in boot times of its machine
   * type.
   */
  private static final double CORDONED_IDLE_BOOTS = 0.25;

  /**
   * How long a spot machine that arriving work will need again may be idle before it is drained, in
   * boot times of its machine type.
   */
  private static final double NEEDED_SPOT_IDLE_BOOTS = 2;

  /**
   * CPUs that have to stay free on other machines when an ordinary machine is cordoned, as a share
   * of its CPUs.
   */
  private static final double SURPLUS_AFTER_ORDINARY = 0.25;

  /**
   * CPUs that have to stay free on other machines when a spot machine is cordoned, as a share of
   * its CPUs.
   */
  private static final double SURPLUS_AFTER_SPOT = 0.75;

  /**
   * Order in which machines are cordoned: ordinary machines before spot machines, then the least
   * used first.
   */
  private static final Comparator<Worker> CORDONING_ORDER =
      Comparator.comparing((Worker worker) -> worker.isSpot())
          .thenComparingDouble(Worker::usedCpus);

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskRanges ranges;
  private final MachineInventory inventory;
  private final MachineHealth health;
  private final WorkloadRate workloadRate;
  private final DoubleSupplier reservedCpus;
  private boolean returnInFlight;

  ScaleIn(
      ControllerContext context,
      LeadershipTerm term,
      WorkerRegistry workers,
      TaskRanges ranges,
      MachineInventory inventory,
      MachineHealth health,
      WorkloadRate workloadRate,
      DoubleSupplier reservedCpus) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.ranges = ranges;
    this.inventory = inventory;
    this.health = health;
    this.workloadRate = workloadRate;
    this.reservedCpus = reservedCpus;
  }

  /** Drains a machine that has been idle for too long. */
  void drainIfIdle(Worker worker, MachineType type, FleetStatus fleet, long nowMs) {
    if (worker.isUp()
        && worker.isReconciled()
        && worker.isEmpty()
        && workers.listenedForMs(worker.idleSinceMs(), nowMs) > maxIdleMs(worker, type, fleet)) {
      MachineHealth.drain(worker, worker.isCordoned() ? "not needed" : "idle");
    }
  }

  private long maxIdleMs(Worker worker, MachineType type, FleetStatus fleet) {
    double boots = IDLE_BOOTS;
    if (worker.isCordoned()) {
      boots = CORDONED_IDLE_BOOTS;
    } else if (worker.isSpot() && fleet.spotMachines() <= workloadRate.targetMachines()) {
      boots = NEEDED_SPOT_IDLE_BOOTS;
    }
    return Math.round(type.bootS() * (boots * 1000));
  }

  /**
   * Cordons machines that are not needed: cordoned machines are the last choice for new tasks, and
   * are drained once they have become idle. Machines are uncordoned, the most used first, when
   * fewer CPUs are free on the other machines than are reserved. Waiting tasks are not considered:
   * on a large fleet some tasks always wait for a moment, so no machine would ever be cordoned.
   */
  void adjustCordons(long nowMs) {
    List<Worker> uncordoned = new ArrayList<>();
    List<Worker> cordoned = new ArrayList<>();
    double surplusCpus = -reservedCpus.getAsDouble();
    for (Worker worker : workers.all()) {
      MachineType type = context.machineType(worker.machineType());
      if (type == null || !worker.isUp() || worker.isDraining()) {
        continue;
      }
      if (worker.isCordoned()) {
        cordoned.add(worker);
      } else if (workers.isUsable(worker, nowMs)) {
        uncordoned.add(worker);
        surplusCpus += type.cpus() - worker.usedCpus();
      }
    }
    cordon(uncordoned, uncordon(cordoned, surplusCpus));
  }

  /** Uncordons machines until there is no deficit, and returns the surplus after that. */
  private double uncordon(List<Worker> cordoned, double surplusCpus) {
    double surplus = surplusCpus;
    cordoned.sort(CORDONING_ORDER.reversed());
    for (Worker worker : cordoned) {
      if (surplus >= 0) {
        break;
      }
      worker.uncordon();
      surplus += context.machineType(worker.machineType()).cpus() - worker.usedCpus();
    }
    return surplus;
  }

  /** Cordons as many machines as the surplus allows. At least one machine stays uncordoned. */
  private void cordon(List<Worker> uncordoned, double surplusCpus) {
    if (uncordoned.size() < 2) {
      return;
    }
    uncordoned.sort(CORDONING_ORDER);
    double surplus = surplusCpus;
    int left = uncordoned.size();
    for (Worker worker : uncordoned) {
      MachineType type = context.machineType(worker.machineType());
      double freeCpus = type.cpus() - worker.usedCpus();
      double requiredShare = worker.isSpot() ? SURPLUS_AFTER_SPOT : SURPLUS_AFTER_ORDINARY;
      if (surplus - freeCpus < type.cpus() * requiredShare
          || (worker.isSpot() && left <= workloadRate.targetMachines())) {
        return;
      }
      worker.cordon();
      left--;
      surplus -= freeCpus;
    }
  }

  /** Returns drained machines to the cloud, one request at a time. */
  void terminateDrained(long nowMs) {
    if (returnInFlight) {
      return;
    }
    List<String> machines = new ArrayList<>();
    for (Worker worker : workers.all()) {
      if (machines.size() < CloudProtocol.MAX_MACHINES_PER_RETURN
          && !worker.isTerminated()
          && (worker.isTerminating() || (worker.isDraining() && mayBeReturned(worker, nowMs)))) {
        worker.beginTermination();
        machines.add(worker.id());
      }
    }
    if (machines.isEmpty()) {
      return;
    }
    returnInFlight = true;
    context
        .cloud()
        .terminate(
            machines,
            terminated -> {
              returnInFlight = false;
              if (terminated && !term.isOver()) {
                machines.forEach(this::machineTerminated);
              }
            });
  }

  private boolean mayBeReturned(Worker worker, long nowMs) {
    if (worker.hasSpotNotice()) {
      // The machine is charged for until the cloud takes it back, so its tasks may run until then.
      return worker.isEmpty()
          || (nowMs > worker.spotNoticeUntilMs() + context.heartbeatIntervalsMs(1)
              && health.isSilent(worker, nowMs));
    }
    return (worker.isEmpty() && worker.hasNoCommandInFlight())
        || worker.isLeaseExpired()
        || health.isSilent(worker, nowMs)
        || health.isUnresponsive(worker, nowMs);
  }

  /** Called when the cloud has confirmed that a machine and everything on it are gone. */
  private void machineTerminated(String id) {
    Worker worker = workers.get(id);
    if (worker == null) {
      return;
    }
    context.metrics().countReturned();
    worker.markTerminated();
    ranges.outcomes().workerLost(worker, "returned (" + worker.drainReason() + ")");
    inventory.remove(id);
  }
}
