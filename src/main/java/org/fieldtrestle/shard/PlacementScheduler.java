package org.fieldtrestle.shard;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.metrics.ControllerMetrics;
import org.fieldtrestle.scheduling.TaskPlacer;
import org.fieldtrestle.transport.EventLoopMeter.Activity;
import org.fieldtrestle.worker.LeadershipTerm;

/**
 * Decides when the next placement pass runs. A pass runs soon after it is requested, and all that
 * changes until then shares it. The longer passes take, the further apart they are, so that they
 * never use up the processor.
 */
final class PlacementScheduler {
  /** Multiple of a pass's duration for which the next one waits. */
  private static final int REST_PER_PASS = 8;

  /** Part of a watch interval after which a requested pass runs. */
  private static final int DELAY_DIVISOR = 5;

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final TaskPlacer placer;
  private final Runnable afterPass;
  private boolean due;
  private long notBeforeMs;

  /**
   * Schedules passes of this placer.
   *
   * @param afterPass runs after each pass, also where this controller may not lead the shard now
   */
  PlacementScheduler(
      ControllerContext context, LeadershipTerm term, TaskPlacer placer, Runnable afterPass) {
    this.context = context;
    this.term = term;
    this.placer = placer;
    this.afterPass = afterPass;
  }

  /** Whether a pass was requested and has not run yet. */
  boolean isDue() {
    return due;
  }

  /** Something has changed that may let waiting tasks start. */
  void request() {
    if (due) {
      return;
    }
    due = true;
    long soonMs = context.stateCache().watchIntervalMs() / DELAY_DIVISOR;
    context
        .reactor()
        .schedule(
            Math.max(soonMs, notBeforeMs - context.nowMs()),
            () -> context.metrics().work.run(Activity.PLACEMENT, this::run));
  }

  private void run() {
    due = false;
    if (term.isLeading() && !context.machineTypes().isEmpty()) {
      long beganMs = context.nowMs();
      placer.pass(beganMs);
      long tookMs = context.nowMs() - beganMs;
      notBeforeMs = context.nowMs() + tookMs * REST_PER_PASS;
      ControllerMetrics.record(context.metrics().passMs, tookMs);
    }
    afterPass.run();
  }
}
