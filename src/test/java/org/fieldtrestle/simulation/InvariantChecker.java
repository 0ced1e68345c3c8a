package org.fieldtrestle.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Checks a history for the rules of the protocol, as users and workers see it. */
final class InvariantChecker {
  private static final Logger LOG = LoggerFactory.getLogger(InvariantChecker.class);
  private final SimulatedTime time;
  private final SimulatedCluster cluster;
  final List<String> broken = new ArrayList<>();

  /** The machines that each task is on, by job; without those that are nowhere. */
  private final Map<String, Map<String, Set<String>>> on = new HashMap<>();

  private final Map<String, Double> usedByTeam = new HashMap<>();
  private final Map<String, String> last = new HashMap<>();
  private final Map<String, Long> finalAt = new HashMap<>();
  private final Map<String, Long> toldCancelled = new HashMap<>();
  private final Set<String> accepted = new HashSet<>();
  private final Set<String> begun = new HashSet<>();
  private final Map<String, Long> failingSince = new HashMap<>();
  private final Map<String, Integer> startsOn = new HashMap<>();

  /** When a task of a job began or ended last, and since when one waits beside room for it. */
  private final Map<String, Long> movedAt = new HashMap<>();

  private final Map<String, Long> roomSince = new HashMap<>();

  /** After how long of calm its first task began. */
  private final Map<String, Long> begunAfter = new HashMap<>();

  /** For how long troubles have been on so far. */
  private long troubledMs;

  /** Commands to start a task of a job whose cancellation was confirmed before. */
  int orderedAfterCancel;

  /** How long after a confirmation the latest of these was sent; 0 where there was none. */
  long orderedLatestAfterCancelMs;

  int starts;
  int done;

  InvariantChecker(SimulatedTime time, SimulatedCluster cluster) {
    this.time = time;
    this.cluster = cluster;
  }

  /** Into the log, between what the controllers write there. */
  private void trace(String what) {
    LOG.debug("{} ms: {}", time.now(), what);
  }

  private void breaks(String rule, String what) {
    trace("BROKEN " + rule + " " + what);
    broken.add(rule + " at " + time.now() + " ms: " + what);
  }

  static String jobOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  static int indexOf(String task) {
    return Integer.parseInt(task.substring(task.lastIndexOf('/') + 1));
  }

  int startsOn(String machine) {
    return startsOn.getOrDefault(machine, 0);
  }

  /** How long ago a job was submitted, troubles aside. */
  private long calmSinceSubmission(SimulatedCluster.Job job) {
    return time.now() - job.submittedAt - (troubledMs - job.troubledBeforeMs);
  }

  long troubledMs() {
    return troubledMs;
  }

  /** Whether any task of a job was ever started. */
  boolean begun(String job) {
    return begun.contains(job);
  }

  void started(String task, SimulatedWorker machine) {
    starts++;
    begun.add(jobOf(task));
    begunAfter.putIfAbsent(jobOf(task), calmSinceSubmission(cluster.jobs.get(jobOf(task))));
    movedAt.put(jobOf(task), time.now());
    startsOn.merge(machine.id, 1, Integer::sum);
    trace(task + " starts on " + machine.id);
    SimulatedCluster.Job job = cluster.jobs.get(jobOf(task));
    Map<String, Set<String>> ofJob = on.computeIfAbsent(job.id, j -> new HashMap<>());
    Set<String> places = ofJob.computeIfAbsent(task, t -> new HashSet<>());
    if (!places.isEmpty()) {
      breaks("ran_twice", task + " starts on " + machine.id + " while on " + places);
    }
    if (places.add(machine.id)) {
      usedByTeam.merge(job.team, job.cpus, Double::sum);
    }
    if (job.type != null && !job.type.equals(machine.type)
        || job.zone != null && !job.zone.equals(machine.zone)
        || !job.spot && machine.spot) {
      breaks("wrong_place", task + " starts on " + machine.id);
    }
    Map<String, Integer> zones = new HashMap<>();
    ofJob
        .values()
        .forEach(at -> at.forEach(place -> zones.merge(cluster.zoneOf(place), 1, Integer::sum)));
    double used = used(job.team);
    if (used > cluster.limit(job.team) + 1e-6) {
      breaks("quota", job.team + " uses " + used);
    }
    if (job.oneZone && zones.size() > 1) {
      breaks("wrong_place", task + " is in a second zone: " + zones);
    }
    if (job.spread && zones.values().stream().anyMatch(n -> n > (job.tasks + 1) / 2)) {
      breaks("wrong_place", task + " is one too many in its zone: " + zones);
    }
    checkCancelled(task);
  }

