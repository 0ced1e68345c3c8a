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
 * Places the waiting tasks of a shard on its workers, in placement passes. The cost of a pass
 * depends on the number of waiting groups and of workers with free resources: a pass examines
 * neither full workers nor the tasks of a group one by one.
 */
public final class TaskPlacer {
  /** Carries out the decisions of a placement pass. */
  public interface PlacementExecutor {
    /**
     * Places a task on a worker.
     *
     * @param offset the task's offset in the range
     * @param attemptNumber the attempt number, which is the same for all tasks of a gang
     */
    void place(TaskRange range, int offset, Worker worker, long attemptNumber);

    /** Returns an attempt number that no other attempt of the shard has. */
    long nextAttemptNumber();

    /** Stops a task, with a grace period in seconds in which it can save its work. */
    void stop(TaskAttempt task, double graceS);
  }

  private final SelectivePreemption selectivePreemption;
  private final WorkerRegistry workers;
  private final QuotaShares quotaShares;
  private final PlacementExecutor executor;
  private final WaitingTaskCollector collector;
  private final ReservedCapacity reservedCapacity;
  private final WithholdingLimit withholdingLimit;
  private final ImageLocality imageLocality;
  private final WorkerSelector workerSelector;
  private final GangPlacer gangPlacer;
  private final Preemptor preemptor;
  private long lastStep;

  /**
   * Creates the placer of a shard.
   *
   * @param shard the shard's name
   * @param policy decides whether tasks of a range may be started
   * @param downloads tells whether images that a worker fetches at the same time share its
   *     bandwidth
   * @param executor carries out the decisions of the passes
   */
  public TaskPlacer(
      ControllerContext context,
      String shard,
      CommandPolicy policy,
      SelectivePreemption selectivePreemption,
      WorkerRegistry workers,
      TaskRanges ranges,
      QuotaShares quotaShares,
      FailureTracker failures,
      ImageDownloads downloads,
      PlacementExecutor executor) {
    this.selectivePreemption = selectivePreemption;
    this.workers = workers;
    this.quotaShares = quotaShares;
    this.executor = executor;
    PlacementConstraints constraints = new PlacementConstraints(failures);
    this.collector =
        new WaitingTaskCollector(context, policy, selectivePreemption, workers, ranges, executor);
    this.reservedCapacity = new ReservedCapacity(context, shard, workers);
    this.withholdingLimit = new WithholdingLimit(context, constraints);
    this.imageLocality = new ImageLocality(context, workers, downloads);
    this.workerSelector = new WorkerSelector(constraints, imageLocality);
    this.gangPlacer = new GangPlacer(quotaShares, workerSelector, executor);
    this.preemptor =
        new Preemptor(context, selectivePreemption, workers, quotaShares, constraints, executor);
  }

  /** Called when a task range is added to this shard. */
  public void rangeAdded(TaskRange range) {
    reservedCapacity.rangeAdded(range);
  }

  /** Returns the CPUs that this shard reserves for latency-sensitive jobs. */
  public double reservedCpus() {
    return reservedCapacity.reservedCpus();
  }

  /**
   * Runs a placement pass: places the waiting tasks that fit on a worker and preempts running tasks
   * for those that do not. Does nothing if no task waits.
   */
  public void runPass(long nowMs) {
    quotaShares.beginPass();
    List<QueuedGroup<WaitingTasks>> groups = collector.collect(nowMs);
    if (groups.isEmpty()) {
      return;
    }
    PlacementPass pass =
        new PlacementPass(
            nowMs, groups, workers.freeResources(nowMs), reservedCapacity.reservedCpus());
    // The first step prefers workers that already have a task's image: a task that has to fetch its
    // image must not take a worker from another waiting task whose image that worker has.
    List<QueuedGroup<WaitingTasks>> withoutImage = runStep(pass, groups, true);
    List<QueuedGroup<WaitingTasks>> unplaced = runStep(pass, withoutImage, false);
    preemptor.preempt(unplaced, nowMs);
  }

