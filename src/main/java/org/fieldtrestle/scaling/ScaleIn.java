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
  /** How long a machine is idle before it is drained, in boots of its type. */
  private static final double IDLE_BOOTS = 0.5;

  /** The same for a cordoned machine. */
  private static final double CORDONED_IDLE_BOOTS = 0.25;

  /** The same for a spot machine that arriving work will need again. */
  private static final double NEEDED_SPOT_IDLE_BOOTS = 2;

  /** Share of an ordinary machine's CPUs that stay free on others when it is cordoned. */
  private static final double SURPLUS_AFTER_ORDINARY = 0.25;

  /** Share of a spot machine's CPUs that stay free on others when it is cordoned. */
  private static final double SURPLUS_AFTER_SPOT = 0.75;

  /** Order of cordoning: ordinary machines before spot ones, then the least used first. */
  private static final Comparator<Worker> CORDONING_ORDER =
      Comparator.comparing((Worker worker) -> worker.isSpot())
          .thenComparingDouble(Worker::usedCpus);

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskRanges ranges;
  private final MachineInventory inventory;
  private final MachineHealth health;
  private final WorkloadRate workload;
  private final DoubleSupplier reservedCpus;
  private boolean returning;

  ScaleIn(
      ControllerContext context,
      LeadershipTerm term,
      WorkerRegistry workers,
      TaskRanges ranges,
      MachineInventory inventory,
      MachineHealth health,
      WorkloadRate workload,
      DoubleSupplier reservedCpus) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.ranges = ranges;
    this.inventory = inventory;
    this.health = health;
    this.workload = workload;
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
    } else if (worker.isSpot() && fleet.spotMachines() <= workload.targetMachines()) {
      boots = NEEDED_SPOT_IDLE_BOOTS;
    }
    return Math.round(type.bootS() * (boots * 1000));
  }

  /**
   * Cordons machines that are not needed: they take no new tasks and are drained once empty. They
   * are uncordoned, the most used first, when less than the reserve is free on the others. Waiting
   * tasks do not count: on a large fleet some always wait for a moment, so that no machine would
   * ever be cordoned.
   */
  void adjustCordons(long nowMs) {
    List<Worker> open = new ArrayList<>();
    List<Worker> cordoned = new ArrayList<>();
    double surplusCpus = -reservedCpus.getAsDouble();
    for (Worker worker : workers.all()) {
      MachineType type = context.type(worker.machineType());
      if (type == null || !worker.isUp() || worker.isDraining()) {
        continue;
      }
      if (worker.isCordoned()) {
        cordoned.add(worker);
      } else if (workers.isUsable(worker, nowMs)) {
        open.add(worker);
        surplusCpus += type.cpus() - worker.usedCpus();
      }
    }
    cordon(open, uncordon(cordoned, surplusCpus));
  }

  /** Uncordons until there is no deficit; returns the surplus then. */
  private double uncordon(List<Worker> cordoned, double surplusCpus) {
    double surplus = surplusCpus;
    cordoned.sort(CORDONING_ORDER.reversed());
    for (Worker worker : cordoned) {
      if (surplus >= 0) {
        break;
      }
      worker.uncordon();
      surplus += context.type(worker.machineType()).cpus() - worker.usedCpus();
    }
    return surplus;
  }

  /** Cordons as many machines as the surplus allows; at least one stays open. */
  private void cordon(List<Worker> open, double surplusCpus) {
    if (open.size() < 2) {
      return;
    }
    open.sort(CORDONING_ORDER);
    double surplus = surplusCpus;
    int left = open.size();
    for (Worker worker : open) {
      MachineType type = context.type(worker.machineType());
      double freeCpus = type.cpus() - worker.usedCpus();
      double requiredShare = worker.isSpot() ? SURPLUS_AFTER_SPOT : SURPLUS_AFTER_ORDINARY;
      if (surplus - freeCpus < type.cpus() * requiredShare
          || (worker.isSpot() && left <= workload.targetMachines())) {
        return;
      }
      worker.cordon();
      left--;
      surplus -= freeCpus;
    }
  }

  /** Returns drained machines to the cloud, with one request at a time. */
  void terminate(long nowMs) {
    if (returning) {
      return;
    }
    List<String> machines = new ArrayList<>();
    for (Worker worker : workers.all()) {
      if (machines.size() < CloudProtocol.MAX_RETURN
          && !worker.isTerminated()
          && (worker.isTerminating() || (worker.isDraining() && mayBeReturned(worker, nowMs)))) {
        worker.beginTermination();
        machines.add(worker.id());
      }
    }
    if (machines.isEmpty()) {
      return;
    }
    returning = true;
    context
        .cloud()
        .terminate(
            machines,
            terminated -> {
              returning = false;
              if (terminated && !term.isOver()) {
                machines.forEach(this::terminated);
              }
            });
  }

  private boolean mayBeReturned(Worker worker, long nowMs) {
    if (worker.hasSpotNotice()) {
      // It is charged until the cloud takes it back, and may finish its tasks until then.
      return worker.isEmpty()
          || (nowMs > worker.spotNoticeUntilMs() + context.heartbeatIntervalsMs(1)
              && health.isSilent(worker, nowMs));
    }
    return (worker.isEmpty() && worker.hasNoCommandInFlight())
        || worker.isLeaseExpired()
        || health.isSilent(worker, nowMs)
        || health.isUnresponsive(worker, nowMs);
  }

  /** The cloud has confirmed that a machine and all that was on it are gone. */
  private void terminated(String id) {
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
