package org.fieldtrestle.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.protocol.FreeCapacity;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.PeerMessage;
import org.fieldtrestle.transport.Reactor;

/** How the shards stand, as far as their controllers have told lately. */
public final class ShardLoads {
  private static final class Known {
    PeerMessage.ShardLoad load;
    long at;
    double cpusTaken;
  }

  private final Reactor reactor;
  private final String self;
  private final long freshMs;
  private final Map<String, Known> known = new TreeMap<>();

  /**
   * @param freshMs a shard not heard of for so long is given nothing
   */
  public ShardLoads(Reactor reactor, String self, long freshMs) {
    this.reactor = reactor;
    this.self = self;
    this.freshMs = freshMs;
  }

  /** An older epoch's or a repeated frame costs nothing: the next replaces it. */
  public void heard(PeerMessage.ShardLoad load) {
    Known one = known.computeIfAbsent(load.shard(), m -> new Known());
    if (one.load != null && load.epoch() < one.load.epoch()) {
      return;
    }
    one.load = load;
    one.at = reactor.now();
    one.cpusTaken = 0;
  }

  private boolean fresh(Known one) {
    return reactor.now() - one.at <= freshMs;
  }

  /** Those that may be given ranges; our own shard where none is known. */
  public List<JobSplitter.Candidate> candidates(JobSpec spec, String zone) {
    List<JobSplitter.Candidate> all = new ArrayList<>();
    for (Map.Entry<String, Known> entry : known.entrySet()) {
      Known one = entry.getValue();
      if (!fresh(one)) {
        continue;
      }
      int free = 0;
      for (FreeCapacity room : one.load.freeCapacity()) {
        if ((zone == null || zone.equals(room.zone()))
            && (spec.zone() == null || spec.zone().equals(room.zone()))) {
          free += tasksIn(room, spec, one.cpusTaken);
        }
      }
      all.add(
          new JobSplitter.Candidate(
              entry.getKey(),
              free,
              one.load.waitingCpus() + one.cpusTaken,
              one.load.capacityCpus()));
    }
    if (all.isEmpty()) {
      all.add(new JobSplitter.Candidate(self, 0, 0, 0));
    }
    return all;
  }

  private static int tasksIn(FreeCapacity room, JobSpec spec, double taken) {
    double most = 1e6;
    if (spec.cpus() > 0) {
      most = Math.min(most, (room.cpus() - taken) / spec.cpus());
    }
    if (spec.gpus() > 0) {
      most = Math.min(most, room.gpus() / spec.gpus());
    }
    if (spec.memoryGb() > 0) {
      most = Math.min(most, room.memoryGb() / spec.memoryGb());
    }
    return (int) Math.max(0, Math.floor(most));
  }

  /** The CPUs of all shards' machines but one's. */
  public double capacityOfOthers(String except) {
    double sum = 0;
    for (Map.Entry<String, Known> entry : known.entrySet()) {
      if (!entry.getKey().equals(except) && fresh(entry.getValue())) {
        sum += entry.getValue().load.capacityCpus();
      }
    }
    return sum;
  }

  /** The fresh shard other than this one where least waits for its CPUs; null if there is none. */
  public JobSplitter.Candidate leastLoaded(JobSpec spec, String zone, String except) {
    JobSplitter.Candidate best = null;
    for (JobSplitter.Candidate one : candidates(spec, zone)) {
      if (one.shard().equals(except) || !known.containsKey(one.shard())) {
        continue;
      }
      if (best == null
          || one.freeTasks() > best.freeTasks()
          || one.freeTasks() == best.freeTasks() && one.pressure() < best.pressure()) {
        best = one;
      }
    }
    return best;
  }

  /** What was handed out since a shard last told counts as taken. */
  public void taken(JobSpec spec, List<JobSplitter.Part> parts) {
    for (JobSplitter.Part part : parts) {
      Known one = known.get(part.shard());
      if (one != null) {
        one.cpusTaken += (part.to() - part.from()) * spec.cpus();
      }
    }
  }

  /** The zone with most free CPUs, of those in which the job may be. */
  public String roomiestZone(JobSpec spec, List<String> zones) {
    Map<String, Double> free = new TreeMap<>();
    for (Known one : known.values()) {
      if (fresh(one)) {
        one.load.freeCapacity().forEach(room -> free.merge(room.zone(), room.cpus(), Double::sum));
      }
    }
    String best = zones.get(0);
    for (String zone : zones) {
      if (free.getOrDefault(zone, 0.0) > free.getOrDefault(best, 0.0)) {
        best = zone;
      }
    }
    return best;
  }
}
