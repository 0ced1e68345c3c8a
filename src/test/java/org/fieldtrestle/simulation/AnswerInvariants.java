package org.fieldtrestle.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Users are told what is so: no accepted job is forgotten, none ends twice or differently, and a
 * job that is done has the results of all its tasks.
 */
final class AnswerInvariants {
  /** An accepted job without an answer for longer than this counts as forgotten. */
  private static final long MAX_UNANSWERED_MS = 75_000;

  private final SimulatedCluster cluster;
  private final Violations violations;
  private final CancellationInvariants cancellations;
  private final Set<String> accepted = new HashSet<>();
  private final Map<String, String> lastStages = new HashMap<>();
  private final Map<String, Long> endedAtMs = new HashMap<>();
  private final Map<String, Long> unansweredSinceMs = new HashMap<>();
  private int doneJobs;

  AnswerInvariants(
      SimulatedCluster cluster, Violations violations, CancellationInvariants cancellations) {
    this.cluster = cluster;
    this.violations = violations;
    this.cancellations = cancellations;
  }

  static boolean isFinal(String stage) {
    return "done".equals(stage) || "cancelled".equals(stage);
  }

  Set<String> accepted() {
    return accepted;
  }

  void onAccepted(String jobId) {
    accepted.add(jobId);
    SimulatedJob job = cluster.jobs.get(jobId);
    if (job != null && job.isUnsatisfiable()) {
      violations.add("accepted_hopeless", jobId);
    }
  }

  /** The stage that a user was told last; null: none yet. */
  String lastStage(String jobId) {
    return lastStages.get(jobId);
  }

  /** How many jobs users were told to be done. */
  int doneJobs() {
    return doneJobs;
  }

  /** Checks an answer about a job to a request that was sent at a time. */
  void onTold(String jobId, int status, String stage, long askedAtMs) {
    switch (status) {
      case 200 -> onStage(jobId, stage, askedAtMs);
      case 404 -> onNotFound(jobId);
      default -> onUnanswered(jobId);
    }
  }

  private void onNotFound(String jobId) {
    if (accepted.contains(jobId)) {
      violations.add("forgotten", jobId);
    }
  }

  private void onUnanswered(String jobId) {
    if (!accepted.contains(jobId)) {
      return;
    }
    long nowMs = cluster.time.now();
    long sinceMs =
        Math.max(unansweredSinceMs.computeIfAbsent(jobId, id -> nowMs), cluster.faults.endMs());
    if (nowMs - sinceMs > MAX_UNANSWERED_MS) {
      violations.add("forgotten", jobId + " cannot be asked about for " + (nowMs - sinceMs));
    }
  }

  private void onStage(String jobId, String stage, long askedAtMs) {
    unansweredSinceMs.remove(jobId);
    if (!cluster.jobs.containsKey(jobId)) {
      violations.add("invented", jobId);
      return;
    }
    accepted.add(jobId);
    String before = lastStages.get(jobId);
    boolean askedBeforeEnd = endedAtMs.containsKey(jobId) && askedAtMs < endedAtMs.get(jobId);
    if (askedBeforeEnd && !stage.equals(before)) {
      return;
    }
    if (isFinal(before) && !before.equals(stage)) {
      violations.add("went_back", jobId + " was " + before + " and is " + stage);
    }
    if (stage.equals("cancelled")) {
      onCancelled(jobId);
    }
    if (stage.equals("done") && !"done".equals(before)) {
      onDone(cluster.jobs.get(jobId));
    }
    lastStages.put(jobId, stage);
    if (isFinal(stage)) {
      endedAtMs.putIfAbsent(jobId, cluster.time.now());
    }
  }

  private void onCancelled(String jobId) {
    if (!cluster.users.hasCancelled(jobId)) {
      violations.add("went_back", jobId + " is cancelled, but nobody asked for that");
    }
    cancellations.onConfirmed(jobId);
  }

  private void onDone(SimulatedJob job) {
    doneJobs++;
    for (int i = 0; i < job.tasks(); i++) {
      if (!cluster.hasResult(job.task(i))) {
        violations.add("not_done", job.task(i));
      }
    }
  }
}