  /**
   * Runs one step of a pass: places the tasks that fit and returns those that do not.
   *
   * @param preferImage whether tasks that can wait are placed only on workers that have their image
   */
  private List<QueuedGroup<WaitingTasks>> runStep(
      PlacementPass pass, List<QueuedGroup<WaitingTasks>> groups, boolean preferImage) {
    long step = ++lastStep;
    List<QueuedGroup<WaitingTasks>> unplaced = new ArrayList<>();
    WaitingQueue<WaitingTasks> queue = selectivePreemption.queue(groups);
    while (queue.hasNext()) {
      WaitingQueue.Entry<WaitingTasks> entry = queue.next();
      WaitingTasks tasks = entry.group().tasks();
      if (tasks.range().spec().kind() == JobSpec.Kind.GANG) {
        entry.takeAll();
        gangPlacer.place(pass, tasks.range());
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

  /**
   * Returns the free resources of the worker selected for the next task of a group, or {@code null}
   * if no worker may take it.
   */
  private FreeResources selectWorker(
      PlacementPass pass, WaitingTasks tasks, long step, boolean preferImage) {
    TaskRange range = tasks.range();
    // Free resources only shrink during a step: if one task of a range finds no room, neither do
    // the others.
    if (range.noRoomInStep() == step) {
      return null;
    }
    boolean allowed = quotaShares.allows(range.spec());
    if (allowed ? isReservedForOthers(pass, tasks) : quotaShares.isRefusalKnown(range.spec(), 1)) {
      return null;
    }
    FreeResources free = workerSelector.select(pass, tasks, tasks.firstOffset());
    if (free == null) {
      range.markNoRoomIn(step);
      withholdingLimit.noWorkerFound(range, pass);
      return null;
    }
    if (!allowed) {
      quotaShares.recordRefusal(range.spec(), 1);
      return null;
    }
    return mustWaitForImage(pass, tasks, free.worker(), preferImage) ? null : free;
  }

  private boolean isReservedForOthers(PlacementPass pass, WaitingTasks tasks) {
    return !tasks.overdue()
        && reservedCapacity.isWithheldFrom(tasks.range().spec(), pass)
        && !withholdingLimit.isReached(tasks.range(), pass);
  }

  /**
   * Whether a task must not be placed on a worker now because the worker would have to fetch its
   * image.
   */
  private boolean mustWaitForImage(
      PlacementPass pass, WaitingTasks tasks, Worker worker, boolean preferImage) {
    TaskRange range = tasks.range();
    if (worker.hasImage(range.spec().image())
        || worker.isClaimedBy(range, pass.nowMs())
        || tasks.overdue()) {
      return false;
    }
    return preferImage
        ? !imageLocality.mayBePlacedAnywhere(tasks, pass.nowMs())
        : imageLocality.mustWaitForImage(range, pass) && !withholdingLimit.isReached(range, pass);
  }

  private static QueuedGroup<WaitingTasks> takeUnplaced(
      WaitingQueue.Entry<WaitingTasks> entry, boolean preferImage) {
    QueuedGroup<WaitingTasks> group = entry.group();
    WaitingTasks tasks = group.tasks();
    // A task preempts with its job's priority, even if it was drawn with a higher one because the
    // job is overdue.
    Priority priority = preferImage ? group.priority() : tasks.range().spec().priority();
    return new QueuedGroup<>(tasks, priority, group.score(), entry.takeAll());
  }

  private void place(PlacementPass pass, WaitingTasks tasks, FreeResources free) {
    TaskRange range = tasks.range();
    int offset = tasks.firstOffset();
    executor.place(range, offset, free.worker(), executor.nextAttemptNumber());
    range.placed().get(offset).setExemptFromPreemption(tasks.overdue());
    pass.recordPlacement(free, range.spec());
  }
}
