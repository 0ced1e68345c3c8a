package org.fieldtrestle.worker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.fieldtrestle.context.ControllerContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells machines that fail their tasks from jobs that fail on every machine. A machine is faulty
 * when jobs fail there that are under no suspicion; a job is suspect when it failed on several
 * machines and never succeeded.
 */
public final class FailureTracker {
  private static final Logger LOG = LoggerFactory.getLogger(FailureTracker.class);

  /** Machines that a job without any success must have failed on to be suspect itself. */
  private static final int SUSPECT_AFTER = 3;

  /** Failures of unsuspected jobs without a success between them that condemn a machine. */
  private static final int FAULTY_AFTER = 2;

  /** How many times a job's usual run time makes a task evidence against its machine. */
  private static final double CRAWLS_AT = 2.5;

  /** Tasks of a job that must have finished elsewhere before its run time counts as usual. */
  private static final int USUAL_AFTER = 3;

  /** Tasks that crawled on a machine before it is replaced. */
  private static final int CRAWLER_AFTER = 2;

  private static final class JobRecord {
    double runSeconds;
    int runs;
    final Set<String> failedOn = new HashSet<>();
    boolean succeeded;
    boolean suspect;
  }

  private final ControllerContext context;
  private final Supplier<WorkerRegistry> workers;
  private final Map<String, JobRecord> jobs = new HashMap<>();

  /** Machines on which some job has failed. */
  private final Set<String> condemning = new HashSet<>();

  public FailureTracker(ControllerContext context, Supplier<WorkerRegistry> workers) {
    this.context = context;
    this.workers = workers;
  }

  void succeeded(TaskAttempt task, long now) {
    task.worker.errors = 0;
    task.worker.errorJobs.clear();
    JobRecord job = jobs.computeIfAbsent(task.task.job(), j -> new JobRecord());
    job.succeeded = true;
    job.suspect = false;
    crawled(task, now);
    // Of a task that was found running only the rest was seen. Taken for the whole, it made all the
    // job's other tasks look slow after a restart, and hundreds of good machines were closed.
    if (task.runningSince >= 0 && !task.found) {
      job.runSeconds += task.elapsedS(now);
      job.runs++;
    }
  }

  /**
   * Looks whether a task takes much longer than its job's others did. Estimates say little about a
   * machine, as they are often wrong by half; the job's own tasks elsewhere say more.
   */
  public void crawled(TaskAttempt task, long now) {
    JobRecord job = jobs.get(task.task.job());
    Worker worker = task.worker;
    if (job == null
        || job.runs < USUAL_AFTER
        || task.elapsedS(now) < CRAWLS_AT * job.runSeconds / job.runs
        || !worker.slowTasks.add(task.task)
        || worker.slowTasks.size() < CRAWLER_AFTER
        || worker.draining) {
      return;
    }
    worker.drain("crawls");
    LOG.warn(
        "machine {} crawls: {} took {} s, usual {} s",
        worker.id,
        task.task,
        Math.round(task.elapsedS(now)),
        Math.round(job.runSeconds / job.runs));
  }

  /** A task failed; decides where and when it, and its machine's others, go next. */
  void failed(TaskAttempt task, TaskRange.Retry retry, int failures, long now) {
    String id = task.task.job();
    Worker worker = task.worker;
    JobRecord job = jobs.computeIfAbsent(id, j -> new JobRecord());
    job.failedOn.add(worker.id);
    condemning.add(worker.id);
    if (!job.suspect && !job.succeeded && job.failedOn.size() >= SUSPECT_AFTER) {
      job.suspect = true;
      LOG.warn("job {} fails on every machine: {}", id, job.failedOn);
      for (Worker other : workers.get().all()) {
        if (other.errorJobs.remove(id)) {
          other.errors = other.errorJobs.size();
          other.quarantineUntil = 0;
          if (other.errors < FAULTY_AFTER && other.drainReason.equals("fails its tasks")) {
            other.draining = false;
            other.drainReason = "";
          }
        }
      }
    }
    long pause = context.heartbeatIntervalsMs(0.5) << Math.min(failures, 5);
    retry.notBefore = now + (job.suspect ? pause : 0);
    if (job.suspect) {
      return;
    }
    worker.errors++;
    worker.errorJobs.add(id);
    worker.quarantineUntil = now + context.heartbeatIntervalsMs(4);
    if (worker.errors >= FAULTY_AFTER && !worker.draining) {
      worker.drain("fails its tasks");
      LOG.warn("machine {} fails its tasks, last of {}", worker.id, id);
    }
  }

  /** A task of a job is not tried again where it failed, unless the job fails everywhere. */
  public boolean avoids(TaskRange range, Worker worker) {
    JobRecord job = jobs.get(range.key.job());
    return job != null && !job.suspect && job.failedOn.contains(worker.id);
  }

  /** Whether any job avoids a machine: else all of its kind are alike to all that wait. */
  public boolean avoidsAny(Worker worker) {
    return condemning.contains(worker.id);
  }

  public void forgetEnded() {
    jobs.keySet().removeIf(id -> context.stateCache().job(id) == null);
    if (!condemning.isEmpty()) {
      condemning.removeIf(id -> workers.get().get(id) == null);
    }
  }
}
