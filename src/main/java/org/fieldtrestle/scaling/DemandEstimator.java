package org.fieldtrestle.scaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.worker.FailureTracker;
import org.fieldtrestle.worker.LeadershipTerm;
import org.fieldtrestle.worker.TaskAttempt;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.TaskRanges;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;

/** Estimates how many machines are needed to finish the waiting tasks in time. */
final class DemandEstimator {
  /**
   * Largest share of the slack before a deadline that may pass before the last waiting task starts.
   */
  private static final double MAX_SLACK_SHARE = 0.75;

  /**
   * Smallest share of the slack, used for job classes in which nearly all jobs have to meet their
   * deadlines.
   */
  private static final double MIN_SLACK_SHARE = 0.1;

  /** Share of arriving work for which machines are rented in addition to those for waiting work. */
  private static final double ARRIVING_WORK_SHARE = 0.5;

  /** Time limit for work without a deadline, in boot times of a machine. */
  private static final double DEFAULT_TIME_LIMIT_BOOTS = 4;

  /**
   * Smallest time limit in boot times of a machine. A machine that is rented now is of no use
   * earlier, however late the job is.
   */
  private static final double MIN_TIME_LIMIT_BOOTS = 2;

  private static final double MAX_TIME_LIMIT_BOOTS = 6;

  /** Minimum time in seconds for which a running task is expected to continue. */
  private static final double MIN_REMAINING_S = 2;

  /** Minimum share of the boot time that a machine that is not up yet is expected to still need. */
  private static final double MIN_REMAINING_BOOT = 0.2;

  /** Share of a machine that may be missing before one more is rented. */
  private static final double TOLERATED_SHORTAGE = 0.2;

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskRanges ranges;
  private final FailureTracker failures;
  private final MachineHealth health;
  private final WorkloadRate workloadRate;
  private final MachineTypeSelector machineTypeSelector;

