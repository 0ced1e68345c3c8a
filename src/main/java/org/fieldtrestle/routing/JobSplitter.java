package org.fieldtrestle.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.protocol.JobSpec;

/**
 * Splits a job into task ranges and assigns them to shards by the shards' free resources and
 * waiting work.
 */
public final class JobSplitter {
  /**
   * Number of steps per candidate in which the tasks that no shard has room for are distributed.
   */
  private static final int STEPS_PER_CANDIDATE = 4;

  private JobSplitter() {}

  /**
   * A shard to which tasks may be assigned.
   *
   * @param shard the name of the shard
   * @param freeTasks how many tasks of the job the shard has room for now
   * @param waitingCpus the CPUs of the tasks that already wait on the shard
   * @param capacityCpus the CPUs of the shard's machines
   */
  public record Candidate(String shard, int freeTasks, double waitingCpus, double capacityCpus) {
    /** Returns the waiting work per CPU of the shard's machines. */
    public double waitingPerCpu() {
      return waitingCpus / Math.max(1, capacityCpus);
    }
  }

  /**
   * A range of tasks that is assigned to a shard.
   *
   * @param shard the name of the shard
   * @param from the index of the first task
   * @param to the index after that of the last task
   * @param zoneLimits how many of these tasks may run in each zone at a time; empty if there is no
   *     limit
   */
  public record Part(String shard, int from, int to, Map<String, Integer> zoneLimits) {}

  /**
   * Splits a job. Free resources are used first, beginning with the shard that has room for the
   * most tasks, so that small jobs stay together and their image is fetched by few machines. The
   * remaining tasks are assigned to the shards with the least waiting work.
   *
   * @param candidates at least one shard
   * @param maxTasksPerPart the maximum number of tasks of a part
   * @param zones all zones of the cluster
   */
  public static List<Part> split(
      JobSpec spec, List<Candidate> candidates, int maxTasksPerPart, List<String> zones) {
    List<Candidate> byFreeTasks = new ArrayList<>(candidates);
    byFreeTasks.sort(Comparator.comparingInt(Candidate::freeTasks).reversed());
    Map<String, Integer> counts = tasksByShard(spec, byFreeTasks);
    List<Part> parts = new ArrayList<>();
    int from = 0;
    for (Candidate candidate : byFreeTasks) {
      int left = counts.getOrDefault(candidate.shard(), 0);
      while (left > 0) {
        int to = from + Math.min(left, maxTasksPerPart);
        parts.add(new Part(candidate.shard(), from, to, zoneLimits(spec, from, to, zones)));
        left -= to - from;
        from = to;
      }
    }
    return parts;
  }

  /** Returns how many tasks are assigned to each shard. */
  private static Map<String, Integer> tasksByShard(JobSpec spec, List<Candidate> byFreeTasks) {
    Map<String, Integer> counts = new HashMap<>();
    if (spec.spread() || spec.kind() == JobSpec.Kind.GANG) {
      // In small parts a zone limit would round to zero, and a gang can only start as a whole. Such
      // jobs are assigned to a single shard.
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
      assignByWaitingWork(spec, byFreeTasks, left, counts);
    }
    return counts;
  }

  /**
   * Assigns tasks in steps, each step to the shard that has the least waiting work per CPU at that
   * point.
   */
  private static void assignByWaitingWork(
      JobSpec spec, List<Candidate> candidates, int tasks, Map<String, Integer> counts) {
    double cpus = spec.countedCpus();
    Map<String, Double> waitingCpus = new HashMap<>();
    double averageCapacity = 0;
    for (Candidate candidate : candidates) {
      waitingCpus.put(candidate.shard(), candidate.waitingCpus());
      averageCapacity += candidate.capacityCpus() / candidates.size();
    }
    // A shard with few machines counts as one of average capacity, as it rents machines for the
    // tasks that it is assigned. If it were assigned few tasks, the first shard to rent machines
    // would get nearly all tasks and therefore all further machines.
    double minCapacity = Math.max(cpus, averageCapacity);
    int stepSize = Math.max(1, tasks / (STEPS_PER_CANDIDATE * candidates.size()));
    int left = tasks;
    while (left > 0) {
      String shard = shardWithLeastWaiting(candidates, waitingCpus, minCapacity);
      int assigned = Math.min(stepSize, left);
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
   * Returns how many of the tasks {@code from} to {@code to} (exclusive) may run in each zone at a
   * time. Each range gets its proportional part of the job's zone limit, rounded so that the parts
   * of all ranges add up to exactly that limit.
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