  private void checkCancelled(String task) {
    Long told = toldCancelled.get(jobOf(task));
    if (told != null && time.now() - told > cluster.cancelMs) {
      breaks("ran_cancelled", task + " " + (time.now() - told) + " ms after");
    }
  }

  /**
   * A worker carries out a command to start a task. Where nothing keeps controllers from hearing of
   * it, none may still send such a command some time after a cancellation was confirmed. (A lost
   * answer of the state service does: a watch waits for it until its time is up.)
   */
  void ordered(String task, long sentAt) {
    Long told = toldCancelled.get(jobOf(task));
    if (told == null || sentAt <= told) {
      return;
    }
    orderedAfterCancel++;
    orderedLatestAfterCancelMs = Math.max(orderedLatestAfterCancelMs, sentAt - told);
    if (sentAt - told > HEARD_WITHIN_MS && told > cluster.calmSince() && cluster.net.lost == 0) {
      breaks("started_cancelled", task + " " + (sentAt - told) + " ms after");
    }
  }

  /** Several passes and watches. */
  private static final long HEARD_WITHIN_MS = 1000;

  void left(String task, String machine) {
    movedAt.put(jobOf(task), time.now());
    trace(task + " leaves " + machine);
    checkCancelled(task);
    SimulatedCluster.Job job = cluster.jobs.get(jobOf(task));
    Map<String, Set<String>> ofJob = on.getOrDefault(job.id, Map.of());
    Set<String> places = ofJob.getOrDefault(task, Set.of());
    if (!places.contains(machine)) {
      return;
    }
    places.remove(machine);
    usedByTeam.merge(job.team, -job.cpus, Double::sum);
    if (places.isEmpty()) {
      ofJob.remove(task);
    }
    if (ofJob.isEmpty()) {
      on.remove(job.id);
    }
  }

  /** Looks for tasks of cancelled jobs that never leave. */
  void sweep() {
    troubledMs += time.now() < cluster.calmSince() ? SimulatedCluster.SWEEP_MS : 0;
    on.values().forEach(ofJob -> ofJob.keySet().forEach(this::checkCancelled));
    Set<String> held = new HashSet<>();
    cluster.cloud.machines.values().forEach(machine -> machine.addTasksTo(held));
    long calm = cluster.calmSince();
    for (String id : accepted) {
      SimulatedCluster.Job job = cluster.jobs.get(id);
      if (job == null || job.hopeless || !waitsBesideRoom(job, held)) {
        roomSince.remove(id);
        continue;
      }
      long since = roomSince.computeIfAbsent(id, j -> time.now());
      since = Math.max(Math.max(since, calm), movedAt.getOrDefault(id, 0L));
      if (time.now() - since > WAITS_AT_MOST_MS) {
        breaks("waits", id + " for " + (time.now() - since) + " ms though there is room");
        roomSince.remove(id);
        movedAt.put(id, time.now());
      }
    }
  }

  private static final long WAITS_AT_MOST_MS = 90_000;

  /** Whether a task of the job is nowhere though a machine that fits has room for it. */
  private boolean waitsBesideRoom(SimulatedCluster.Job job, Set<String> held) {
    String ended = last.get(job.id);
    if (job.broken
        || "done".equals(ended)
        || "cancelled".equals(ended)
        || cluster.cancelledByUser.contains(job.id)) {
      return false;
    }
    boolean waits = false;
    Map<String, Integer> zones = new HashMap<>();
    Map<String, Set<String>> ofJob = on.getOrDefault(job.id, Map.of());
    for (int i = 0; i < job.tasks; i++) {
      String task = job.id + "/" + i;
      Set<String> places = ofJob.getOrDefault(task, Set.of());
      places.forEach(place -> zones.merge(cluster.zoneOf(place), 1, Integer::sum));
      waits |= places.isEmpty() && !cluster.results.contains(task) && !held.contains(task);
    }
    if (!waits || used(job.team) + job.cpus > cluster.limit(job.team) + 1e-6) {
      return false;
    }
    for (SimulatedWorker machine : cluster.cloud.machines.values()) {
      if (machine.hasRoom(job.cpus)
          && (job.type == null || job.type.equals(machine.type))
          && (job.zone == null || job.zone.equals(machine.zone))
          && (job.spot || !machine.spot)
          && (!job.oneZone || zones.isEmpty() || zones.containsKey(machine.zone))
          && (!job.spread || zones.getOrDefault(machine.zone, 0) < (job.tasks + 1) / 2)) {
        return true;
      }
    }
    return false;
  }

