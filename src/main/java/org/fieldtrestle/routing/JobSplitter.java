package org.fieldtrestle.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.protocol.JobSpec;

/** Splits a job into task ranges over shards by their free room and waiting work. */
public final class JobSplitter {
  /** Least CPUs by which a task is counted, as tasks may ask for none. */
  private static final double MIN_CPUS = 0.1;

  /** Steps per candidate in which tasks without free room are distributed. */
  private static final int STEPS_PER_CANDIDATE = 4;

  private JobSplitter() {}

  /**
   * A shard that tasks may be assigned to.
   *
   * @param shard its name
   * @param freeTasks how many of the job's tasks it has room for now
   * @param waitingCpus CPUs of the tasks that wait there already
   * @param capacityCpus CPUs of its machines
   */
  public record Candidate(String shard, int freeTasks, double waitingCpus, double capacityCpus) {
    /** Waiting work per CPU of its machines. */
    public double waitingPerCpu() {
      return waitingCpus / Math.max(1, capacityCpus);
    }
  }

  /**
   * A range of tasks that is assigned to a shard.
   *
   * @param shard the shard's name
   * @param from the first task
   * @param to the task after the last one
   * @param zoneLimits how many of these tasks may be in each zone at a time; empty if not limited
   */
  public record Part(String shard, int from, int to, Map<String, Integer> zoneLimits) {}

  /**
   * Splits a job. Free room is used first, most of it first, so that small jobs stay together and
   * their image is fetched by few machines; remaining tasks go where least work waits.
   *
   * @param candidates at least one shard
   * @param maxPart the most tasks that a part may hold
   * @param zones all zones of the cluster
   */
  public static List<Part> split(
      JobSpec spec, List<Candidate> candidates, int maxPart, List<String> zones) {
    List<Candidate> byFreeTasks = new ArrayList<>(candidates);
    byFreeTasks.sort(Comparator.comparingInt(Candidate::freeTasks).reversed());
    Map<String, Integer> counts = tasksByShard(spec, byFreeTasks);
    List<Part> parts = new ArrayList<>();
    int from = 0;
    for (Candidate candidate : byFreeTasks) {
      int left = counts.getOrDefault(candidate.shard(), 0);
      while (left > 0) {
        int to = from + Math.min(left, maxPart);
        parts.add(new Part(candidate.shard(), from, to, zoneLimits(spec, from, to, zones)));
        left -= to - from;
        from = to;
      }
    }
    return parts;
  }

  /** How many tasks each shard is assigned. */
  private static Map<String, Integer> tasksByShard(JobSpec spec, List<Candidate> byFreeTasks) {
    Map<String, Integer> counts = new HashMap<>();
    if (spec.spread() || spec.kind() == JobSpec.Kind.GANG) {
      // A zone limit would round to nothing in small parts, and a gang starts as a whole: such a
      // job stays with one shard.
      counts.put(byFreeTasks.get(0).shard(), spec.tasks());
      return counts;
    }
    int left = spec.tasks();
    for (Candidate candidate : byFreeTasks) {
      int assigned = Math.min(left, Math.max(0, candidate.freeTasks()));
      if (assigned > 0) {
        counts.merge(candidate.shard(), assigned, Integer::sum);
        left -= assigned;
      }
    }
    if (left > 0) {
      levelWaitingWork(spec, byFreeTasks, left, counts);
    }
    return counts;
  }

  /** Assigns tasks in steps, each to the shard with the least waiting work per CPU then. */
  private static void levelWaitingWork(
      JobSpec spec, List<Candidate> candidates, int tasks, Map<String, Integer> counts) {
    double cpus = Math.max(spec.cpus(), MIN_CPUS);
    Map<String, Double> waitingCpus = new HashMap<>();
    double averageCapacity = 0;
    for (Candidate candidate : candidates) {
      waitingCpus.put(candidate.shard(), candidate.waitingCpus());
      averageCapacity += candidate.capacityCpus() / candidates.size();
    }
    // A shard with few machines counts as average, as it rents for what it is assigned. If it were
    // assigned little, the first shard to rent would get nearly all work, and so all machines.
    double minCapacity = Math.max(cpus, averageCapacity);
    int step = Math.max(1, tasks / (STEPS_PER_CANDIDATE * candidates.size()));
    int left = tasks;
    while (left > 0) {
      String shard = shardWithLeastWaiting(candidates, waitingCpus, minCapacity);
      int assigned = Math.min(step, left);
      counts.merge(shard, assigned, Integer::sum);
      waitingCpus.merge(shard, assigned * cpus, Double::sum);
      left -= assigned;
    }
  }

  private static String shardWithLeastWaiting(
      List<Candidate> candidates, Map<String, Double> waitingCpus, double minCapacity) {
    Candidate least = candidates.get(0);
    for (Candidate candidate : candidates) {
      if (waitingCpus.get(candidate.shard()) / Math.max(minCapacity, candidate.capacityCpus())
          < waitingCpus.get(least.shard()) / Math.max(minCapacity, least.capacityCpus())) {
        least = candidate;
      }
    }
    return least.shard();
  }

  /**
   * How many of the tasks from..to may be in each zone at a time, so that the limits of all ranges
   * together keep to the job's zone limit. Each range gets its proportional part, rounded so that
   * they add up exactly.
   */
  private static Map<String, Integer> zoneLimits(
      JobSpec spec, int from, int to, List<String> zones) {
    if (!spec.spread()) {
      return Map.of();
    }
    Map<String, Integer> zoneLimits = new TreeMap<>();
    long limit = spec.zoneLimit();
    for (String zone : zones) {
      zoneLimits.put(zone, (int) (limit * to / spec.tasks() - limit * from / spec.tasks()));
    }
    return zoneLimits;
  }
}
