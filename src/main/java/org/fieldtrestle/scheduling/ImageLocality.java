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
 * Data locality of images: whether a task waits for a worker that has its image rather than have
 * another worker fetch it. An addition to the paper, which leaves data locality open.
 */
final class ImageLocality {
  /** Share of a fetch for which a worker that has the image is waited for in any case. */
  private static final double MIN_WAIT_FETCHES = 0.4;

  /** Share of the slack before the deadline for which a worker that has the image is waited for. */
  private static final double WAIT_SLACK_SHARE = 0.6;

  /** The most fetches for which a worker that has the image is waited for. */
  private static final double MAX_WAIT_FETCHES = 3;

  /** Share of its slack after which a task shares a worker's download bandwidth. */
  private static final double SHARES_BANDWIDTH_AT = 0.5;

  /** Share of its slack after which a task is placed wherever there is room. */
  private static final double PLACED_ANYWHERE_AT = 0.9;

  /** Slack of a job without a deadline, in fetches of its image. */
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
   * Whether a task may go to a worker that would fetch its image beside another one. Usually not:
   * fetches share the bandwidth, and both tasks would start when the later one would have started
   * anyway. A latency-sensitive task goes there all the same, unless downloads were observed to
   * share the bandwidth: then its small image takes as long as a large one beside it, and a worker
   * that has the image will have room before.
   */
  boolean acceptsConcurrentFetch(WaitingTasks tasks, long nowMs) {
    return context.isLatencySensitive(tasks.range().spec())
        && (!downloads.isBandwidthShared() || usedSlackShare(tasks, nowMs) > SHARES_BANDWIDTH_AT);
  }

  /** Whether a task has waited for so much of its slack that any worker with room will do. */
  boolean isPlacedAnywhere(WaitingTasks tasks, long nowMs) {
    return context.isLatencySensitive(tasks.range().spec())
        || usedSlackShare(tasks, nowMs) > PLACED_ANYWHERE_AT;
  }

  /** The share of its slack that a task has waited for. */
  private double usedSlackShare(WaitingTasks tasks, long nowMs) {
    JobSpec spec = tasks.range().spec();
    double fetchS = context.fetchS(spec);
    double slackS =
        spec.deadlineS() < 0
            ? SLACK_WITHOUT_DEADLINE_FETCHES * fetchS
            : spec.deadlineS() - spec.estimateS() - fetchS;
    return tasks.waitedS(nowMs) / Math.max(context.operatorSettings().floorS(), slackS);
  }

  /**
   * Whether tasks of a range wait for workers that have their image: those get through everything
   * that waits for the image before another worker would have fetched it.
   */
  boolean waitsForImage(TaskRange range, PlacementPass pass) {
    Boolean decided = pass.waitsForImage(range);
    if (decided != null) {
      return decided;
    }
    boolean waits = decideWaitsForImage(range, pass);
    pass.setWaitsForImage(range, waits);
    return waits;
  }

  private boolean decideWaitsForImage(TaskRange range, PlacementPass pass) {
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
      MachineType type = context.type(worker.machineType());
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

  /** How many tasks of a job fit a worker once its tasks of the same image have ended. */
  private static double slotsFor(Worker worker, MachineType type, JobSpec spec) {
    double otherCpus = 0;
    for (TaskAttempt task : worker.attempts()) {
      if (task.isLive() && !usesImage(task, spec.image())) {
        otherCpus += task.cpus();
      }
    }
    int all = type.tasksPerMachine(spec);
    return spec.cpus() > 0
        ? Math.min(all, Math.floor((type.cpus() - otherCpus) / spec.cpus()))
        : all;
  }

  private static boolean usesImage(TaskAttempt task, String image) {
    return task.range() != null
        && task.range().spec() != null
        && task.range().spec().image().equals(image);
  }
}
