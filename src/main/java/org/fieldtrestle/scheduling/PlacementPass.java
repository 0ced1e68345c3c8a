package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.worker.FreeResources;
import org.fieldtrestle.worker.TaskRange;

/** The state of one placement pass: the workers with free resources and the waiting work. */
final class PlacementPass {
  private final long nowMs;
  private final double reservedCpus;

  /**
   * Free resources of the workers that have at least the smallest amount of each resource that a
   * waiting task asks for.
   */
  private final List<FreeResources> candidates = new ArrayList<>();

  /** Estimated run time of the waiting tasks in seconds, by image. */
  private final Map<String, Double> waitingWorkS = new HashMap<>();

  /**
   * Whether the tasks of a range must wait for a worker that has their image; decided once per
   * pass.
   */
  private final Map<TaskRange, Boolean> mustWaitForImage = new HashMap<>();

  private double freeCpus;
  private double totalCpus;

  /**
   * Creates the state at the start of a pass.
   *
   * @param groups the groups of waiting tasks that may be placed
   * @param workers the free resources of all workers on which tasks may be placed
   * @param reservedCpus CPUs that are reserved for latency-sensitive jobs
   */
  PlacementPass(
      long nowMs,
      List<QueuedGroup<WaitingTasks>> groups,
      List<FreeResources> workers,
      double reservedCpus) {
    this.nowMs = nowMs;
    this.reservedCpus = reservedCpus;
    double leastCpus = Double.MAX_VALUE;
    double leastGpus = Double.MAX_VALUE;
    double leastMemoryGb = Double.MAX_VALUE;
    for (QueuedGroup<WaitingTasks> group : groups) {
      JobSpec spec = group.tasks().range().spec();
      leastCpus = Math.min(leastCpus, spec.cpus());
      leastGpus = Math.min(leastGpus, spec.gpus());
      leastMemoryGb = Math.min(leastMemoryGb, spec.memoryGb());
      waitingWorkS.merge(spec.image(), group.count() * spec.estimateS(), Double::sum);
    }
    for (FreeResources worker : workers) {
      freeCpus += worker.cpus();
      totalCpus += worker.machineType().cpus();
      if (worker.has(leastCpus, leastGpus, leastMemoryGb)) {
        candidates.add(worker);
      }
    }
  }

  /** Returns the time of the pass in milliseconds. */
  long nowMs() {
    return nowMs;
  }

  /** Returns the free resources of the workers that may have room for a waiting task. */
  List<FreeResources> candidates() {
    return candidates;
  }

  /** Returns the CPUs that are reserved for latency-sensitive jobs during this pass. */
  double reservedCpus() {
    return reservedCpus;
  }

  /** Returns the number of free CPUs of all workers together. */
  double freeCpus() {
    return freeCpus;
  }

  /** Whether no CPU of any worker is in use. */
  boolean isIdle() {
    return freeCpus >= totalCpus - 1e-6;
  }

  /** Returns the estimated run time in seconds of all waiting tasks that use an image. */
  double waitingWorkS(String image) {
    return waitingWorkS.getOrDefault(image, 0.0);
  }

  /**
   * Returns whether the tasks of a range must wait for a worker that has their image, or {@code
   * null} if this pass has not decided that yet.
   */
  Boolean mustWaitForImage(TaskRange range) {
    return mustWaitForImage.get(range);
  }

  /**
   * Stores the decision whether the tasks of a range must wait for a worker that has their image.
   */
  void setMustWaitForImage(TaskRange range, boolean mustWait) {
    mustWaitForImage.put(range, mustWait);
  }

  /** Subtracts the resources and the work of a task that was placed on a worker. */
  void recordPlacement(FreeResources worker, JobSpec spec) {
    freeCpus -= Math.min(worker.cpus(), spec.cpus());
    worker.take(spec);
    waitingWorkS.merge(spec.image(), -spec.estimateS(), Double::sum);
  }
}
