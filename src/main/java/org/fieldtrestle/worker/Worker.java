package org.fieldtrestle.worker;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.protocol.TaskStatus;
import org.fieldtrestle.state.MachineRecord;

/** A worker of a shard, and the attempts that are or may be on it. Times are in milliseconds. */
public final class Worker extends WorkerLifecycle {
  private final String id;
  private final String machineType;
  private final String zone;
  private final boolean spot;
  private final long knownSinceMs;

  /** For how long the machine had been rented when this controller learned of it. */
  private final long rentedBeforeMs;

  private final WorkerConnection connection;
  private final FailureHistory failureHistory = new FailureHistory();
  private final AttemptTable attempts;
  private final ImageCache images = new ImageCache();

  /**
   * Reported tasks that the shard does not expect on this worker. They are only stopped and
   * cleared.
   */
  private final List<TaskStatus> unknownTasks = new ArrayList<>();

  /**
   * The range for which tasks were preempted here. The freed resources are kept for it for a while.
   */
  private TaskRange claim;

  private long claimUntilMs;

  /**
   * Creates a worker that has just become known.
   *
   * @param firstToken the first fencing token that is sent to the worker
   * @param rentedBeforeMs for how long the machine has already been rented
   */
  Worker(
      String id,
      MachineRecord record,
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

  /** Returns the worker's id. */
  public String id() {
    return id;
  }

  /** Returns the name of the worker's machine type. */
  public String machineType() {
    return machineType;
  }

  /** Returns the name of the worker's zone. */
  public String zone() {
    return zone;
  }

  /** Whether the worker runs on a spot machine, which the cloud may take back after a notice. */
  public boolean isSpot() {
    return spot;
  }

  /** Returns since when this controller has known the worker, in milliseconds. */
  public long knownSinceMs() {
    return knownSinceMs;
  }

  /** Returns for how long the worker's machine has been rented, in milliseconds. */
  public long ageMs(long nowMs) {
    return nowMs - knownSinceMs + rentedBeforeMs;
  }

  // ---- messages and lease

  WorkerConnection connection() {
    return connection;
  }

  FencingState fencing() {
    return connection.fencing();
  }

  /** Called when nothing that was started in this incarnation can still run. */
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

  /** Whether the tasks on the worker are known. */
  public boolean isReconciled() {
    return connection.isReconciled();
  }

  /** Whether the worker seems not to receive the answers to its heartbeats. */
  public boolean isUnresponsive() {
    return connection.isUnresponsive();
  }

  /**
   * Returns since when the worker has been unresponsive, in milliseconds; negative if it is
   * responsive.
   */
  public long unresponsiveSinceMs() {
    return connection.unresponsiveSinceMs();
  }

  /** Whether no command that was sent to the worker can still be executed late. */
  public boolean hasNoCommandInFlight() {
    return fencing().hasNoCommandInFlight();
  }

  /** Returns the fencing token that commands to the worker carry. */
  public long fencingToken() {
    return fencing().token();
  }

  /** Returns the last incarnation that the worker has reported; negative if it has not reported. */
  long incarnation() {
    return connection.order().incarnation();
  }

  FailureHistory failureHistory() {
    return failureHistory;
  }

  // ---- tasks

  /** Returns the attempt at a task that is or may be on the worker, or {@code null}. */
  public TaskAttempt attempt(TaskId task) {
    return attempts.get(task);
  }

  /** Returns all attempts that are or may be on the worker, including those that have ended. */
  public Collection<TaskAttempt> attempts() {
    return attempts.all();
  }

  /** Returns a copy of {@link #attempts} for callers that change the attempts while iterating. */
  List<TaskAttempt> copyOfAttempts() {
    return attempts.copy();
  }

  /** Adds an attempt, which is or may be on the worker from now on. */
  public void put(TaskAttempt attempt) {
    attempts.put(attempt);
  }

  void remove(TaskAttempt attempt) {
    attempts.remove(attempt);
  }

  void changeState(TaskAttempt attempt, TaskAttempt.State next) {
    attempts.changeState(attempt, next);
  }

  /** Returns the reported tasks that the shard does not expect on this worker. */
  List<TaskStatus> unknownTasks() {
    return unknownTasks;
  }

  void clearUnknownTasks() {
    unknownTasks.clear();
  }

  void addUnknownTask(TaskStatus reported) {
    unknownTasks.add(reported);
  }

  /** Whether a task on the worker is still waiting for its image. */
  public boolean isFetchingImage() {
    return attempts.isFetching();
  }

  /** Whether all attempts on the worker have ended. */
  public boolean isEmpty() {
    return attempts.isEmpty();
  }

  /** Returns the CPUs that the worker's tasks use. */
  public double usedCpus() {
    return attempts.usedCpus();
  }

  /** Returns the free resources of the worker, which are valid until its attempts change. */
  public FreeResources freeResources(MachineType type) {
    return attempts.freeResources(this, type);
  }

  // ---- images and claims

  /** Records that a task with this image was placed on the worker or is there; sizes are in GB. */
  public void recordImageUse(String image, double gb, double cacheGb) {
    images.use(image, gb, cacheGb);
  }

  /** Whether the worker is expected to have the image. */
  public boolean hasImage(String image) {
    return images.has(image);
  }

  /**
   * Reserves the resources that a preemption frees for the range that it was made for. Without the
   * reservation, the preempted task could be placed here again.
   */
  public void claim(TaskRange range, long untilMs) {
    claim = range;
    claimUntilMs = untilMs;
  }

  /** Whether resources on the worker are reserved for the range. */
  public boolean isClaimedBy(TaskRange range, long nowMs) {
    return claim == range && nowMs < claimUntilMs;
  }

  /**
   * Whether resources on the worker are reserved for another range that has waiting tasks and at
   * least the same priority.
   */
  public boolean isClaimedAheadOf(TaskRange range, long nowMs) {
    return claim != null
        && claim != range
        && nowMs < claimUntilMs
        && claim.spec() != null
        && claim.waitingCount() > 0
        && !range.spec().priority().isHigherThan(claim.spec().priority());
  }
}
