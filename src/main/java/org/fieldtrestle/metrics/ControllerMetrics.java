package org.fieldtrestle.metrics;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.fieldtrestle.transport.EventLoopMeter;

/**
 * Latencies of one controller, and its counters since it started. Used on the reactor's thread
 * only.
 */
public final class ControllerMetrics {
  private static final long MAX_LATENCY_MS = 600_000;
  private static final int SIGNIFICANT_DIGITS = 2;

  /** Time from the arrival of a submission to its answer. */
  public final Histogram submissionMs = latencies();

  /** Time from the arrival of a job query to its answer. */
  public final Histogram jobQueryMs = latencies();

  /** Time that tasks waited until they were placed. */
  public final Histogram startWaitMs = latencies();

  /** Duration of placement passes. */
  public final Histogram placementPassMs = latencies();

  /** Time that the event loop spends on each kind of work. */
  public final EventLoopMeter eventLoopMeter;

  /** Outcomes of job queries. */
  public final JobQueryMetrics jobQueries = new JobQueryMetrics();

  private final Map<StartRefusal, Long> startsRefused = new EnumMap<>(StartRefusal.class);
  private long placed;
  private long imageFetches;
  private long preempted;
  private long lost;
  private long rented;
  private long returned;
  private long refusedSubmissions;
  private long tokensRaisedBeforeClear;
  private long absentButMayStart;

  /** Creates metrics that include those of the event loop. */
  public ControllerMetrics(EventLoopMeter eventLoopMeter) {
    this.eventLoopMeter = eventLoopMeter;
  }

  private static Histogram latencies() {
    return new Histogram(MAX_LATENCY_MS, SIGNIFICANT_DIGITS);
  }

  /**
   * Records a latency in milliseconds. A latency outside the histogram's range is recorded as the
   * nearest bound of the range.
   */
  public static void record(Histogram histogram, long ms) {
    histogram.recordValue(Math.max(0, Math.min(MAX_LATENCY_MS, ms)));
  }

  /** Called when a task was placed on a worker. */
  public void countPlaced() {
    placed++;
  }

  /** Called when a task was placed on a worker that has to fetch the task's image first. */
  public void countImageFetch() {
    imageFetches++;
  }

  /** Called when a running task was preempted. */
  public void countPreempted() {
    preempted++;
  }

  /** Called when tasks were lost with their worker. */
  public void countLost(int tasks) {
    lost += tasks;
  }

  /** Called when machines were rented. */
  public void countRented(int machines) {
    rented += machines;
  }

  /** Called when a machine was returned to the cloud. */
  public void countReturned() {
    returned++;
  }

  /** Called when a submission was refused. */
  public void countRefusedSubmission() {
    refusedSubmissions++;
  }

  /** Called when a worker is sent a higher fencing token so that an attempt can be cleared. */
  public void countTokenRaisedBeforeClear() {
    tokensRaisedBeforeClear++;
  }

  /** Called when a message lacks an attempt that a command on its way may still start. */
  public void countAbsentButMayStart() {
    absentButMayStart++;
  }

  /** Called when starting a task was refused. */
  public void countStartRefused(StartRefusal reason) {
    startsRefused.merge(reason, 1L, Long::sum);
  }

  /** Returns the number of placed tasks. */
  public long placed() {
    return placed;
  }

  /** Returns the number of placed tasks whose worker had to fetch the image first. */
  public long imageFetches() {
    return imageFetches;
  }

  /** Returns the number of preempted tasks. */
  public long preempted() {
    return preempted;
  }

  /** Returns the number of tasks that were lost with their worker. */
  public long lost() {
    return lost;
  }

  /** Returns the number of rented machines. */
  public long rented() {
    return rented;
  }

  /** Returns the number of machines that were returned to the cloud. */
  public long returned() {
    return returned;
  }

  /** Returns the number of refused submissions. */
  public long refusedSubmissions() {
    return refusedSubmissions;
  }

  /** Returns how often a worker was sent a higher token so that an attempt can be cleared. */
  public long tokensRaisedBeforeClear() {
    return tokensRaisedBeforeClear;
  }

  /** Returns how often a message lacked an attempt that a command on its way might still start. */
  public long absentButMayStart() {
    return absentButMayStart;
  }

  /** Returns how often starting a task was refused for this reason. */
  public long startsRefused(StartRefusal reason) {
    return startsRefused.getOrDefault(reason, 0L);
  }
}
