package org.fieldtrestle.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.protocol.JobSpec;

/** Splits a job into ranges over shards by their free room. */
public final class JobSplitter {
  private JobSplitter() {}

  /**
   * A shard that may take tasks: how many it has room for now, what waits there already, and the
   * CPUs of its machines.
   */
  public record Candidate(String shard, int freeTasks, double waitingCpus, double capacityCpus) {
    /** What waits, measured in all of its machines. */
    public double pressure() {
      return waitingCpus / Math.max(1, capacityCpus);
    }
  }

  /** Tasks from {@code from} up to but without {@code to} for a shard. */
  public record Part(String shard, int from, int to, Map<String, Integer> caps) {}

  /**
   * Free room first, most of it first, so that small jobs stay together and their image is fetched
   * by few machines; what is left goes where least waits. No part holds more than {@code maxPart}.
   */
  public static List<Part> split(
      JobSpec spec, List<Candidate> candidates, int maxPart, List<String> zones) {
    Map<String, Integer> counts = new HashMap<>();
    List<Candidate> byRoom = new ArrayList<>(candidates);
    byRoom.sort(Comparator.comparingInt(Candidate::freeTasks).reversed());
    int left = spec.tasks();
    if (spec.spread() || spec.kind() == JobSpec.Kind.GANG) {
      // In small parts a zone limit would round to nothing, and a gang starts as a whole: such a
      // job stays with one shard.
      counts.put(byRoom.get(0).shard(), left);
      left = 0;
    }
    for (Candidate candidate : byRoom) {
      int taken = Math.min(left, Math.max(0, candidate.freeTasks()));
      if (taken > 0) {
        counts.merge(candidate.shard(), taken, Integer::sum);
        left -= taken;
      }
    }
    spread(spec, byRoom, counts, left);
    List<Part> parts = new ArrayList<>();
    int from = 0;
    for (Candidate candidate : byRoom) {
      int count = counts.getOrDefault(candidate.shard(), 0);
      while (count > 0) {
        int size = Math.min(count, maxPart);
        parts.add(
            new Part(candidate.shard(), from, from + size, caps(spec, from, from + size, zones)));
        from += size;
        count -= size;
      }
    }
    return parts;
  }

  /** Levels what waits: each next bite goes where least waits for its CPUs. */
  private static void spread(
      JobSpec spec, List<Candidate> candidates, Map<String, Integer> counts, int left) {
    if (left == 0) {
      return;
    }
    double cpus = Math.max(spec.cpus(), 0.1);
    Map<String, Double> waiting = new HashMap<>();
    candidates.forEach(c -> waiting.put(c.shard(), c.waitingCpus()));
    // One with few machines rents for what it is given. Were it given little for having few, the
    // first to rent would get nearly all the work, and so nearly all the machines.
    double usual = 0;
    for (Candidate candidate : candidates) {
      usual += candidate.capacityCpus() / candidates.size();
    }
    double floor = Math.max(cpus, usual);
    int bite = Math.max(1, left / (4 * candidates.size()));
    while (left > 0) {
      Candidate least = candidates.get(0);
      for (Candidate candidate : candidates) {
        if (waiting.get(candidate.shard()) / Math.max(floor, candidate.capacityCpus())
            < waiting.get(least.shard()) / Math.max(floor, least.capacityCpus())) {
          least = candidate;
        }
      }
      int taken = Math.min(bite, left);
      counts.merge(least.shard(), taken, Integer::sum);
      waiting.merge(least.shard(), taken * cpus, Double::sum);
      left -= taken;
    }
  }

  /**
   * How many of the tasks from..to may be in each zone at a time, so that the caps of all ranges
   * together keep to the job's. Each gets its proportional part, rounded so that they sum exactly.
   */
  static Map<String, Integer> caps(JobSpec spec, int from, int to, List<String> zones) {
    if (!spec.spread()) {
      return Map.of();
    }
    Map<String, Integer> caps = new TreeMap<>();
    long limit = spec.zoneLimit();
    for (String zone : zones) {
      caps.put(zone, (int) (limit * to / spec.tasks() - limit * from / spec.tasks()));
    }
    return caps;
  }
}
