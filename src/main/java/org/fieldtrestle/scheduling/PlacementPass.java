package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.worker.FreeResources;
import org.fieldtrestle.worker.TaskRange;

/** The state of one placement pass: the workers with free resources and the work that waits. */
final class PlacementPass {
  private final long nowMs;
  private final double reservedCpus;

  /** Free resources of the workers that have room for the smallest waiting task. */
  private final List<FreeResources> candidates = new ArrayList<>();

  /** Seconds of run time that wait, by image. */
  private final Map<String, Double> waitingWorkS = new HashMap<>();

  /** Whether tasks of a range wait for a worker that has their image; decided once in a pass. */
  private final Map<TaskRange, Boolean> waitsForImage = new HashMap<>();

  private double freeCpus;
  private double totalCpus;

  /**
   * Begins a pass.
   *
   * @param workers the free resources of all workers that may be given tasks
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

  /** The time of the pass in ms. */
  long nowMs() {
    return nowMs;
  }

  /** Free resources of the workers that may take a task. */
  List<FreeResources> candidates() {
    return candidates;
  }

  /** CPUs that are reserved for latency-sensitive jobs during this pass. */
  double reservedCpus() {
    return reservedCpus;
  }

  /** CPUs that are free on all workers. */
  double freeCpus() {
    return freeCpus;
  }

  /** Whether no worker runs anything. */
  boolean isIdle() {
    return freeCpus >= totalCpus - 1e-6;
  }

  /** Seconds of run time of the waiting tasks that use an image. */
  double waitingWorkS(String image) {
    return waitingWorkS.getOrDefault(image, 0.0);
  }

  /** What was decided in this pass on whether a range waits for its image; null if nothing was. */
  Boolean waitsForImage(TaskRange range) {
    return waitsForImage.get(range);
  }

  /** Keeps a decision on whether tasks of a range wait for a worker that has their image. */
  void setWaitsForImage(TaskRange range, boolean waits) {
    waitsForImage.put(range, waits);
  }

  /** Accounts for a task of a job that was placed. */
  void placed(FreeResources worker, JobSpec spec) {
    freeCpus -= Math.min(worker.cpus(), spec.cpus());
    worker.take(spec);
    waitingWorkS.merge(spec.image(), -spec.estimateS(), Double::sum);
  }
}
