package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.Priority;
import org.fieldtrestle.worker.CommandPolicy;
import org.fieldtrestle.worker.FailureTracker;
import org.fieldtrestle.worker.FreeResources;
import org.fieldtrestle.worker.ImageDownloads;
import org.fieldtrestle.worker.TaskAttempt;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.TaskRanges;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;

/**
 * Places a shard's waiting tasks on its workers, in passes. A pass costs what there is of waiting
 * groups and of workers with room: full workers and tasks of one group are not looked at one by
 * one.
 */
public final class TaskPlacer {
  /** Carries out what a pass decides. */
  public interface Decisions {
    /**
     * Places a task on a worker.
     *
     * @param offset the task's offset in the range
     * @param attempt the number of the attempt; the tasks of a gang share one
     */
    void place(TaskRange range, int offset, Worker worker, long attempt);

    /** A number for an attempt that no other attempt of the shard has. */
    long nextAttempt();

    /** Stops a task, with a grace period in seconds to save its work. */
    void stop(TaskAttempt task, double graceS);
  }

  private final SelectivePreemption falcon;
  private final WorkerRegistry workers;
  private final QuotaShares quotaShares;
  private final Decisions decisions;
  private final WaitingTaskCollector collector;
  private final ReservedCapacity reserve;
  private final ImageLocality locality;
  private final WorkerSelector selector;
  private final GangPlacer gangs;
  private final Preemptor preemptor;
  private long steps;

  /**
   * Sets up placement for a shard.
   *
   * @param shard the shard's name
   * @param policy decides whether tasks of a range may start at all
   * @param downloads tells whether images that a worker fetches at once share its bandwidth
   * @param decisions carries out what the passes decide
   */
  public TaskPlacer(
      ControllerContext context,
      String shard,
      CommandPolicy policy,
      SelectivePreemption falcon,
      WorkerRegistry workers,
      TaskRanges ranges,
      QuotaShares quotaShares,
      FailureTracker failures,
      ImageDownloads downloads,
      Decisions decisions) {
    this.falcon = falcon;
    this.workers = workers;
    this.quotaShares = quotaShares;
    this.decisions = decisions;
    PlacementConstraints constraints = new PlacementConstraints(failures);
    this.collector = new WaitingTaskCollector(context, policy, falcon, workers, ranges, decisions);
    this.reserve = new ReservedCapacity(context, shard, workers, constraints);
    this.locality = new ImageLocality(context, workers, downloads);
    this.selector = new WorkerSelector(constraints, locality);
    this.gangs = new GangPlacer(quotaShares, selector, decisions);
    this.preemptor = new Preemptor(context, falcon, workers, quotaShares, constraints, decisions);
  }

  /** A range has come to this shard. */
  public void arrived(TaskRange range) {
    reserve.rangeAdded(range);
  }

  /** CPUs that are reserved for latency-sensitive jobs. */
  public double reserve() {
    return reserve.cpus();
  }

  /** Places what fits and preempts for what does not; does nothing where nothing waits. */
  public void pass(long nowMs) {
    List<QueuedGroup<WaitingTasks>> groups = collector.collect(nowMs);
    if (groups.isEmpty()) {
      return;
    }
    PlacementPass pass =
        new PlacementPass(nowMs, groups, workers.freeResources(nowMs), reserve.cpus());
    // Workers that have the image come first: a task that would fetch must not take room that
    // another task, whose image is there, waits for as well.
    List<QueuedGroup<WaitingTasks>> withoutImage = place(pass, groups, true);
    List<QueuedGroup<WaitingTasks>> unplaced = place(pass, withoutImage, false);
    preemptor.preempt(unplaced, nowMs);
  }

  /**
   * One step of a pass: places what fits and returns what does not.
   *
   * @param preferImage whether tasks that can wait are placed only where their image is
   */
  private List<QueuedGroup<WaitingTasks>> place(
      PlacementPass pass, List<QueuedGroup<WaitingTasks>> groups, boolean preferImage) {
    long step = ++steps;
    List<QueuedGroup<WaitingTasks>> unplaced = new ArrayList<>();
    WaitingQueue<WaitingTasks> queue = falcon.queue(groups);
    while (queue.hasNext()) {
      WaitingQueue.Entry<WaitingTasks> entry = queue.next();
      WaitingTasks tasks = entry.group().tasks();
      if (tasks.range().spec().kind() == JobSpec.Kind.GANG) {
        entry.takeAll();
        gangs.place(pass, tasks.range());
        continue;
      }
      FreeResources free = selectWorker(pass, tasks, step, preferImage);
      if (free == null) {
        unplaced.add(takeUnplaced(entry, preferImage));
      } else {
        entry.takeOne();
        place(pass, tasks, free);
      }
    }
    return unplaced;
  }

  /** The free resources of the worker for the next task of a group; null where none may take it. */
  private FreeResources selectWorker(
      PlacementPass pass, WaitingTasks tasks, long step, boolean preferImage) {
    TaskRange range = tasks.range();
    // Free resources only shrink within a step: what one task of a range did not find, none finds.
    if (range.noRoomInStep() == step
        || !quotaShares.allows(range.spec())
        || isReservedForOthers(pass, tasks)) {
      return null;
    }
    FreeResources free = selector.select(pass, tasks, tasks.firstOffset());
    if (free == null) {
      range.markNoRoomIn(step);
      return null;
    }
    return waitsForImage(pass, tasks, free.worker(), preferImage) ? null : free;
  }

  private boolean isReservedForOthers(PlacementPass pass, WaitingTasks tasks) {
    return !tasks.overdue()
        && reserve.isWithheldFrom(tasks.range().spec(), pass)
        && !reserve.yieldsTo(tasks.range(), pass);
  }

  /** Whether a task is not placed on a worker that would have to fetch its image. */
  private boolean waitsForImage(
      PlacementPass pass, WaitingTasks tasks, Worker worker, boolean preferImage) {
    TaskRange range = tasks.range();
    if (worker.hasImage(range.spec().image())
        || worker.isClaimedBy(range, pass.nowMs())
        || tasks.overdue()) {
      return false;
    }
    return preferImage
        ? !locality.isPlacedAnywhere(tasks, pass.nowMs())
        : locality.waitsForImage(range, pass);
  }

  private static QueuedGroup<WaitingTasks> takeUnplaced(
      WaitingQueue.Entry<WaitingTasks> entry, boolean preferImage) {
    QueuedGroup<WaitingTasks> group = entry.group();
    WaitingTasks tasks = group.tasks();
    // A task preempts by its job's priority, though it may have been drawn by a higher one.
    Priority priority = preferImage ? group.priority() : tasks.range().spec().priority();
    return new QueuedGroup<>(tasks, priority, group.score(), entry.takeAll());
  }

  private void place(PlacementPass pass, WaitingTasks tasks, FreeResources free) {
    TaskRange range = tasks.range();
    int offset = tasks.firstOffset();
    decisions.place(range, offset, free.worker(), decisions.nextAttempt());
    range.placed().get(offset).setExemptFromPreemption(tasks.overdue());
    pass.placed(free, range.spec());
  }
}
