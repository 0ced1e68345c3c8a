package org.fieldtrestle.worker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fieldtrestle.context.ControllerContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Distinguishes workers that fail their tasks from jobs that fail on every worker. A worker is
 * faulty if jobs that are not suspect fail on it. A job is suspect if it has failed on several
 * workers and has never succeeded.
 */
public final class FailureTracker {
  private static final Logger LOG = LoggerFactory.getLogger(FailureTracker.class);

  /** Number of workers on which a job without a success must have failed to become suspect. */
  private static final int SUSPECT_AFTER_WORKERS = 3;

  /**
   * Number of failures of jobs that are not suspect, without a success in between, that make a
   * worker faulty.
   */
  private static final int FAULTY_AFTER_FAILURES = 2;

  /** A task counts as slow from this multiple of its job's average run time. */
  private static final double SLOW_RUN_TIME_MULTIPLE = 2.5;

  /** Number of a job's tasks that must have finished before their average run time is used. */
  private static final int MIN_RUNS_FOR_AVERAGE = 3;

  /** Number of slow tasks on a worker after which the worker is replaced. */
  private static final int DRAIN_AFTER_SLOW_TASKS = 2;

  /** Heartbeat intervals for which a worker gets no new tasks after a failure. */
  private static final double QUARANTINE_INTERVALS = 4;

  /**
   * Base of the delay before a task of a suspect job is tried again, in heartbeat intervals. The
   * delay doubles with each failure of the task, at most {@link #MAX_BACKOFF_DOUBLINGS} times.
   */
  private static final double RETRY_BACKOFF_INTERVALS = 0.5;

  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  private static final String FAULTY_DRAIN_REASON = "fails its tasks";

  private static final class JobHistory {
    private double totalRunS;
    private int runs;
    private final Set<String> failedOn = new HashSet<>();
    private boolean succeeded;
    private boolean suspect;

    private boolean isSlow(double elapsedS) {
      return runs >= MIN_RUNS_FOR_AVERAGE && elapsedS >= SLOW_RUN_TIME_MULTIPLE * totalRunS / runs;
    }

    private boolean becomesSuspect() {
      return !suspect && !succeeded && failedOn.size() >= SUSPECT_AFTER_WORKERS;
    }
  }

  private final ControllerContext context;
  private final WorkerRegistry workers;
  private final Map<String, JobHistory> jobs = new HashMap<>();

  /** Workers on which some job has failed. */
  private final Set<String> workersWithFailures = new HashSet<>();

  /** Creates a tracker of the failures on these workers. */
  public FailureTracker(ControllerContext context, WorkerRegistry workers) {
    this.context = context;
    this.workers = workers;
  }

  /** Called when a task has finished. */
  void succeeded(TaskAttempt attempt, long nowMs) {
    attempt.worker().failureHistory().clearFailures();
    JobHistory job = jobs.computeIfAbsent(attempt.task().job(), j -> new JobHistory());
    job.succeeded = true;
    job.suspect = false;
    checkRunTime(attempt, nowMs);
    // Only the remaining part of a discovered task was observed. If it counted as a whole run, all
    // other tasks of the job would look slow after a restart, and their workers would be replaced.
    if (attempt.hasRun() && !attempt.isDiscovered()) {
      job.totalRunS += attempt.elapsedS(nowMs);
      job.runs++;
    }
  }

  /**
   * Drains the worker of a task that takes much longer than the other tasks of its job, unless it
   * is the worker's first slow task. The job's tasks on other workers are used for comparison
   * because estimates are often wrong by half and therefore say little about a worker.
   */
  public void checkRunTime(TaskAttempt attempt, long nowMs) {
    JobHistory job = jobs.get(attempt.task().job());
    Worker worker = attempt.worker();
    if (job == null
        || !job.isSlow(attempt.elapsedS(nowMs))
        || !worker.failureHistory().addSlowTask(attempt.task())
        || worker.failureHistory().slowTaskCount() < DRAIN_AFTER_SLOW_TASKS
        || worker.isDraining()) {
      return;
    }
    worker.drain("slow");
    LOG.atWarn()
        .addKeyValue("worker", worker.id())
        .addKeyValue("task", attempt.task())
        .addKeyValue("tookS", Math.round(attempt.elapsedS(nowMs)))
        .addKeyValue("usualS", Math.round(job.totalRunS / job.runs))
        .log("worker is slow, draining it");
  }

  /**
   * Called when a task has failed. Decides when the task is tried again and whether its worker gets
   * new tasks.
   *
   * @param failures how often the task has failed so far
   */
  void failed(TaskAttempt attempt, Retry retry, int failures, long nowMs) {
    String jobId = attempt.task().job();
    Worker worker = attempt.worker();
    JobHistory job = jobs.computeIfAbsent(jobId, j -> new JobHistory());
    job.failedOn.add(worker.id());
    workersWithFailures.add(worker.id());
    if (job.becomesSuspect()) {
      job.suspect = true;
      LOG.atWarn()
          .addKeyValue("job", jobId)
          .addKeyValue("workers", job.failedOn)
          .log("job fails on every worker");
      clearFailuresOf(jobId);
    }
    if (job.suspect) {
      long baseBackoffMs = context.heartbeatIntervalsMs(RETRY_BACKOFF_INTERVALS);
      retry.delayUntil(nowMs + (baseBackoffMs << Math.min(failures, MAX_BACKOFF_DOUBLINGS)));
      return;
    }
    retry.delayUntil(nowMs);
    worker.failureHistory().addFailure(jobId);
    worker.quarantineUntil(nowMs + context.heartbeatIntervalsMs(QUARANTINE_INTERVALS));
    if (worker.failureHistory().failureCount() >= FAULTY_AFTER_FAILURES && !worker.isDraining()) {
      worker.drain(FAULTY_DRAIN_REASON);
      LOG.atWarn()
          .addKeyValue("worker", worker.id())
          .addKeyValue("job", jobId)
          .log("worker fails its tasks, draining it");
    }
  }

  /**
   * Called when a job becomes suspect. Its failures no longer count against the workers on which it
   * failed.
   */
  private void clearFailuresOf(String jobId) {
    for (Worker worker : workers.all()) {
      if (worker.failureHistory().forgetJob(jobId)) {
        worker.endQuarantine();
        if (worker.failureHistory().failureCount() < FAULTY_AFTER_FAILURES
            && worker.drainReason().equals(FAULTY_DRAIN_REASON)) {
          worker.stopDraining();
        }
      }
    }
  }

  /**
   * Whether tasks of the range must not be placed on a worker because the job has failed there.
   * This does not apply to suspect jobs, which fail on every worker.
   */
  public boolean mustAvoid(TaskRange range, Worker worker) {
    JobHistory job = jobs.get(range.key().job());
    return job != null && !job.suspect && job.failedOn.contains(worker.id());
  }

  /**
   * Whether any job has failed on a worker. If none has, the worker is equivalent to all others of
   * its machine type.
   */
  public boolean hasFailuresOn(Worker worker) {
    return workersWithFailures.contains(worker.id());
  }

  /** Forgets jobs that have ended and workers that no longer exist. */
  public void forgetEnded() {
    jobs.keySet().removeIf(id -> context.stateCache().job(id) == null);
    workersWithFailures.removeIf(id -> workers.get(id) == null);
  }
}
