package org.fieldtrestle.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.PeerWire;
import org.fieldtrestle.transport.Reactor;

/** How the masters stand, as far as their controllers have told lately. */
public final class Loads {
  private static final class Known {
    PeerWire.Load load;
    long at;
    double cpusTaken;
  }

  private final Reactor reactor;
  private final String self;
  private final long freshMs;
  private final Map<String, Known> known = new TreeMap<>();

  /**
   * @param freshMs a master not heard of for so long is given nothing
   */
  public Loads(Reactor reactor, String self, long freshMs) {
    this.reactor = reactor;
    this.self = self;
    this.freshMs = freshMs;
  }

  /** An older epoch's or a repeated frame costs nothing: the next replaces it. */
  public void heard(PeerWire.Load load) {
    Known one = known.computeIfAbsent(load.master(), m -> new Known());
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

  /** Those that may be given ranges; our own master where none is known. */
  List<JobSplit.Candidate> candidates(JobSpec spec, String zone) {
    List<JobSplit.Candidate> all = new ArrayList<>();
    for (Map.Entry<String, Known> entry : known.entrySet()) {
      Known one = entry.getValue();
      if (!fresh(one)) {
        continue;
      }
      int free = 0;
      for (PeerWire.Room room : one.load.rooms()) {
        if ((zone == null || zone.equals(room.zone()))
            && (spec.zone() == null || spec.zone().equals(room.zone()))) {
          free += tasksIn(room, spec, one.cpusTaken);
        }
      }
      all.add(
          new JobSplit.Candidate(
              entry.getKey(),
              free,
              one.load.waitingCpus() + one.cpusTaken,
              one.load.capacityCpus()));
    }
    if (all.isEmpty()) {
      all.add(new JobSplit.Candidate(self, 0, 0, 0));
    }
    return all;
  }

  private static int tasksIn(PeerWire.Room room, JobSpec spec, double taken) {
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

  /** The CPUs of all masters' machines but one's. */
  double capacityOfOthers(String except) {
    double sum = 0;
    for (Map.Entry<String, Known> entry : known.entrySet()) {
      if (!entry.getKey().equals(except) && fresh(entry.getValue())) {
        sum += entry.getValue().load.capacityCpus();
      }
    }
    return sum;
  }

  /** The fresh master other than this one where least waits for its CPUs; null if there is none. */
  JobSplit.Candidate leastLoaded(JobSpec spec, String zone, String except) {
    JobSplit.Candidate best = null;
    for (JobSplit.Candidate one : candidates(spec, zone)) {
      if (one.master().equals(except) || !known.containsKey(one.master())) {
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

  /** What was handed out since a master last told counts as taken. */
  void taken(JobSpec spec, List<JobSplit.Part> parts) {
    for (JobSplit.Part part : parts) {
      Known one = known.get(part.master());
      if (one != null) {
        one.cpusTaken += (part.to() - part.from()) * spec.cpus();
      }
    }
  }

  /** The zone with most free CPUs, of those in which the job may be. */
  String roomiestZone(JobSpec spec, List<String> zones) {
    Map<String, Double> free = new TreeMap<>();
    for (Known one : known.values()) {
      if (fresh(one)) {
        one.load.rooms().forEach(room -> free.merge(room.zone(), room.cpus(), Double::sum));
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
