package org.fieldtrestle.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.fieldtrestle.protocol.FreeCapacity;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.PeerMessage;
import org.fieldtrestle.transport.Reactor;

/**
 * The loads of all shards, as their leaders have reported them lately, plus what this controller
 * has assigned to them since.
 */
public final class ShardLoads {
  /** The most tasks that are counted for one report, as a task may ask for no resources. */
  private static final double MAX_FREE_TASKS = 1e6;

  /** The last report of a shard's leader. */
  private static final class Report {
    private PeerMessage.ShardLoad load;
    private long receivedAtMs;

    /** CPUs of tasks that were assigned to the shard since the report. */
    private double assignedCpus;

    private Report(PeerMessage.ShardLoad load) {
      this.load = load;
    }
  }

  private final Reactor reactor;
  private final String ownShard;
  private final long maxAgeMs;
  private final Map<String, Report> reports = new TreeMap<>();

  /**
   * Sets up the loads; none is known at first.
   *
   * @param ownShard the shard that is named after this controller
   * @param maxAgeMs age in ms after which a report is out of date, so that its shard is assigned
   *     nothing
   */
  public ShardLoads(Reactor reactor, String ownShard, long maxAgeMs) {
    this.reactor = reactor;
    this.ownShard = ownShard;
    this.maxAgeMs = maxAgeMs;
  }

  /** Takes a report of a shard's leader, unless one of a later epoch was received before. */
  public void update(PeerMessage.ShardLoad load) {
    Report report = reports.computeIfAbsent(load.shard(), shard -> new Report(load));
    if (load.epoch() < report.load.epoch()) {
      return;
    }
    report.load = load;
    report.receivedAtMs = reactor.now();
    report.assignedCpus = 0;
  }

  private boolean isFresh(Report report) {
    return reactor.now() - report.receivedAtMs <= maxAgeMs;
  }

  /**
   * The shards that tasks of a job may be assigned to; this controller's own where no load is
   * known.
   *
   * @param zone the only zone that free resources count in; null if all zones do
   */
  public List<JobSplitter.Candidate> candidates(JobSpec spec, String zone) {
    List<JobSplitter.Candidate> candidates = new ArrayList<>();
    for (Map.Entry<String, Report> entry : reports.entrySet()) {
      Report report = entry.getValue();
      if (isFresh(report)) {
        candidates.add(
            new JobSplitter.Candidate(
                entry.getKey(),
                freeTasks(report, spec, zone),
                report.load.waitingCpus() + report.assignedCpus,
                report.load.capacityCpus()));
      }
    }
    if (candidates.isEmpty()) {
      candidates.add(new JobSplitter.Candidate(ownShard, 0, 0, 0));
    }
    return candidates;
  }

  /** How many tasks of a job a shard has room for, in the zones where they may run. */
  private static int freeTasks(Report report, JobSpec spec, String zone) {
    int tasks = 0;
    for (FreeCapacity free : report.load.freeCapacity()) {
      if ((zone == null || zone.equals(free.zone()))
          && (spec.zone() == null || spec.zone().equals(free.zone()))) {
        tasks += freeTasks(free, spec, report.assignedCpus);
      }
    }
    return tasks;
  }

  private static int freeTasks(FreeCapacity free, JobSpec spec, double assignedCpus) {
    double tasks = MAX_FREE_TASKS;
    if (spec.cpus() > 0) {
      tasks = Math.min(tasks, (free.cpus() - assignedCpus) / spec.cpus());
    }
    if (spec.gpus() > 0) {
      tasks = Math.min(tasks, free.gpus() / spec.gpus());
    }
    if (spec.memoryGb() > 0) {
      tasks = Math.min(tasks, free.memoryGb() / spec.memoryGb());
    }
    return (int) Math.max(0, Math.floor(tasks));
  }

  /** The CPUs of the machines of all shards but one. */
  public double capacityOfOthers(String shard) {
    double sum = 0;
    for (Map.Entry<String, Report> entry : reports.entrySet()) {
      if (!entry.getKey().equals(shard) && isFresh(entry.getValue())) {
        sum += entry.getValue().load.capacityCpus();
      }
    }
    return sum;
  }

  /**
   * The shard with room for most tasks of a job, or with the least waiting work per CPU where that
   * is the same.
   *
   * @param zone the only zone that free resources count in; null if all zones do
   * @param except a shard that is left out
   * @return empty if the load of no other shard is known
   */
  public Optional<JobSplitter.Candidate> leastLoaded(JobSpec spec, String zone, String except) {
    JobSplitter.Candidate best = null;
    for (JobSplitter.Candidate candidate : candidates(spec, zone)) {
      if (candidate.shard().equals(except) || !reports.containsKey(candidate.shard())) {
        continue;
      }
      if (best == null
          || candidate.freeTasks() > best.freeTasks()
          || (candidate.freeTasks() == best.freeTasks()
              && candidate.waitingPerCpu() < best.waitingPerCpu())) {
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Counts tasks as taken until their shard's next report. */
  public void addAssigned(JobSpec spec, List<JobSplitter.Part> parts) {
    for (JobSplitter.Part part : parts) {
      Report report = reports.get(part.shard());
      if (report != null) {
        report.assignedCpus += (part.to() - part.from()) * spec.cpus();
      }
    }
  }

  /** The zone with most free CPUs, out of at least one. */
  public String zoneWithMostFreeCpus(List<String> zones) {
    Map<String, Double> freeCpus = new TreeMap<>();
    for (Report report : reports.values()) {
      if (isFresh(report)) {
        for (FreeCapacity free : report.load.freeCapacity()) {
          freeCpus.merge(free.zone(), free.cpus(), Double::sum);
        }
      }
    }
    String best = zones.get(0);
    for (String zone : zones) {
      if (freeCpus.getOrDefault(zone, 0.0) > freeCpus.getOrDefault(best, 0.0)) {
        best = zone;
      }
    }
    return best;
  }
}
