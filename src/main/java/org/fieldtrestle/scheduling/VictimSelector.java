package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.worker.FreeResources;
import org.fieldtrestle.worker.TaskAttempt;
import org.fieldtrestle.worker.Worker;

/** Selects the running tasks of a worker that are stopped to make room for a waiting task. */
final class VictimSelector {
  private final SelectivePreemption selectivePreemption;
  private final GuaranteedShares guaranteedShares;

  VictimSelector(SelectivePreemption selectivePreemption, GuaranteedShares guaranteedShares) {
    this.selectivePreemption = selectivePreemption;
    this.guaranteedShares = guaranteedShares;
  }

  /**
   * Whether the worker has a task that may be stopped and has run for so short a time that it may
   * be preempted.
   */
  boolean hasPossibleVictim(Worker worker, long nowMs) {
    for (TaskAttempt task : worker.attempts()) {
      if (mayBeStopped(task)
          && selectivePreemption.isEarlyInRun(
              elapsedS(task, nowMs), task.range().spec().estimateS())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the tasks that have to be stopped so that one task of a group fits on a worker, lowest
   * score first.
   *
   * @return an empty list if not enough resources can be freed, or if the task already fits
   */
  List<TaskAttempt> select(
      QueuedGroup<WaitingTasks> waiting, Worker worker, MachineType type, long nowMs) {
    JobSpec spec = waiting.tasks().range().spec();
    List<RunningTask<TaskAttempt>> running = candidates(waiting, worker, nowMs);
    FreeResources free = worker.freeResources(type);
    double cpus = free.cpus();
    double gpus = free.gpus();
    double memoryGb = free.memoryGb();
    List<TaskAttempt> selected = new ArrayList<>();
    for (RunningTask<TaskAttempt> victim : selectivePreemption.victims(waiting, running)) {
      if (cpus >= spec.cpus() && gpus >= spec.gpus() && memoryGb >= spec.memoryGb()) {
        break;
      }
      TaskAttempt task = victim.task();
      cpus += task.cpus();
      gpus += task.gpus();
      memoryGb += task.memoryGb();
      selected.add(task);
    }
    boolean fits = cpus >= spec.cpus() && gpus >= spec.gpus() && memoryGb >= spec.memoryGb();
    return fits ? selected : List.of();
  }

  private List<RunningTask<TaskAttempt>> candidates(
      QueuedGroup<WaitingTasks> waiting, Worker worker, long nowMs) {
    String team = waiting.tasks().range().spec().team();
    boolean guaranteed = guaranteedShares.isGuaranteed(waiting.tasks().range());
    List<RunningTask<TaskAttempt>> candidates = new ArrayList<>();
    for (TaskAttempt task : worker.attempts()) {
      // Gangs and services are never preempted.
      if (mayBeStopped(task) && !task.range().spec().isCoScheduled()) {
        JobSpec spec = task.range().spec();
        candidates.add(
            new RunningTask<>(
                task,
                spec.priority(),
                selectivePreemption.score(task.remainingS(nowMs, spec.estimateS()), task.waitedS()),
                elapsedS(task, nowMs),
                spec.estimateS(),
                guaranteed && guaranteedShares.mayReclaim(team, spec.team())));
      }
    }
    return candidates;
  }

  private static boolean mayBeStopped(TaskAttempt task) {
    return task.isLive()
        && !task.isExemptFromPreemption()
        && task.range() != null
        && task.range().spec() != null;
  }

  /**
   * Returns the seconds since a task was placed. The fetch of its image counts, as that work would
   * be lost as well.
   */
  private static double elapsedS(TaskAttempt task, long nowMs) {
    return (nowMs - task.placedAtMs()) / 1000.0;
  }
}
