package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.CloudProtocol.MachineType;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.scheduling.TaskPlacer.Group;
import org.fieldtrestle.worker.FailureTracker;
import org.fieldtrestle.worker.FreeResources;
import org.fieldtrestle.worker.TaskAttempt;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Selective Preemption for tasks that found no room, one machine at a time. */
final class Preemptor {
  private static final Logger LOG = LoggerFactory.getLogger(Preemptor.class);

  private final ControllerContext context;
  private final SelectivePreemption falcon;
  private final WorkerRegistry machines;
  private final QuotaShares shares;
  private final FailureTracker failures;
  private final TaskPlacer.Decisions decisions;
  private long last;

  Preemptor(
      ControllerContext context,
      SelectivePreemption falcon,
      WorkerRegistry machines,
      QuotaShares shares,
      FailureTracker failures,
      TaskPlacer.Decisions decisions) {
    this.context = context;
    this.falcon = falcon;
    this.machines = machines;
    this.shares = shares;
    this.failures = failures;
    this.decisions = decisions;
  }

  void evict(List<SelectivePreemption.Waiting<Group>> stuck, long now) {
    if (stuck.isEmpty() || now - last < context.heartbeatIntervalsMs(0.2)) {
      return;
    }
    last = now;
    if (!anyMay(stuck, now)) {
      return;
    }
    // What is on its way out already makes room for as many as fit it: no more are needed.
    Map<SelectivePreemption.Waiting<Group>, Integer> unmet = new LinkedHashMap<>();
    stuck.stream()
        .sorted(
            Comparator.comparing((SelectivePreemption.Waiting<Group> one) -> one.priority())
                .thenComparing(
                    Comparator.comparingDouble(SelectivePreemption.Waiting<Group>::score)
                        .reversed()))
        .forEach(one -> unmet.put(one, one.count()));
    for (Worker worker : machines.all()) {
      if (machines.isUsable(worker, now)) {
        for (TaskAttempt task : worker.attempts()) {
          if (task.live() && task.isStopping()) {
            meet(unmet, task.cpus());
          }
        }
      }
    }
    Map<String, List<SelectivePreemption.Waiting<Group>>> evictors = new HashMap<>();
    for (Worker worker : machines.all()) {
      MachineType type = context.type(worker.machineType());
      if (type == null
          || !machines.isUsable(worker, now)
          || stopping(worker)
          || !young(worker, now)) {
        continue;
      }
      List<SelectivePreemption.Waiting<Group>> able =
          failures.avoidsAny(worker)
              ? able(stuck, worker, type, now)
              : evictors.computeIfAbsent(
                  worker.machineType() + "/" + worker.zone() + "/" + worker.isSpot(),
                  kind -> able(stuck, worker, type, now));
      List<SelectivePreemption.Waiting<Group>> ready = new ArrayList<>();
      for (SelectivePreemption.Waiting<Group> one : able) {
        if (unmet.get(one) > 0
            && TaskPlacer.allowed(failures, one.what().range(), one.what().first(), worker)) {
          ready.add(one);
        }
      }
      if (ready.isEmpty()) {
        continue;
      }
      SelectivePreemption.Waiting<Group> drawn = falcon.next(ready);
      double freed = evictFor(drawn, worker, type, now);
      if (freed > 0) {
        TaskRange range = drawn.what().range();
        worker.claim(range, now + context.heartbeatIntervalsMs(2));
        // At least one is met, or the next machine would evict for the same task again.
        int met = Math.max(1, (int) Math.floor(freed / Math.max(0.1, range.record().cpus())));
        unmet.merge(drawn, -met, (left, less) -> Math.max(0, left + less));
      }
    }
  }

  private boolean mayEvict(SelectivePreemption.Waiting<Group> one, long now) {
    double waited = one.what().waitedS(now);
    TaskRange range = one.what().range();
    return waited >= context.preemptionDelayS(range.spec(), false)
        || waited >= context.preemptionDelayS(range.spec(), true) && shares.guaranteed(range);
  }