  DemandEstimator(
      ControllerContext context,
      LeadershipTerm term,
      WorkerRegistry workers,
      TaskRanges ranges,
      FailureTracker failures,
      MachineHealth health,
      WorkloadRate workloadRate,
      MachineTypeSelector machineTypeSelector) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.ranges = ranges;
    this.failures = failures;
    this.health = health;
    this.workloadRate = workloadRate;
    this.machineTypeSelector = machineTypeSelector;
  }

  /** Returns the demands of the waiting tasks of all ranges, the most urgent first. */
  List<MachineDemand> demands(long nowMs) {
    List<MachineDemand> demands = new ArrayList<>();
    for (TaskRange range : ranges.all()) {
      // While a worker has not reported, waiting tasks of an inherited range may be running on it,
      // and none of them may be started anyway. If they counted, every restart of a controller
      // would rent a second fleet for them.
      if (range.spec() != null
          && !term.policy().mustStop(range)
          && range.waitingCount() > 0
          && !ranges.mayHaveUnreportedTasks(range)) {
        Optional<MachineType> type = machineTypeSelector.cheapestFor(range.spec());
        if (type.isPresent()) {
          demands.add(demand(range, type.get(), nowMs));
        }
      }
    }
    demands.sort(Comparator.comparingDouble(MachineDemand::timeLimitS));
    return demands;
  }

  private MachineDemand demand(TaskRange range, MachineType type, long nowMs) {
    JobSpec spec = range.spec();
    double machineS =
        (spec.estimateS() + type.imageFetchS(spec) / 2)
            * range.waitingCount()
            / type.tasksPerMachine(spec);
    String zone = range.zone() != null ? range.zone() : spec.zone();
    double wantedS = DEFAULT_TIME_LIMIT_BOOTS * type.bootS();
    if (spec.deadlineS() >= 0) {
      double waitedS = (nowMs - range.waitingSinceMs()) / 1000.0;
      double slackS = spec.deadlineS() - waitedS - spec.estimateS() - type.imageFetchS(spec);
      wantedS = slackS * slackShare(spec) + spec.estimateS();
    }
    double timeLimitS =
        Math.min(
            Math.max(wantedS, MIN_TIME_LIMIT_BOOTS * type.bootS()),
            MAX_TIME_LIMIT_BOOTS * type.bootS());
    return new MachineDemand(range, type, spec.spot(), zone, machineS, timeLimitS);
  }

  /**
   * Returns the share of its slack that a job may wait. The share is smaller, the more jobs of its
   * class have to meet their deadlines.
   */
  private double slackShare(JobSpec spec) {
    double share = MAX_SLACK_SHARE;
    for (Settings.Objective objective : context.settings().objectives()) {
      if (objective.kind().equals("deadline")
          && objective.jobClass().equals(spec.jobClass())
          && objective.deadlineFactor() <= 1) {
        share = Math.min(share, Math.max(MIN_SLACK_SHARE, 5 * (1 - objective.targetShare())));
      }
    }
    return share;
  }

  /**
   * Returns how many more machines the demands of one kind need.
   *
   * @param kind any demand of that kind
   * @param demands all demands, the most urgent first
   */
  int missingMachines(MachineDemand kind, List<MachineDemand> demands, long nowMs) {
    MachineType type = kind.type();
    int machines = 0;
    double bootingS = 0;
    double busyS = 0;
    for (Worker worker : workers.all()) {
      if (!isAvailableFor(kind, worker, nowMs)) {
        continue;
      }
      machines++;
      if (!worker.isUp()) {
        bootingS +=
            Math.max(
                type.bootS() * MIN_REMAINING_BOOT, type.bootS() - worker.ageMs(nowMs) / 1000.0);
      }
      busyS = addBusyS(busyS, worker, type, nowMs);
    }
    // Without any machine even the smallest amount of work would wait forever.
    int missing = machines == 0 ? 1 : 0;
    double waitingS = 0;
    for (MachineDemand demand : demands) {
      if (demand.isSameKind(kind)) {
        // The most urgent work is done first, so each later demand adds to the previous ones.
        waitingS += demand.machineS();
        // Work continues to arrive in the meantime; part of it uses the room of tasks that end.
        double arrivingS = workloadRate.busyMachines() * demand.timeLimitS() * ARRIVING_WORK_SHARE;
        double availableS = machines * demand.timeLimitS() - bootingS - busyS;
        double shortage =
            (waitingS + arrivingS - Math.max(0, availableS)) / (demand.timeLimitS() - type.bootS());
        missing = Math.max(missing, (int) Math.ceil(shortage - TOLERATED_SHORTAGE));
      }
    }
    return missing;
  }

  private boolean isAvailableFor(MachineDemand kind, Worker worker, long nowMs) {
    return !worker.isDraining()
        && !(worker.isLeaseExpired() && health.isSilent(worker, nowMs))
        && kind.isServedBy(worker)
        && !failures.mustAvoid(kind.range(), worker);
  }

  /** Adds the time in seconds for which the tasks of a worker occupy a whole machine of a type. */
  private static double addBusyS(double sumS, Worker worker, MachineType type, long nowMs) {
    double busyS = sumS;
    for (TaskAttempt task : worker.attempts()) {
      if (task.isLive() && task.range() != null && task.range().spec() != null) {
        busyS +=
            Math.max(MIN_REMAINING_S, remainingS(task, type, nowMs))
                / type.tasksPerMachine(task.range().spec());
      }
    }
    return busyS;
  }

  private static double remainingS(TaskAttempt task, MachineType type, long nowMs) {
    JobSpec spec = task.range().spec();
    double fetchS =
        task.runningSinceMs() >= 0
            ? 0
            : Math.max(0, type.imageFetchS(spec) - (nowMs - task.placedAtMs()) / 1000.0);
    return fetchS + task.remainingS(nowMs, spec.estimateS());
  }
}