  private double used(String team) {
    return usedByTeam.getOrDefault(team, 0.0);
  }

  /**
   * The end of a day: of each team's jobs at least half are served, likewise of the largest (a
   * tenth of all, one at least), which also have to begin within four minutes, troubles aside: an
   * outage alone may take longer than that.
   */
  void dayEnds() {
    Map<String, List<SimulatedCluster.Job>> groups = new HashMap<>();
    List<SimulatedCluster.Job> all = new ArrayList<>();
    for (SimulatedCluster.Job job : cluster.jobs.values()) {
      if (!job.hopeless && !job.broken && !cluster.cancelledByUser.contains(job.id)) {
        all.add(job);
        groups.computeIfAbsent("team " + job.team, t -> new ArrayList<>()).add(job);
        groups.computeIfAbsent("class " + job.jobClass(), c -> new ArrayList<>()).add(job);
      }
    }
    all.sort((a, b) -> Integer.compare(b.tasks, a.tasks));
    List<SimulatedCluster.Job> largest = all.subList(0, Math.min(all.size(), all.size() / 10 + 1));
    groups.put("largest", largest);
    groups.forEach(
        (name, jobs) -> {
          long served = jobs.stream().filter(job -> "done".equals(last.get(job.id))).count();
          if (served * 2 < jobs.size()) {
            breaks("unserved", name + ": " + served + " of " + jobs.size());
          }
        });
    for (SimulatedCluster.Job job : largest) {
      long waited = begunAfter.getOrDefault(job.id, calmSinceSubmission(job));
      if (waited > LARGEST_BEGIN_WITHIN_MS) {
        breaks("unserved", job.id + " is of the largest and began after " + waited + " ms");
      }
    }
  }

  private static final long LARGEST_BEGIN_WITHIN_MS = 240_000;

  void accepted(String job) {
    accepted.add(job);
    if (cluster.jobs.containsKey(job) && cluster.jobs.get(job).hopeless) {
      breaks("accepted_hopeless", job);
    }
  }

  boolean isAccepted(String job) {
    return accepted.contains(job);
  }

  /** When a user was told that a job is cancelled; below 0 where nobody was. */
  long toldCancelledAt(String job) {
    return toldCancelled.getOrDefault(job, -1L);
  }

  /** How many tasks of a job are on machines. */
  int on(String job) {
    int count = 0;
    for (Set<String> places : on.getOrDefault(job, Map.of()).values()) {
      count += places.size();
    }
    return count;
  }

  /** What a user was told, in answer to a request of that time. */
  void told(String job, int status, String stage, long askedAt) {
    if (status == 404) {
      if (accepted.contains(job)) {
        breaks("forgotten", job);
      }
      return;
    }
    if (status != 200) {
      if (accepted.contains(job)) {
        long since =
            Math.max(failingSince.computeIfAbsent(job, j -> time.now()), cluster.calmSince());
        if (time.now() - since > 75_000) {
          breaks("forgotten", job + " cannot be asked about for " + (time.now() - since));
        }
      }
      return;
    }
    failingSince.remove(job);
    if (!cluster.jobs.containsKey(job)) {
      breaks("invented", job);
      return;
    }
    accepted.add(job);
    if (askedAt < finalAt.getOrDefault(job, Long.MAX_VALUE)
        && finalAt.containsKey(job)
        && !stage.equals(last.get(job))) {
      return; // asked before the user was told how the job ended
    }
    String before = last.get(job);
    if (("done".equals(before) || "cancelled".equals(before)) && !before.equals(stage)) {
      breaks("went_back", job + " was " + before + " and is " + stage);
    }
    if (stage.equals("cancelled")) {
      if (!cluster.cancelledByUser.contains(job)) {
        breaks("went_back", job + " is cancelled, but nobody asked for that");
      }
      toldCancelled.putIfAbsent(job, time.now());
    }
    if (stage.equals("done") && !"done".equals(before)) {
      done++;
      for (int i = 0; i < cluster.jobs.get(job).tasks; i++) {
        if (!cluster.results.contains(job + "/" + i)) {
          breaks("not_done", job + "/" + i);
        }
      }
    }
    last.put(job, stage);
    if (stage.equals("done") || stage.equals("cancelled")) {
      finalAt.putIfAbsent(job, time.now());
    }
  }

  String lastOf(String job) {
    return last.get(job);
  }
}
