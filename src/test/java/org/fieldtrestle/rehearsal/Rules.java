package org.fieldtrestle.rehearsal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Judges a history by the rules of the protocol. */
final class Rules {
  private static final Logger LOG = LoggerFactory.getLogger(Rules.class);
  private final World world;
  private final Scene scene;
  final List<String> broken = new ArrayList<>();
  private final Map<String, Set<String>> on = new HashMap<>();
  private final Map<String, String> last = new HashMap<>();
  private final Map<String, Long> finalAt = new HashMap<>();
  private final Map<String, Long> toldCancelled = new HashMap<>();
  private final Set<String> accepted = new HashSet<>();
  private final Set<String> begun = new HashSet<>();
  private final Map<String, Long> failingSince = new HashMap<>();
  private final Map<String, Integer> startsOn = new HashMap<>();
  int starts;
  int done;

  Rules(World world, Scene scene) {
    this.world = world;
    this.scene = scene;
  }

  /** Into the log, between what the controllers write there. */
  private void trace(String what) {
    LOG.debug("{} ms: {}", world.now(), what);
  }

  private void breaks(String rule, String what) {
    trace("BROKEN " + rule + " " + what);
    broken.add(rule + " at " + world.now() + " ms: " + what);
  }

  private static String jobOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  int startsOn(String machine) {
    return startsOn.getOrDefault(machine, 0);
  }

  /** Whether any task of a job was ever started. */
  boolean begun(String job) {
    return begun.contains(job);
  }

  void started(String task, WorkerStandIn machine) {
    starts++;
    begun.add(jobOf(task));
    startsOn.merge(machine.id, 1, Integer::sum);
    trace(task + " starts on " + machine.id);
    Set<String> places = on.computeIfAbsent(task, t -> new HashSet<>());
    if (!places.isEmpty()) {
      breaks("ran_twice", task + " starts on " + machine.id + " while on " + places);
    }
    places.add(machine.id);
    Scene.Job job = scene.jobs.get(jobOf(task));
    if (job.type != null && !job.type.equals(machine.type)
        || job.zone != null && !job.zone.equals(machine.zone)
        || !job.spot && machine.spot) {
      breaks("wrong_place", task + " starts on " + machine.id);
    }
    Map<String, Integer> zones = new HashMap<>();
    double used = 0;
    for (Map.Entry<String, Set<String>> one : on.entrySet()) {
      Scene.Job other = scene.jobs.get(jobOf(one.getKey()));
      for (String place : one.getValue()) {
        if (other.team.equals(job.team)) {
          used += other.cpus;
        }
        if (other == job) {
          zones.merge(scene.zoneOf(place), 1, Integer::sum);
        }
      }
    }
    if (used > scene.limit(job.team) + 1e-6) {
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
    if (told != null && world.now() - told > scene.cancelMs) {
      breaks("ran_cancelled", task + " " + (world.now() - told) + " ms after");
    }
  }

  void left(String task, String machine) {
    trace(task + " leaves " + machine);
    checkCancelled(task);
    on.getOrDefault(task, new HashSet<>()).remove(machine);
  }

  /** Looks for tasks of cancelled jobs that never leave. */
  void sweep() {
    on.forEach(
        (task, places) -> {
          if (!places.isEmpty()) {
            checkCancelled(task);
          }
        });
  }

  void accepted(String job) {
    accepted.add(job);
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
            Math.max(failingSince.computeIfAbsent(job, j -> world.now()), scene.calmSince());
        if (world.now() - since > 75_000) {
          breaks("forgotten", job + " cannot be asked about for " + (world.now() - since));
        }
      }
      return;
    }
    failingSince.remove(job);
    if (!scene.jobs.containsKey(job)) {
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
      if (!scene.cancelledByUser.contains(job)) {
        breaks("went_back", job + " is cancelled, but nobody asked for that");
      }
      toldCancelled.putIfAbsent(job, world.now());
    }
    if (stage.equals("done") && !"done".equals(before)) {
      done++;
      for (int i = 0; i < scene.jobs.get(job).tasks; i++) {
        if (!scene.results.contains(job + "/" + i)) {
          breaks("not_done", job + "/" + i);
        }
      }
    }
    last.put(job, stage);
    if (stage.equals("done") || stage.equals("cancelled")) {
      finalAt.putIfAbsent(job, world.now());
    }
  }

  String lastOf(String job) {
    return last.get(job);
  }
}
