package org.fieldtrestle.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that jobs start, that no job waits for long while a machine has room for one of its tasks,
 * and that most jobs are done in the end.
 */
final class ProgressInvariants {
  private static final long MAX_WAIT_DESPITE_ROOM_MS = 90_000;
  private static final long MAX_START_DELAY_OF_LARGEST_MS = 240_000;

  private final SimulatedCluster cluster;
  private final Violations violations;
  private final TaskPlacements placements;
  private final AnswerInvariants answers;

  /** When a task of a job last started or stopped, by job. */
  private final Map<String, Long> lastChangeAtMs = new HashMap<>();

  /** Since when a task of a job has waited although a machine has room for it, by job. */
  private final Map<String, Long> waitsDespiteRoomSinceMs = new HashMap<>();

  /**
   * How long after the submission the first task of a job started, by job. The time during which
   * there were faults does not count.
   */
  private final Map<String, Long> startDelaysMs = new HashMap<>();

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

  /** Returns the total time during which there have been faults. */
  long faultsSoFarMs() {
    return faultsSoFarMs;
  }

  boolean hasStarted(String jobId) {
    return startDelaysMs.containsKey(jobId);
  }

  void onStarted(SimulatedJob job) {
    startDelaysMs.putIfAbsent(job.id(), waitedMs(job));
    onTaskChange(job.id());
  }

  /** Called when a task of the job has started or stopped. */
  void onTaskChange(String jobId) {
    lastChangeAtMs.put(jobId, cluster.time.nowMs());
  }

  /** Returns the time since the submission of a job, without the time of faults since then. */
  private long waitedMs(SimulatedJob job) {
    return cluster.time.nowMs()
        - job.submittedAtMs()
        - (faultsSoFarMs - job.faultDurationBeforeMs());
  }

  /** Adds the time since the last check to the time of faults if faults still last. */
  void countFaults() {
    faultsSoFarMs +=
        cluster.time.nowMs() < cluster.faults.endMs() ? SimulatedCluster.CHECK_INTERVAL_MS : 0;
  }

  /** Checks that no job has waited for too long while a machine has room for one of its tasks. */
  void checkWaiting() {
    Set<String> heldTasks = new HashSet<>();
    cluster.cloud.machines.values().forEach(machine -> machine.addTasksTo(heldTasks));
    for (String jobId : answers.acceptedJobs()) {
      SimulatedJob job = cluster.jobs.get(jobId);
      if (job == null || job.isUnsatisfiable() || !waitsDespiteRoom(job, heldTasks)) {
        waitsDespiteRoomSinceMs.remove(jobId);
      } else {
        checkWaiting(jobId);
      }
    }
  }

  private void checkWaiting(String jobId) {
    long nowMs = cluster.time.nowMs();
    long sinceMs = waitsDespiteRoomSinceMs.computeIfAbsent(jobId, id -> nowMs);
    sinceMs = Math.max(sinceMs, cluster.faults.endMs());
    sinceMs = Math.max(sinceMs, lastChangeAtMs.getOrDefault(jobId, 0L));
    if (nowMs - sinceMs > MAX_WAIT_DESPITE_ROOM_MS) {
      violations.add("waits", jobId + " for " + (nowMs - sinceMs) + " ms though there is room");
      waitsDespiteRoomSinceMs.remove(jobId);
      lastChangeAtMs.put(jobId, nowMs);
    }
  }

  /** Whether a task of the job is on no machine although a suitable machine has room for it. */
  private boolean waitsDespiteRoom(SimulatedJob job, Set<String> heldTasks) {
    if (job.isFailing()
        || AnswerInvariants.isFinal(answers.lastStage(job.id()))
        || cluster.users.hasCancelled(job.id())
        || !hasWaitingTask(job, heldTasks)
        || cluster.exceedsQuota(job.team(), placements.usedCpus(job.team()) + job.cpus())) {
      return false;
    }
    Map<String, Integer> tasksByZone = placements.countsByZone(job);
    return cluster.cloud.machines.values().stream()
        .anyMatch(machine -> hasRoomFor(job, machine, tasksByZone));
  }

  private boolean hasWaitingTask(SimulatedJob job, Set<String> heldTasks) {
    for (int i = 0; i < job.tasks(); i++) {
      String task = job.task(i);
      if (placements.machinesOf(job, task).isEmpty()
          && !cluster.hasResult(task)
          && !heldTasks.contains(task)) {
        return true;
      }
    }
    return false;
  }

  private static boolean hasRoomFor(
      SimulatedJob job, SimulatedWorker machine, Map<String, Integer> tasksByZone) {
    return machine.hasRoom(job.cpus())
        && PlacementInvariants.allows(job, machine)
        && (!job.oneZone() || tasksByZone.isEmpty() || tasksByZone.containsKey(machine.zone))
        && (!job.spread() || tasksByZone.getOrDefault(machine.zone, 0) < job.zoneLimit());
  }

  /**
   * Checks the end of a simulated history: at least half of the jobs of each team and of each class
   * are done, and at least half of the largest jobs (a tenth of all jobs, but at least one). Each
   * of the largest jobs also has to start within four minutes, not counting the time of faults.
   * Jobs that are unsatisfiable, that always fail or that users cancelled are left out.
   */
  void checkFinalProgress() {
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
    largest.forEach(this::checkStartDelay);
  }

  private void checkHalfDone(String group, List<SimulatedJob> jobs) {
    long done = jobs.stream().filter(job -> "done".equals(answers.lastStage(job.id()))).count();
    if (done * 2 < jobs.size()) {
      violations.add("unserved", group + ": " + done + " of " + jobs.size());
    }
  }

  private void checkStartDelay(SimulatedJob job) {
    long waitedMs = startDelaysMs.getOrDefault(job.id(), waitedMs(job));
    if (waitedMs > MAX_START_DELAY_OF_LARGEST_MS) {
      violations.add(
          "unserved", job.id() + " is of the largest and began after " + waitedMs + " ms");
    }
  }
}
