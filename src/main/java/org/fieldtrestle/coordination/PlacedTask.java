package org.fieldtrestle.coordination;

import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.protocol.WorkerWire.Cause;

/** A task that is, or may be, on a machine. */
final class PlacedTask {
  /** Where it stands, as far as the machine has told. */
  enum State {
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
  final Host host;

  /** What it takes, and of whose limit: counted until it is gone, whatever becomes of its range. */
  final String team;

  final double cpus;
  final double gpus;
  final double memoryGb;

  /** Null once the range is no longer ours to keep. */
  OwnedRange range;

  /** The session of the machine in which it was placed or found. */
  final long session;

  /** Changed by its host alone, which keeps sums of it. */
  private State state = State.STARTING;

  Cause cause = Cause.NONE;

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

  PlacedTask(TaskId task, long attempt, Host host, OwnedRange range, long now, double waitedS) {
    this.task = task;
    this.attempt = attempt;
    this.host = host;
    this.range = range;
    this.team = range.record.team();
    this.cpus = range.record.cpus();
    this.gpus = range.record.gpus();
    this.memoryGb = range.spec == null ? 0 : range.spec.memoryGb();
    this.session = host.session;
    this.placedAt = now;
    this.waitedS = waitedS;
  }

  State state() {
    return state;
  }

  /** For its host, see {@link Host#moved}. */
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

  boolean live() {
    return state != State.EXITED;
  }

  double elapsedS(long now) {
    return runningSince < 0 ? 0 : (now - runningSince) / 1000.0;
  }

  double remainingS(long now, double estimateS) {
    return Math.max(0, estimateS - elapsedS(now));
  }

  @Override
  public String toString() {
    return task + "." + attempt + "@" + host.id;
  }
}
