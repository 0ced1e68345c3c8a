package org.fieldtrestle.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks a simulated history for the rules of the protocol, as users and workers see it. Users,
 * workers and the cluster tell it of each event; it knows nothing of the controllers.
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
    placementInvariants = new PlacementInvariants(violations, placements);
    cancellationInvariants = new CancellationInvariants(cluster, violations);
    answerInvariants = new AnswerInvariants(cluster, violations, cancellationInvariants);
    progressInvariants = new ProgressInvariants(cluster, violations, placements, answerInvariants);
  }

  /** The violations so far, in the order in which they were found. */
  List<String> violations() {
    return violations.all();
  }

  void clearViolations() {
    violations.clear();
  }

  /** Adds a violation that a user found. */
  void report(String what) {
    violations.report(what);
  }

  // ---- events at workers

  /** A task starts on a machine. */
  void taskStarted(String task, SimulatedWorker machine) {
    SimulatedJob job = cluster.jobs.get(SimulatedJob.idOf(task));
    starts++;
    startsByMachine.merge(machine.id, 1, Integer::sum);
    progressInvariants.onStarted(job);
    violations.trace(task + " starts on " + machine.id);
    placementInvariants.onStarted(job, task, machine);
    cancellationInvariants.checkStopped(task);
  }

  /** A worker executes a command, sent at a time, to start a task. */
  void startCommandExecuted(String task, long sentAtMs) {
    cancellationInvariants.onStartCommand(task, sentAtMs);
  }

  /** A task has stopped on a machine. */
  void taskStopped(String task, String machine) {
    SimulatedJob job = cluster.jobs.get(SimulatedJob.idOf(task));
    progressInvariants.onMoved(job.id());
    violations.trace(task + " leaves " + machine);
    cancellationInvariants.checkStopped(task);
    placements.remove(job, task, machine);
  }

  // ---- events at users

  /** A user was told that a job is accepted. */
  void jobAccepted(String jobId) {
    answerInvariants.onAccepted(jobId);
  }

  /** A user was told something of a job, in answer to a request sent at a time. */
  void answerReceived(String jobId, int status, String stage, long sentAtMs) {
    answerInvariants.onTold(jobId, status, stage, sentAtMs);
  }

  // ---- checks by time

  /** Checks what may last for a limited time only; called periodically. */
  void checkDurations() {
    progressInvariants.countFaults();
    placements.forEachTask(cancellationInvariants::checkStopped);
    progressInvariants.checkWaiting();
  }

  /** Checks what has to hold once a day is over. */
  void checkFinalProgress() {
    progressInvariants.checkFinalProgress();
  }

  // ---- figures

  /** How many times tasks started. */
  int starts() {
    return starts;
  }

  int startsOn(String machine) {
    return startsByMachine.getOrDefault(machine, 0);
  }

  /** How many tasks of a job are on machines. */
  int runningTasksOf(String jobId) {
    return placements.countOf(jobId);
  }

  /** Whether any task of a job has ever started. */
  boolean hasStarted(String jobId) {
    return progressInvariants.hasStarted(jobId);
  }

  /** For how long there have been faults so far. */
  long faultsSoFarMs() {
    return progressInvariants.faultsSoFarMs();
  }

  boolean isAccepted(String jobId) {
    return answerInvariants.accepted().contains(jobId);
  }

  /** The stage that a user was told last; null: none yet. */
  String lastStageOf(String jobId) {
    return answerInvariants.lastStage(jobId);
  }

  /** Whether a user was told that a job is done or cancelled. */
  boolean hasEnded(String jobId) {
    return AnswerInvariants.isFinal(lastStageOf(jobId));
  }

  /** How many jobs users were told to be done. */
  int doneJobs() {
    return answerInvariants.doneJobs();
  }

  /** When the cancellation of a job was first confirmed to a user; -1: never. */
  long cancellationConfirmedAtMs(String jobId) {
    return cancellationInvariants.confirmedAtMs(jobId);
  }

  /** How many starts of tasks were ordered after the cancellation of their job was confirmed. */
  int startCommandsAfterCancellation() {
    return cancellationInvariants.startCommands();
  }

  /** How long after a confirmation the latest of these was sent; 0 if there was none. */
  long latestStartCommandAfterCancellationMs() {
    return cancellationInvariants.latestStartCommandAfterMs();
  }
}