  private boolean anyMay(List<SelectivePreemption.Waiting<Group>> stuck, long now) {
    for (SelectivePreemption.Waiting<Group> one : stuck) {
      if (mayEvict(one, now)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Those that may evict on a machine by condition 3, over Falcon's queue of it: all that waits and
   * may run there, which is the same for all machines of a kind.
   */
  private List<SelectivePreemption.Waiting<Group>> able(
      List<SelectivePreemption.Waiting<Group>> stuck, Worker worker, MachineType type, long now) {
    List<SelectivePreemption.Waiting<Group>> queue = new ArrayList<>();
    for (SelectivePreemption.Waiting<Group> one : stuck) {
      TaskRange range = one.what().range();
      if (one.what().first() >= 0
          && type.fits(range.spec())
          && TaskPlacer.allowed(failures, range, one.what().first(), worker)
          && shares.allows(range.spec())) {
        queue.add(one);
      }
    }
    List<SelectivePreemption.Waiting<Group>> ready = new ArrayList<>();
    for (SelectivePreemption.Waiting<Group> one : falcon.outscoringEnough(queue)) {
      if (mayEvict(one, now)) {
        ready.add(one);
      }
    }
    return ready;
  }

  /** Whether anything on the machine has run so little that it might be evicted at all. */
  private boolean young(Worker worker, long now) {
    for (TaskAttempt task : worker.attempts()) {
      if (task.live()
          && !task.isExemptFromPreemption()
          && task.range() != null
          && task.range().spec() != null
          && (now - task.placedAt()) / 1000.0
              <= context.operatorSettings().victimShare() * task.range().spec().estimateS()) {
        return true;
      }
    }
    return false;
  }

  /** Counts room that is about to be free against what waits for it. */
  private static void meet(Map<SelectivePreemption.Waiting<Group>, Integer> unmet, double cpus) {
    double left = cpus;
    for (Map.Entry<SelectivePreemption.Waiting<Group>, Integer> one : unmet.entrySet()) {
      if (left < 0.1) {
        return;
      }
      double each = Math.max(0.1, one.getKey().what().range().record().cpus());
      int met = (int) Math.min(one.getValue(), Math.floor(left / each + 1e-6));
      one.setValue(one.getValue() - met);
      left -= met * each;
    }
  }

  private static boolean stopping(Worker worker) {
    for (TaskAttempt task : worker.attempts()) {
      if (task.live() && task.isStopping()) {
        return true;
      }
    }
    return false;
  }

  /** Makes room for one waiting task on a machine; returns the CPUs that its victims leave. */
  private double evictFor(
      SelectivePreemption.Waiting<Group> drawn, Worker worker, MachineType type, long now) {
    JobSpec spec = drawn.what().range().spec();
    boolean owed = shares.guaranteed(drawn.what().range());
    List<SelectivePreemption.Running<TaskAttempt>> running = new ArrayList<>();
    for (TaskAttempt task : worker.attempts()) {
      if (task.live()
          && task.range() != null
          && task.range().spec() != null
          && !task.isExemptFromPreemption()
          && !task.range().spec().whole()) { // gangs and services are spared
        JobSpec other = task.range().spec();
        running.add(
            new SelectivePreemption.Running<>(
                task,
                other.priority(),
                falcon.score(task.remainingS(now, other.estimateS()), task.waitedS()),
                // An image on its way is work too: giving it up and fetching again helps nobody.
                (now - task.placedAt()) / 1000.0,
                other.estimateS(),
                owed && shares.owed(spec.team(), other.team())));
      }
    }
    FreeResources free = worker.freeResources(type);
    double cpus = free.cpus();
    double gpus = free.gpus();
    double memory = free.memoryGb();
    List<TaskAttempt> chosen = new ArrayList<>();
    for (SelectivePreemption.Running<TaskAttempt> victim : falcon.victims(drawn, running)) {
      if (cpus >= spec.cpus() && gpus >= spec.gpus() && memory >= spec.memoryGb()) {
        break;
      }
      cpus += victim.what().cpus();
      gpus += victim.what().gpus();
      memory += victim.what().memoryGb();
      chosen.add(victim.what());
    }
    if (chosen.isEmpty() || cpus < spec.cpus() || gpus < spec.gpus() || memory < spec.memoryGb()) {
      return 0;
    }
    double freed = 0;
    for (TaskAttempt victim : chosen) {
      freed += victim.cpus();
      LOG.debug("task {} gives way to {} ({})", victim, spec.id(), spec.priority());
      context.metrics().countEvicted();
      decisions.stop(
          victim, victim.range().spec().hasCheckpoints() ? victim.range().spec().saveS() : 0);
    }
    return freed;
  }
}
