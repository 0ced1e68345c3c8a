package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.worker.FreeResources;
import org.fieldtrestle.worker.TaskAttempt;
import org.fieldtrestle.worker.Worker;

/** Selects the running tasks of a worker that make room for a waiting one. */
final class VictimSelector {
  private final SelectivePreemption falcon;
  private final GuaranteedShares guaranteedShares;

  VictimSelector(SelectivePreemption falcon, GuaranteedShares guaranteedShares) {
    this.falcon = falcon;
    this.guaranteedShares = guaranteedShares;
  }

  /** Whether some task of a worker has run so little that it could be preempted at all. */
  boolean hasPossibleVictim(Worker worker, long nowMs) {
    for (TaskAttempt task : worker.attempts()) {
      if (mayBeStopped(task)
          && falcon.hasRunLittle(elapsedS(task, nowMs), task.range().spec().estimateS())) {
        return true;
      }
    }
    return false;
  }

  /**
   * The tasks to stop so that one task of a group fits a worker, lowest score first.
   *
   * @return an empty list if enough cannot be freed, or if the task fits already
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
    for (RunningTask<TaskAttempt> victim : falcon.victims(waiting, running)) {
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
                falcon.score(task.remainingS(nowMs, spec.estimateS()), task.waitedS()),
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

  /** Seconds since a task was placed: a fetch of its image is work that would be lost too. */
  private static double elapsedS(TaskAttempt task, long nowMs) {
    return (nowMs - task.placedAtMs()) / 1000.0;
  }
}
