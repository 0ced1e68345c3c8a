package org.fieldtrestle.shard;

import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.metrics.ControllerMetrics;
import org.fieldtrestle.scheduling.TaskPlacer;
import org.fieldtrestle.transport.EventLoopMeter.Activity;
import org.fieldtrestle.worker.LeadershipTerm;

/**
 * Decides when the next placement pass runs. A pass runs shortly after it is requested, so that one
 * pass covers all changes of that time. The pause after a pass grows with its duration, so that
 * passes never take up the whole processor.
 */
final class PlacementScheduler {
  /** The least pause after a pass, as a multiple of the duration of that pass. */
  private static final int PAUSE_PER_PASS = 8;

  /** A requested pass runs after the watch interval divided by this number, or later. */
  private static final int WATCH_INTERVAL_DIVISOR = 5;

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final TaskPlacer placer;
  private final Runnable afterPass;
  private boolean pending;
  private long earliestPassMs;

  /**
   * Creates a scheduler for the passes of a task placer.
   *
   * @param afterPass runs after each requested pass, even if the pass was skipped because this
   *     controller may not lead the shard at that time
   */
  PlacementScheduler(
      ControllerContext context, LeadershipTerm term, TaskPlacer placer, Runnable afterPass) {
    this.context = context;
    this.term = term;
    this.placer = placer;
    this.afterPass = afterPass;
  }

  /** Whether a pass was requested and has not run yet. */
  boolean isPending() {
    return pending;
  }

  /** Requests a placement pass, because a change may allow waiting tasks to start. */
  void request() {
    if (pending) {
      return;
    }
    pending = true;
    long delayMs = context.stateCache().watchIntervalMs() / WATCH_INTERVAL_DIVISOR;
    context
        .reactor()
        .schedule(
            Math.max(delayMs, earliestPassMs - context.nowMs()),
            () -> context.metrics().eventLoopMeter.run(Activity.PLACEMENT, this::run));
  }

  private void run() {
    pending = false;
    if (term.isLeading() && !context.machineTypes().isEmpty()) {
      long startedAtMs = context.nowMs();
      placer.runPass(startedAtMs);
      long durationMs = context.nowMs() - startedAtMs;
      earliestPassMs = context.nowMs() + durationMs * PAUSE_PER_PASS;
      ControllerMetrics.record(context.metrics().placementPassMs, durationMs);
    }
    afterPass.run();
  }
}
