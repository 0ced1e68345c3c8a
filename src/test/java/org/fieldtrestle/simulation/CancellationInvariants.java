package org.fieldtrestle.simulation;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks that the tasks of a cancelled job stop within the limit, and that no controller commands a
 * start of one long after the cancellation was confirmed.
 */
final class CancellationInvariants {
  /** Every controller that no fault hinders learns of a confirmed cancellation within this time. */
  private static final long KNOWN_WITHIN_MS = 1000;

  private final SimulatedCluster cluster;
  private final Violations violations;
  private final Map<String, Long> confirmedAtMs = new HashMap<>();
  private int startCommands;
  private long latestStartCommandAfterMs;

  CancellationInvariants(SimulatedCluster cluster, Violations violations) {
    this.cluster = cluster;
    this.violations = violations;
  }

  /** Called when a user was told that a job is cancelled. */
  void onConfirmed(String jobId) {
    confirmedAtMs.putIfAbsent(jobId, cluster.time.now());
  }

  /** Returns when the cancellation of a job was first confirmed to a user, or -1 if it was not. */
  long confirmedAtMs(String jobId) {
    return confirmedAtMs.getOrDefault(jobId, -1L);
  }

  /** Checks that a task that is running now may still run. */
  void checkStopped(String task) {
    Long jobConfirmedAtMs = confirmedAtMs.get(SimulatedJob.idOf(task));
    if (jobConfirmedAtMs != null && cluster.time.now() - jobConfirmedAtMs > cluster.cancelMs) {
      violations.add(
          "ran_cancelled", task + " " + (cluster.time.now() - jobConfirmedAtMs) + " ms after");
    }
  }

  /**
   * Checks a command to start a task that a worker executes. Once {@link #KNOWN_WITHIN_MS} have
   * passed since the confirmation of a cancellation, no controller may send such a command unless a
   * fault keeps it from learning of the cancellation. Losing an answer of the key-value store is
   * such a fault, since a watch waits for the lost answer until its time-out.
   */
  void onStartCommand(String task, long sentAtMs) {
    Long jobConfirmedAtMs = confirmedAtMs.get(SimulatedJob.idOf(task));
    if (jobConfirmedAtMs == null || sentAtMs <= jobConfirmedAtMs) {
      return;
    }
    long afterMs = sentAtMs - jobConfirmedAtMs;
    startCommands++;
    latestStartCommandAfterMs = Math.max(latestStartCommandAfterMs, afterMs);
    if (afterMs > KNOWN_WITHIN_MS
        && jobConfirmedAtMs > cluster.faults.endMs()
        && !cluster.network.losesAnswers()) {
      violations.add("started_cancelled", task + " " + afterMs + " ms after");
    }
  }

  /**
   * Returns how many start commands that workers executed were sent after the cancellation of the
   * job was confirmed.
   */
  int startCommands() {
    return startCommands;
  }

  /**
   * Returns the longest time between a confirmed cancellation and a later start command, or 0 if
   * there was no such command.
   */
  long latestStartCommandAfterMs() {
    return latestStartCommandAfterMs;
  }
}
