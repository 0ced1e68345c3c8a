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
 * The loads of all shards, as last reported by their leaders, plus the tasks that this controller
 * has assigned to the shards since.
 */
public final class ShardLoads {
  /**
   * Maximum number of tasks for which the free resources of one zone count as room, as a task may
   * ask for no resources.
   */
  private static final double MAX_FREE_TASKS = 1e6;

  /** The last report of a shard leader. */
  private static final class Report {
    private PeerMessage.ShardLoad load;
    private long receivedAtMs;

    /** CPUs of the tasks that this controller has assigned to the shard since the report. */
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
   * Creates the loads. No load is known at first.
   *
   * @param ownShard the home shard of this controller
   * @param maxAgeMs age in milliseconds after which a report is outdated, so that no tasks are
   *     assigned to its shard
   */
  public ShardLoads(Reactor reactor, String ownShard, long maxAgeMs) {
    this.reactor = reactor;
    this.ownShard = ownShard;
    this.maxAgeMs = maxAgeMs;
  }

  /**
   * Stores a report of a shard leader, unless a report of a later epoch has already been received.
   */
  public void update(PeerMessage.ShardLoad load) {
    Report report = reports.computeIfAbsent(load.shard(), shard -> new Report(load));
    if (load.epoch() < report.load.epoch()) {
      return;
    }
    report.load = load;
    report.receivedAtMs = reactor.nowMs();
    report.assignedCpus = 0;
  }

  private boolean isFresh(Report report) {
    return reactor.nowMs() - report.receivedAtMs <= maxAgeMs;
  }

  /**
   * Returns the shards to which tasks of a job may be assigned, or only this controller's home
   * shard if no current load is known.
   *
   * @param zone the only zone whose free resources count; {@code null} if those of all zones do
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

  /** Returns how many tasks of a job a shard has room for in the zones in which they may run. */
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

  /** Returns the CPUs of the machines of all shards except the given one. */
  public double capacityCpusOfOthers(String shard) {
    double sum = 0;
    for (Map.Entry<String, Report> entry : reports.entrySet()) {
      if (!entry.getKey().equals(shard) && isFresh(entry.getValue())) {
        sum += entry.getValue().load.capacityCpus();
      }
    }
    return sum;
  }

  /**
   * Returns the shard that has room for the most tasks of a job. Among shards with room for equally
   * many tasks, it is the one with the least waiting work per CPU.
   *
   * @param zone the only zone whose free resources count; {@code null} if those of all zones do
   * @param excludedShard a shard that is not considered
   * @return the shard, or empty if the load of no other shard is known
   */
  public Optional<JobSplitter.Candidate> leastLoaded(
      JobSpec spec, String zone, String excludedShard) {
    JobSplitter.Candidate best = null;
    for (JobSplitter.Candidate candidate : candidates(spec, zone)) {
      if (candidate.shard().equals(excludedShard) || !reports.containsKey(candidate.shard())) {
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

  /** Counts the tasks of the parts as load of their shards until the next report of each shard. */
  public void addAssigned(JobSpec spec, List<JobSplitter.Part> parts) {
    for (JobSplitter.Part part : parts) {
      Report report = reports.get(part.shard());
      if (report != null) {
        report.assignedCpus += (part.to() - part.from()) * spec.cpus();
      }
    }
  }

  /**
   * Returns the zone with the most free CPUs.
   *
   * @param zones the zones to choose from; at least one
   */
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
