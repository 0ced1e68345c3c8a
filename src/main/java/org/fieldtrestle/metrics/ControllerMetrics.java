package org.fieldtrestle.metrics;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.fieldtrestle.transport.EventLoopMeter;

/** Counters since the start and latencies of one controller. Used on the reactor's thread only. */
public final class ControllerMetrics {
  private static final long MAX_LATENCY_MS = 600_000;
  private static final int SIGNIFICANT_DIGITS = 2;

  /** From the arrival of a submission to its answer. */
  public final Histogram submitMs = latencies();

  /** From the arrival of a job query to its answer. */
  public final Histogram pollMs = latencies();

  /** From when a task began to wait to its placement. */
  public final Histogram startWaitMs = latencies();

  /** Duration of placement passes. */
  public final Histogram passMs = latencies();

  /** Time that the event loop spends on each kind of work. */
  public final EventLoopMeter work;

  /** Outcomes of job queries. */
  public final JobQueryMetrics questions = new JobQueryMetrics();

  private final Map<StartRefusal, Long> startsRefused = new EnumMap<>(StartRefusal.class);
  private long placed;
  private long imageFetches;
  private long preempted;
  private long lost;
  private long rented;
  private long returned;
  private long refusedSubmissions;

  /** Metrics that include those of the event loop. */
  public ControllerMetrics(EventLoopMeter work) {
    this.work = work;
  }

  private static Histogram latencies() {
    return new Histogram(MAX_LATENCY_MS, SIGNIFICANT_DIGITS);
  }

  /** Records a latency in ms; one beyond the histogram's range counts as its bound. */
  public static void record(Histogram histogram, long ms) {
    histogram.recordValue(Math.max(0, Math.min(MAX_LATENCY_MS, ms)));
  }

  /** A task was placed on a worker. */
  public void countPlaced() {
    placed++;
  }

  /** A task was placed on a worker that has to fetch the task's image first. */
  public void countImageFetch() {
    imageFetches++;
  }

  /** A running task was preempted. */
  public void countPreempted() {
    preempted++;
  }

  /** Tasks were lost with their worker. */
  public void countLost(int tasks) {
    lost += tasks;
  }

  /** Machines were rented. */
  public void countRented(int machines) {
    rented += machines;
  }

  /** A machine was returned. */
  public void countReturned() {
    returned++;
  }

  /** A submission was refused. */
  public void countRefusedSubmission() {
    refusedSubmissions++;
  }

  /** A placement decision found a task that may not be started. */
  public void countStartRefused(StartRefusal reason) {
    startsRefused.merge(reason, 1L, Long::sum);
  }

  /** Placed tasks. */
  public long placed() {
    return placed;
  }

  /** Placed tasks whose worker had to fetch an image first. */
  public long imageFetches() {
    return imageFetches;
  }

  /** Preempted tasks. */
  public long preempted() {
    return preempted;
  }

  /** Tasks lost with their worker. */
  public long lost() {
    return lost;
  }

  /** Rented machines. */
  public long rented() {
    return rented;
  }

  /** Returned machines. */
  public long returned() {
    return returned;
  }

  /** Refused submissions. */
  public long refusedSubmissions() {
    return refusedSubmissions;
  }

  /** Placement decisions that found a task not allowed to start for this reason. */
  public long startsRefused(StartRefusal reason) {
    return startsRefused.getOrDefault(reason, 0L);
  }
}
