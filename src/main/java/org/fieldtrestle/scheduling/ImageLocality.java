package org.fieldtrestle.scheduling;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.worker.ImageDownloads;
import org.fieldtrestle.worker.TaskAttempt;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;

/**
 * Data locality of images: decides whether a task waits for a worker that has its image instead of
 * being placed on a worker that has to fetch it. This is an addition to the Falcon paper, which
 * does not cover data locality.
 */
final class ImageLocality {
  /**
   * How long a task waits for a worker that has its image in any case, as a share of the fetch
   * time.
   */
  private static final double MIN_WAIT_FETCHES = 0.4;

  /**
   * How long a task waits for a worker that has its image, as a share of the slack before its
   * deadline.
   */
  private static final double WAIT_SLACK_SHARE = 0.6;

  /**
   * Longest time that a task with a deadline waits for a worker that has its image, in fetch times.
   */
  private static final double MAX_WAIT_FETCHES = 3;

  /** Share of its slack after which a task may fetch its image while the worker fetches another. */
  private static final double CONCURRENT_FETCH_SLACK_SHARE = 0.5;

  /** Share of its slack after which a task is placed on any worker that has room. */
  private static final double PLACE_ANYWHERE_SLACK_SHARE = 0.9;

  /** Slack assumed for a job without a deadline, in fetch times of its image. */
  private static final double SLACK_WITHOUT_DEADLINE_FETCHES = 4;

  private final ControllerContext context;
  private final WorkerRegistry workers;
  private final ImageDownloads downloads;

  ImageLocality(ControllerContext context, WorkerRegistry workers, ImageDownloads downloads) {
    this.context = context;
    this.workers = workers;
    this.downloads = downloads;
  }

  /**
   * Whether a task may be placed on a worker that would fetch its image while it is fetching
   * another one. Usually it may not: the fetches would share the bandwidth, so that both tasks
   * start only when the later one would have started anyway. A latency-sensitive task may, unless
   * concurrent downloads were observed to share the bandwidth: its small image would then take as
   * long as the large one, and a worker that has the image will have room earlier.
   */
  boolean mayFetchConcurrently(WaitingTasks tasks, long nowMs) {
    return context.isLatencySensitive(tasks.range().spec())
        && (!downloads.isBandwidthShared()
            || usedSlackShare(tasks, nowMs) > CONCURRENT_FETCH_SLACK_SHARE);
  }

  /**
   * Whether a task may be placed on any worker with room, because it is latency-sensitive or has
   * waited for most of its slack.
   */
  boolean mayBePlacedAnywhere(WaitingTasks tasks, long nowMs) {
    return context.isLatencySensitive(tasks.range().spec())
        || usedSlackShare(tasks, nowMs) > PLACE_ANYWHERE_SLACK_SHARE;
  }

  /** Returns the share of its slack for which a task has waited. */
  private double usedSlackShare(WaitingTasks tasks, long nowMs) {
    JobSpec spec = tasks.range().spec();
    double fetchS = context.imageFetchS(spec);
    double slackS =
        spec.deadlineS() < 0
            ? SLACK_WITHOUT_DEADLINE_FETCHES * fetchS
            : spec.deadlineS() - spec.estimateS() - fetchS;
    return tasks.waitedS(nowMs)
        / Math.max(context.operatorSettings().remainingTimeFloorS(), slackS);
  }

  /**
   * Whether the tasks of a range must wait for workers that have their image. They must if these
   * workers are expected to get through all waiting work that uses the image within the time that
   * the tasks may wait for it, as a fetch by another worker would then be of little use.
   */
  boolean mustWaitForImage(TaskRange range, PlacementPass pass) {
    Boolean decided = pass.mustWaitForImage(range);
    if (decided != null) {
      return decided;
    }
    boolean mustWait = decideMustWaitForImage(range, pass);
    pass.setMustWaitForImage(range, mustWait);
    return mustWait;
  }

  private boolean decideMustWaitForImage(TaskRange range, PlacementPass pass) {
    JobSpec spec = range.spec();
    if (context.isLatencySensitive(spec)) {
      return false;
    }
    double fetchS = 0;
    double slots = 0;
    for (Worker worker : workers.all()) {
      if (!worker.hasImage(spec.image())
          || !workers.mayStartTasksOn(worker)
          || worker.isDraining()) {
        continue;
      }
      MachineType type = context.machineType(worker.machineType());
      if (type != null) {
        slots += slotsFor(worker, type, spec);
        fetchS = Math.max(fetchS, type.imageFetchS(spec));
      }
    }
    return slots > 0
        && pass.waitingWorkS(spec.image()) / slots < maxWaitS(range, fetchS, pass.nowMs());
  }

  private static double maxWaitS(TaskRange range, double fetchS, long nowMs) {
    JobSpec spec = range.spec();
    double waitS = fetchS * MIN_WAIT_FETCHES;
    if (spec.deadlineS() < 0) {
      return waitS;
    }
    double slackS = spec.deadlineS() - spec.estimateS() - (nowMs - range.waitingSinceMs()) / 1000.0;
    return Math.max(waitS, Math.min(slackS * WAIT_SLACK_SHARE, fetchS * MAX_WAIT_FETCHES));
  }

  /**
   * Returns how many tasks of a job fit on a worker once the worker's tasks that use the same image
   * have ended.
   */
  private static double slotsFor(Worker worker, MachineType type, JobSpec spec) {
    double otherCpus = 0;
    for (TaskAttempt task : worker.attempts()) {
      if (task.isLive() && !usesImage(task, spec.image())) {
        otherCpus += task.cpus();
      }
    }
    int maxSlots = type.tasksPerMachine(spec);
    return spec.cpus() > 0
        ? Math.min(maxSlots, Math.floor((type.cpus() - otherCpus) / spec.cpus()))
        : maxSlots;
  }

  private static boolean usesImage(TaskAttempt task, String image) {
    return task.range() != null
        && task.range().spec() != null
        && task.range().spec().image().equals(image);
  }
}
