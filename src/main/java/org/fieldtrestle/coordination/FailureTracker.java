package org.fieldtrestle.coordination;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells machines that fail their tasks from jobs that fail on every machine. A machine is faulty
 * when jobs fail there that are under no suspicion; a job is suspect when it failed on several
 * machines and never succeeded.
 */
final class FailureTracker {
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

  private final Master master;
  private final Map<String, JobRecord> jobs = new HashMap<>();

  /** Machines on which some job has failed. */
  private final Set<String> condemning = new HashSet<>();

  FailureTracker(Master master) {
    this.master = master;
  }

  void succeeded(PlacedTask task, long now) {
    task.host.errors = 0;
    task.host.errorJobs.clear();
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
  void crawled(PlacedTask task, long now) {
    JobRecord job = jobs.get(task.task.job());
    Host host = task.host;
    if (job == null
        || job.runs < USUAL_AFTER
        || task.elapsedS(now) < CRAWLS_AT * job.runSeconds / job.runs
        || !host.crawled.add(task.task)
        || host.crawled.size() < CRAWLER_AFTER
        || host.draining) {
      return;
    }
    host.drain("crawls");
    LOG.warn(
        "machine {} crawls: {} took {} s, usual {} s",
        host.id,
        task.task,
        Math.round(task.elapsedS(now)),
        Math.round(job.runSeconds / job.runs));
  }

  /** A task failed; decides where and when it, and its machine's others, go next. */
  void failed(PlacedTask task, OwnedRange.Retry retry, int failures, long now) {
    String id = task.task.job();
    Host host = task.host;
    JobRecord job = jobs.computeIfAbsent(id, j -> new JobRecord());
    job.failedOn.add(host.id);
    condemning.add(host.id);
    if (!job.suspect && !job.succeeded && job.failedOn.size() >= SUSPECT_AFTER) {
      job.suspect = true;
      LOG.warn("job {} fails on every machine: {}", id, job.failedOn);
      for (Host other : master.machines().all()) {
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
    long pause = master.node.reportMs(0.5) << Math.min(failures, 5);
    retry.notBefore = now + (job.suspect ? pause : 0);
    if (job.suspect) {
      return;
    }
    host.errors++;
    host.errorJobs.add(id);
    host.quarantineUntil = now + master.node.reportMs(4);
    if (host.errors >= FAULTY_AFTER && !host.draining) {
      host.drain("fails its tasks");
      LOG.warn("machine {} fails its tasks, last of {}", host.id, id);
    }
  }

  /** A task of a job is not tried again where it failed, unless the job fails everywhere. */
  boolean avoids(OwnedRange range, Host host) {
    JobRecord job = jobs.get(range.key.job());
    return job != null && !job.suspect && job.failedOn.contains(host.id);
  }

  /** Whether any job avoids a machine: else all of its kind are alike to all that wait. */
  boolean avoidsAny(Host host) {
    return condemning.contains(host.id);
  }

  void forgetEnded() {
    jobs.keySet().removeIf(id -> master.node.view().job(id) == null);
    if (!condemning.isEmpty()) {
      condemning.removeIf(id -> master.machines().get(id) == null);
    }
  }
}
