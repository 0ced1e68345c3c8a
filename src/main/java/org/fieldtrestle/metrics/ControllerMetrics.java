package org.fieldtrestle.metrics;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.fieldtrestle.transport.EventLoopMeter;

/** Counters and latencies of one controller, for those on call. */
public final class ControllerMetrics {
  private static final long MAX_MS = 600_000;

  public final Histogram submitMs = new Histogram(MAX_MS, 2);
  public final Histogram pollMs = new Histogram(MAX_MS, 2);
  public final Histogram startWaitMs = new Histogram(MAX_MS, 2);
  public final Histogram passMs = new Histogram(MAX_MS, 2);

  /** What the event loop spends its time on. */
  public final EventLoopMeter work;

  /** What became of users' questions. */
  public final JobQueryMetrics questions = new JobQueryMetrics();

  /** Placement decisions that found a task not allowed to start, by reason. */
  public final Map<StartRefusal, Long> startsRefused = new EnumMap<>(StartRefusal.class);

  public long placed;

  /** Of these, for how many the machine had to fetch an image first. */
  public long fetches;

  public long evicted;
  public long lost;
  public long rented;
  public long returned;
  public long refusedSubmissions;

  public ControllerMetrics(EventLoopMeter work) {
    this.work = work;
  }

  public static void record(Histogram histogram, long ms) {
    histogram.recordValue(Math.max(0, Math.min(MAX_MS, ms)));
  }
}
