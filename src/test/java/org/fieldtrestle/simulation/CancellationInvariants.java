package org.fieldtrestle.simulation;

import java.util.HashMap;
import java.util.Map;

/** Tasks of a cancelled job stop in time, and no start of one is ordered much later. */
final class CancellationInvariants {
  /** Within this time every controller that nothing keeps from it hears of a cancellation. */
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

  /** A user was told that a job is cancelled. */
  void onConfirmed(String jobId) {
    confirmedAtMs.putIfAbsent(jobId, cluster.time.now());
  }

  /** When the cancellation of a job was first confirmed to a user; -1: never. */
  long confirmedAtMs(String jobId) {
    return confirmedAtMs.getOrDefault(jobId, -1L);
  }

  /** Checks that a task that is on a machine now may still be there. */
  void checkStopped(String task) {
    Long confirmed = confirmedAtMs.get(SimulatedJob.idOf(task));
    if (confirmed != null && cluster.time.now() - confirmed > cluster.cancelMs) {
      violations.add("ran_cancelled", task + " " + (cluster.time.now() - confirmed) + " ms after");
    }
  }

  /**
   * Checks a command to start a task that a worker executes. Unless a fault keeps controllers from
   * hearing of the cancellation, none may send such a command some time after its confirmation. (A
   * lost answer of the key-value store does: a watch waits for it until its time-out.)
   */
  void onStartCommand(String task, long sentAtMs) {
    Long confirmed = confirmedAtMs.get(SimulatedJob.idOf(task));
    if (confirmed == null || sentAtMs <= confirmed) {
      return;
    }
    long afterMs = sentAtMs - confirmed;
    startCommands++;
    latestStartCommandAfterMs = Math.max(latestStartCommandAfterMs, afterMs);
    if (afterMs > KNOWN_WITHIN_MS
        && confirmed > cluster.faults.endMs()
        && !cluster.network.losesAnswers()) {
      violations.add("started_cancelled", task + " " + afterMs + " ms after");
    }
  }

  /** How many starts of tasks were ordered after the cancellation of their job was confirmed. */
  int startCommands() {
    return startCommands;
  }

  /** How long after a confirmation the latest of these was sent; 0 if there was none. */
  long latestStartCommandAfterMs() {
    return latestStartCommandAfterMs;
  }
}
