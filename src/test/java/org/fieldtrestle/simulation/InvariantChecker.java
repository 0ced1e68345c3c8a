package org.fieldtrestle.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the rules of the protocol on a simulated history, as users and workers observe it. The
 * simulated users, workers and cluster report each event to the checker, which does not look into
 * the controllers.
 */
final class InvariantChecker {
  private final SimulatedCluster cluster;
  private final Violations violations;
  private final TaskPlacements placements;
  private final PlacementInvariants placementInvariants;
  private final CancellationInvariants cancellationInvariants;
  private final AnswerInvariants answerInvariants;
  private final ProgressInvariants progressInvariants;
  private final Map<String, Integer> startsByMachine = new HashMap<>();
  private int starts;

  InvariantChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
    violations = new Violations(cluster.time);
    placements = new TaskPlacements(cluster);
    placementInvariants = new PlacementInvariants(cluster, violations, placements);
    cancellationInvariants = new CancellationInvariants(cluster, violations);
    answerInvariants = new AnswerInvariants(cluster, violations, cancellationInvariants);
    progressInvariants = new ProgressInvariants(cluster, violations, placements, answerInvariants);
  }

  /** Returns the violations found so far, in the order in which they were found. */
  List<String> violations() {
    return violations.all();
  }

  void clearViolations() {
    violations.clear();
  }

  /** Adds a violation that a simulated user found. */
  void report(String description) {
    violations.report(description);
  }

  // ---- events of workers

  /** Called when a task starts on a machine. */
  void taskStarted(String task, SimulatedWorker machine) {
    SimulatedJob job = cluster.jobs.get(SimulatedJob.idOf(task));
    starts++;
    startsByMachine.merge(machine.id, 1, Integer::sum);
    progressInvariants.onStarted(job);
    violations.trace(task + " starts on " + machine.id);
    placementInvariants.onStarted(job, task, machine);
    cancellationInvariants.checkStopped(task);
  }

  /** Called when a worker executes a command to start a task. */
  void startCommandExecuted(String task, long sentAtMs) {
    cancellationInvariants.onStartCommand(task, sentAtMs);
  }

  /** Called when a task has stopped on a machine. */
  void taskStopped(String task, String machine) {
    SimulatedJob job = cluster.jobs.get(SimulatedJob.idOf(task));
    progressInvariants.onTaskChange(job.id());
    violations.trace(task + " stops on " + machine);
    cancellationInvariants.checkStopped(task);
    placements.remove(job, task, machine);
  }

  // ---- events of users

  /** Called when a user was told that a job is accepted. */
  void jobAccepted(String jobId) {
    answerInvariants.onAccepted(jobId);
  }

  /**
   * Called when a user received an answer about a job.
   *
   * @param status the HTTP status, or 0 if there was no answer
   * @param stage the stage of the job according to the answer
   * @param sentAtMs when the user sent the request
   */
  void answerReceived(String jobId, int status, String stage, long sentAtMs) {
    answerInvariants.onAnswer(jobId, status, stage, sentAtMs);
  }

  // ---- checks of durations and of the end

  /** Checks the conditions that may last only for a limited time. Called periodically. */
  void checkDurations() {
    progressInvariants.countFaults();
    placements.forEachTask(cancellationInvariants::checkStopped);
    progressInvariants.checkWaiting();
  }

  /** Checks what has to hold at the end of a simulated history. */
  void checkFinalProgress() {
    progressInvariants.checkFinalProgress();
  }

  // ---- statistics

  /** Returns how many times tasks started. */
  int starts() {
    return starts;
  }

  int startsOn(String machine) {
    return startsByMachine.getOrDefault(machine, 0);
  }

  /** Returns how many tasks of a job are running. */
  int runningTasksOf(String jobId) {
    return placements.taskCount(jobId);
  }

  /** Whether any task of a job has ever started. */
  boolean hasStarted(String jobId) {
    return progressInvariants.hasStarted(jobId);
  }

  /** Returns the total time during which there have been faults. */
  long faultsSoFarMs() {
    return progressInvariants.faultsSoFarMs();
  }

  boolean isAccepted(String jobId) {
    return answerInvariants.acceptedJobs().contains(jobId);
  }

  /** Returns the stage that users were told last, or null if they were told none yet. */
  String lastStageOf(String jobId) {
    return answerInvariants.lastStage(jobId);
  }

  /** Whether a user was told that a job is done or cancelled. */
  boolean hasEnded(String jobId) {
    return AnswerInvariants.isFinal(lastStageOf(jobId));
  }

  /** Returns the number of jobs that users were told are done. */
  int doneJobs() {
    return answerInvariants.doneJobs();
  }

  /** Returns when the cancellation of a job was first confirmed to a user, or -1 if it was not. */
  long cancellationConfirmedAtMs(String jobId) {
    return cancellationInvariants.confirmedAtMs(jobId);
  }

  /**
   * Returns how many start commands that workers executed were sent after the cancellation of the
   * job was confirmed.
   */
  int startCommandsAfterCancellation() {
    return cancellationInvariants.startCommands();
  }

  /**
   * Returns the longest time between a confirmed cancellation and a later start command, or 0 if
   * there was no such command.
   */
  long latestStartCommandAfterCancellationMs() {
    return cancellationInvariants.latestStartCommandAfterMs();
  }
}
