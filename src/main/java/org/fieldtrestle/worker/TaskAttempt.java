package org.fieldtrestle.worker;

import org.fieldtrestle.protocol.ExitCause;
import org.fieldtrestle.protocol.TaskId;

/** A task that is, or may be, on a machine. */
public final class TaskAttempt {
  /** Where it stands, as far as the machine has told. */
  public enum State {
    /** Its start is on the way, or will be. */
    STARTING,
    FETCHING,
    RUNNING,
    SAVING,
    /** Ended; stays until the machine has been told to clear it and no longer reports it. */
    EXITED;

    /** Its image is not there yet, as far as we know. */
    boolean beforeImage() {
      return this == STARTING || this == FETCHING;
    }
  }

  final TaskId task;
  final long attempt;
  final Worker worker;

  /** What it takes, and of whose limit: counted until it is gone, whatever becomes of its range. */
  final String team;

  final double cpus;
  final double gpus;
  final double memoryGb;

  /** Null once the range is no longer ours to keep. */
  TaskRange range;

  /** The session of the machine in which it was placed or found. */
  final long session;

  /** Changed by its host alone, which keeps sums of it. */
  private State state = State.STARTING;

  ExitCause cause = ExitCause.NONE;

  /** Its start has gone out at least once, so that it may be there. */
  boolean startSent;

  /** The number of the machine's last report that showed it. */
  long shownIn = -1;

  /** The machine's last report before its start should have come; below 0 where that is open. */
  long answeredSeq = -1;

  boolean stop;
  boolean stopSent;
  double graceS;

  /** Exited, and whatever its end means is durable, so that the machine may forget it. */
  boolean clearable;

  final long placedAt;
  long runningSince = -1;

  /**
   * The first of a job that had waited too long to begin: a burst of a higher priority would else
   * evict it as soon as it was placed, since it has run so little.
   */
  boolean spared;

  /** How long its image should take by itself, where its line was busy when it was placed; or 0. */
  double fetchBesideS;

  /** Its beginning was not seen: it was there when this epoch found it. */
  boolean found;

  final double waitedS;

  public TaskAttempt(
      TaskId task, long attempt, Worker worker, TaskRange range, long now, double waitedS) {
    this.task = task;
    this.attempt = attempt;
    this.worker = worker;
    this.range = range;
    this.team = range.record.team();
    this.cpus = range.record.cpus();
    this.gpus = range.record.gpus();
    this.memoryGb = range.spec == null ? 0 : range.spec.memoryGb();
    this.session = worker.incarnation;
    this.placedAt = now;
    this.waitedS = waitedS;
  }

  public State state() {
    return state;
  }

  /** For its host, see {@link Worker#moved}. */
  void enter(State next) {
    state = next;
  }

  /** Its number within its range. */
  int offset() {
    return task.index() - range.record.from();
  }

  /** Since when it had waited before it was placed; a task that is lost waits on from there. */
  long waitingSince() {
    return placedAt - Math.round(waitedS * 1000);
  }

  public boolean live() {
    return state != State.EXITED;
  }

  double elapsedS(long now) {
    return runningSince < 0 ? 0 : (now - runningSince) / 1000.0;
  }

  public double remainingS(long now, double estimateS) {
    return Math.max(0, estimateS - elapsedS(now));
  }

  @Override
  public String toString() {
    return task + "." + attempt + "@" + worker.id;
  }

  /** Whether no other task may preempt this one. */
  public void exemptFromPreemption(boolean exempt) {
    spared = exempt;
  }

  /** Its image shares the machine's download bandwidth; it would take so long by itself. */
  public void expectConcurrentFetch(double aloneS) {
    fetchBesideS = aloneS;
  }

  public long attempt() {
    return attempt;
  }

  public double cpus() {
    return cpus;
  }

  public double gpus() {
    return gpus;
  }

  public double graceS() {
    return graceS;
  }

  public double memoryGb() {
    return memoryGb;
  }

  public long placedAt() {
    return placedAt;
  }

  public TaskRange range() {
    return range;
  }

  public long runningSince() {
    return runningSince;
  }

  public boolean isSpared() {
    return spared;
  }

  public boolean isStop() {
    return stop;
  }

  public TaskId task() {
    return task;
  }

  public double waitedS() {
    return waitedS;
  }
}
