package org.fieldtrestle.worker;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.fieldtrestle.protocol.CloudProtocol.MachineType;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.protocol.WorkerProtocol;
import org.fieldtrestle.state.Records;

/** A worker of a shard, and everything that is or may be on it. Times are in ms. */
public final class Worker extends WorkerLifecycle {
  private final String id;
  private final String machineType;
  private final String zone;
  private final boolean spot;
  private final long knownSinceMs;

  /** For how long the machine had been rented when it became known here. */
  private final long rentedBeforeMs;

  private final WorkerConnection connection;
  private final FailureHistory failures = new FailureHistory();
  private final AttemptTable attempts;
  private final ImageCache images = new ImageCache();

  /** Reported tasks that the shard does not expect here: only to be stopped and cleared. */
  private final List<WorkerProtocol.ReportedTask> unknownTasks = new ArrayList<>();

  /** The range for which tasks were preempted here, and until when its room is kept for it. */
  private TaskRange claim;

  private long claimUntilMs;

  /**
   * A worker that has just become known.
   *
   * @param firstToken the fencing token that it is sent first
   * @param rentedBeforeMs for how long its machine has been rented already
   */
  Worker(
      String id,
      Records.Machine record,
      long firstToken,
      long nowMs,
      long rentedBeforeMs,
      TeamUsage teamUsage) {
    super(nowMs);
    this.id = id;
    this.machineType = record.type();
    this.zone = record.zone();
    this.spot = record.spot();
    this.knownSinceMs = nowMs;
    this.rentedBeforeMs = rentedBeforeMs;
    this.connection = new WorkerConnection(firstToken, nowMs);
    this.attempts = new AttemptTable(teamUsage);
  }

  // ---- identity

  /** The worker's name. */
  public String id() {
    return id;
  }

  /** The name of its machine type. */
  public String machineType() {
    return machineType;
  }

  /** The name of its zone. */
  public String zone() {
    return zone;
  }

  /** Whether the cloud may take its machine back after a notice. */
  public boolean isSpot() {
    return spot;
  }

  /** Since when the worker is known here, in ms. */
  public long since() {
    return knownSinceMs;
  }

  /** For how long its machine has been rented, in ms. */
  public long ageMs(long nowMs) {
    return nowMs - knownSinceMs + rentedBeforeMs;
  }

  // ---- its messages and its lease

  WorkerConnection connection() {
    return connection;
  }

  FencingState fencing() {
    return connection.fencing();
  }

  /** Nothing that was started in this incarnation can still run. */
  public void expireLease() {
    connection.expireLease();
  }

  @Override
  public void markTerminated() {
    super.markTerminated();
    connection.expireLease();
  }

  /** Whether the lease has expired and the worker has not reported since. */
  public boolean isLeaseExpired() {
    return connection.isLeaseExpired();
  }

  /** Whether the worker has reported in this term. */
  public boolean hasReported() {
    return connection.hasReported();
  }

  /** Whether what is on the worker is known. */
  public boolean isReconciled() {
    return connection.isReconciled();
  }

  /** Whether the worker seems not to receive the answers to its heartbeats. */
  public boolean isUnresponsive() {
    return connection.isUnresponsive();
  }

  /** Since when the worker is unresponsive, in ms, where it is. */
  public long unresponsiveSince() {
    return connection.unresponsiveSinceMs();
  }

  /** Whether no command that was sent can still be executed late. */
  public boolean hasNoCommandInFlight() {
    return fencing().hasNoCommandInFlight();
  }

  /** The token that commands to the worker carry. */
  public long fencingToken() {
    return fencing().token();
  }

  /** The incarnation that the worker reported last; below 0 where there is none. */
  long incarnation() {
    return connection.order().incarnation();
  }

  FailureHistory failures() {
    return failures;
  }

  // ---- its tasks

  /** The attempt at a task that is or may be on the worker; null where there is none. */
  public TaskAttempt attempt(TaskId task) {
    return attempts.get(task);
  }

  /** All attempts that are or may be on the worker, those that have ended included. */
  public Collection<TaskAttempt> attempts() {
    return attempts.all();
  }

  /** As {@link #attempts}, for a caller that changes what is on the worker meanwhile. */
  List<TaskAttempt> copyOfAttempts() {
    return attempts.copy();
  }

  /** The attempt is or may be on the worker from now on. */
  public void put(TaskAttempt attempt) {
    attempts.put(attempt);
  }

  void remove(TaskAttempt attempt) {
    attempts.remove(attempt);
  }

  void changeState(TaskAttempt attempt, TaskAttempt.State next) {
    attempts.changeState(attempt, next);
  }

  /** Reported tasks that the shard does not expect here. */
  List<WorkerProtocol.ReportedTask> unknownTasks() {
    return unknownTasks;
  }

  void clearUnknownTasks() {
    unknownTasks.clear();
  }

  void addUnknownTask(WorkerProtocol.ReportedTask reported) {
    unknownTasks.add(reported);
  }

  /** Whether a task on the worker still waits for its image. */
  public boolean fetching() {
    return attempts.isFetching();
  }

  /** Whether nothing that has not ended is on the worker. */
  public boolean empty() {
    return attempts.isEmpty();
  }

  /** CPUs that its tasks take. */
  public double usedCpus() {
    return attempts.usedCpus();
  }

  /** What is free on the worker, for as long as nothing changes. */
  public FreeResources freeResources(MachineType type) {
    return attempts.freeResources(this, type);
  }

  // ---- images and claims

  /** A task with this image was placed on the worker or is there; sizes are in GB. */
  public void usesImage(String image, double gb, double cacheGb) {
    images.use(image, gb, cacheGb);
  }

  /** Whether the worker should have the image. */
  public boolean hasImage(String image) {
    return images.has(image);
  }

  /** Keeps the room that a preemption frees for its range, or the victim would take it back. */
  public void claim(TaskRange range, long untilMs) {
    claim = range;
    claimUntilMs = untilMs;
  }

  /** Whether room on the worker is kept for the range. */
  public boolean claimedBy(TaskRange range, long nowMs) {
    return claim == range && nowMs < claimUntilMs;
  }

  /** Whether room on the worker is kept for another range that the range must not come before. */
  public boolean claimedFrom(TaskRange range, long nowMs) {
    return claim != null
        && claim != range
        && nowMs < claimUntilMs
        && claim.spec() != null
        && claim.waiting() > 0
        && !range.spec().priority().above(claim.spec().priority());
  }
}
