package org.fieldtrestle.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Jobs begin, do not wait for long while there is room for them, and are mostly done in the end.
 */
final class ProgressInvariants {
  private static final long MAX_WAIT_BESIDE_ROOM_MS = 90_000;
  private static final long LARGEST_BEGIN_WITHIN_MS = 240_000;

  private final SimulatedCluster cluster;
  private final Violations violations;
  private final TaskPlacements placements;
  private final AnswerInvariants answers;

  /** When a task of a job last started or left a machine. */
  private final Map<String, Long> lastMoveAtMs = new HashMap<>();

  /** Since when a task of a job has waited beside room for it. */
  private final Map<String, Long> besideRoomSinceMs = new HashMap<>();

  /** How long after its submission, faults aside, the first task of a job started. */
  private final Map<String, Long> begunAfterMs = new HashMap<>();

  private long faultsSoFarMs;

  ProgressInvariants(
      SimulatedCluster cluster,
      Violations violations,
      TaskPlacements placements,
      AnswerInvariants answers) {
    this.cluster = cluster;
    this.violations = violations;
    this.placements = placements;
    this.answers = answers;
  }

  /** For how long there have been faults so far. */
  long faultsSoFarMs() {
    return faultsSoFarMs;
  }

  boolean hasBegun(String jobId) {
    return begunAfterMs.containsKey(jobId);
  }

  void onStarted(SimulatedJob job) {
    begunAfterMs.putIfAbsent(job.id(), waitedMs(job));
    onMoved(job.id());
  }

  /** A task of the job started or left a machine. */
  void onMoved(String jobId) {
    lastMoveAtMs.put(jobId, cluster.time.now());
  }

  /** How long ago a job was submitted, faults aside. */
  private long waitedMs(SimulatedJob job) {
    return cluster.time.now() - job.submittedAtMs() - (faultsSoFarMs - job.faultDurationBeforeMs());
  }

  /** Counts the time since the last check if there were faults. */
  void countFaults() {
    faultsSoFarMs +=
        cluster.time.now() < cluster.faults.endMs() ? SimulatedCluster.CHECK_INTERVAL_MS : 0;
  }

  /** Checks that no job has waited for too long beside room for one of its tasks. */
  void checkWaiting() {
    Set<String> held = new HashSet<>();
    cluster.cloud.machines.values().forEach(machine -> machine.addTasksTo(held));
    for (String jobId : answers.accepted()) {
      SimulatedJob job = cluster.jobs.get(jobId);
      if (job == null || job.isUnsatisfiable() || !waitsBesideRoom(job, held)) {
        besideRoomSinceMs.remove(jobId);
      } else {
        checkWaiting(jobId);
      }
    }
  }

  private void checkWaiting(String jobId) {
    long nowMs = cluster.time.now();
    long sinceMs = besideRoomSinceMs.computeIfAbsent(jobId, id -> nowMs);
    sinceMs = Math.max(sinceMs, cluster.faults.endMs());
    sinceMs = Math.max(sinceMs, lastMoveAtMs.getOrDefault(jobId, 0L));
    if (nowMs - sinceMs > MAX_WAIT_BESIDE_ROOM_MS) {
      violations.add("waits", jobId + " for " + (nowMs - sinceMs) + " ms though there is room");
      besideRoomSinceMs.remove(jobId);
      lastMoveAtMs.put(jobId, nowMs);
    }
  }

  /** Whether a task of the job is nowhere though a machine that fits has room for it. */
  private boolean waitsBesideRoom(SimulatedJob job, Set<String> held) {
    if (job.isFailing()
        || AnswerInvariants.isFinal(answers.lastStage(job.id()))
        || cluster.users.hasCancelled(job.id())
        || !hasWaitingTask(job, held)
        || PlacementInvariants.exceedsQuota(
            job.team(), placements.usedCpus(job.team()) + job.cpus())) {
      return false;
    }
    Map<String, Integer> counts = placements.countsByZone(job);
    return cluster.cloud.machines.values().stream()
        .anyMatch(machine -> hasRoomFor(job, machine, counts));
  }

  private boolean hasWaitingTask(SimulatedJob job, Set<String> held) {
    for (int i = 0; i < job.tasks(); i++) {
      String task = job.task(i);
      if (placements.machinesOf(job, task).isEmpty()
          && !cluster.hasResult(task)
          && !held.contains(task)) {
        return true;
      }
    }
    return false;
  }

  private static boolean hasRoomFor(
      SimulatedJob job, SimulatedWorker machine, Map<String, Integer> counts) {
    return machine.hasRoom(job.cpus())
        && PlacementInvariants.allows(job, machine)
        && (!job.oneZone() || counts.isEmpty() || counts.containsKey(machine.zone))
        && (!job.spread() || counts.getOrDefault(machine.zone, 0) < job.zoneLimit());
  }

  /**
   * Checks the end of a day: at least half of each team's and class's jobs are done, likewise of
   * the largest (a tenth of all, one at least), which also begin within four minutes, faults aside.
   */
  void checkEndOfDay() {
    Map<String, List<SimulatedJob>> groups = new HashMap<>();
    List<SimulatedJob> all = new ArrayList<>();
    for (SimulatedJob job : cluster.jobs.values()) {
      if (!job.isUnsatisfiable() && !job.isFailing() && !cluster.users.hasCancelled(job.id())) {
        all.add(job);
        groups.computeIfAbsent("team " + job.team(), team -> new ArrayList<>()).add(job);
        groups.computeIfAbsent("class " + job.jobClass(), name -> new ArrayList<>()).add(job);
      }
    }
    all.sort((a, b) -> Integer.compare(b.tasks(), a.tasks()));
    List<SimulatedJob> largest = all.subList(0, Math.min(all.size(), all.size() / 10 + 1));
    groups.put("largest", largest);
    groups.forEach(this::checkHalfDone);
    largest.forEach(this::checkBegan);
  }

  private void checkHalfDone(String group, List<SimulatedJob> jobs) {
    long done = jobs.stream().filter(job -> "done".equals(answers.lastStage(job.id()))).count();
    if (done * 2 < jobs.size()) {
      violations.add("unserved", group + ": " + done + " of " + jobs.size());
    }
  }

  private void checkBegan(SimulatedJob job) {
    long waitedMs = begunAfterMs.getOrDefault(job.id(), waitedMs(job));
    if (waitedMs > LARGEST_BEGIN_WITHIN_MS) {
      violations.add(
          "unserved", job.id() + " is of the largest and began after " + waitedMs + " ms");
    }
  }
}
