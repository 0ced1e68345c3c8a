package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** The checker itself: every rule's check can fail, and is silent otherwise. */
class InvariantCheckerTest {
  private final SimulatedCluster cluster = new SimulatedCluster(new SplittableRandom(3), 0);

  private SimulatedCluster.Job job(String id, Consumer<SimulatedCluster.Job> shape) {
    return cluster.submit(
        id,
        job -> {
          job.tasks = 12;
          shape.accept(job);
        });
  }

  /** A job that nobody hands in, so that nothing but the test tells the rules of it. */
  private SimulatedCluster.Job known(String id, Consumer<SimulatedCluster.Job> shape) {
    return cluster.define(
        id,
        job -> {
          job.tasks = 12;
          shape.accept(job);
        });
  }

  private SimulatedWorker machine(String id, String type, String zone, boolean spot) {
    SimulatedWorker machine =
        new SimulatedWorker(cluster.time, cluster, id, "10.1.0.9:1", type, zone, spot);
    cluster.cloud.machines.put(id, machine);
    return machine;
  }

  private void only(String rule) {
    assertEquals(1, cluster.rules.broken.size(), cluster.rules.broken.toString());
    assertTrue(cluster.rules.broken.get(0).startsWith(rule), cluster.rules.broken.toString());
  }

  @Test
  void ranTwice() {
    job("job-1", j -> {});
    cluster.rules.started("job-1/0", machine("host-1", "big", "a", false));
    cluster.rules.left("job-1/0", "host-1");
    cluster.rules.started("job-1/0", machine("host-2", "big", "a", false));
    assertEquals(0, cluster.rules.broken.size(), "one after the other is fine");
    cluster.rules.started("job-1/0", machine("host-3", "big", "a", false));
    only("ran_twice");
  }

  @Test
  void quota() {
    job("job-1", j -> j.team = "limited");
    for (int i = 0; i < 10; i++) {
      cluster.rules.started("job-1/" + i, machine("host-" + i, "big", "a", false));
    }
    assertEquals(0, cluster.rules.broken.size(), "40 CPUs are allowed");
    cluster.rules.started("job-1/10", machine("host-10", "big", "a", false));
    only("quota");
  }

  @Test
  void wrongPlace() {
    job("job-1", j -> j.type = "odd");
    cluster.rules.started("job-1/0", machine("host-1", "big", "a", true));
    only("wrong_place");
    cluster.rules.broken.clear();
    job("job-2", j -> j.spot = false);
    cluster.rules.started("job-2/0", machine("host-2", "big", "a", true));
    only("wrong_place");
    cluster.rules.broken.clear();
    job("job-3", j -> j.zone = "b");
    cluster.rules.started("job-3/0", machine("host-3", "big", "a", true));
    only("wrong_place");
    cluster.rules.broken.clear();
    job("job-4", j -> j.oneZone = true);
    cluster.rules.started("job-4/0", machine("host-4", "big", "a", true));
    cluster.rules.started("job-4/1", machine("host-5", "big", "b", true));
    only("wrong_place");
    cluster.rules.broken.clear();
    job("job-5", j -> j.spread = true);
    for (int i = 0; i < 6; i++) {
      cluster.rules.started("job-5/" + i, machine("host-1" + i, "big", "a", true));
    }
    assertEquals(0, cluster.rules.broken.size(), "half of twelve");
    cluster.rules.started("job-5/6", machine("host-17", "big", "a", true));
    only("wrong_place");
  }

  @Test
  void ranCancelled() {
    SimulatedCluster.Job job = job("job-1", j -> {});
    cluster.cancelledByUser.add(job.id);
    cluster.rules.started("job-1/0", machine("host-1", "big", "a", false));
    cluster.rules.told("job-1", 200, "cancelled", 0);
    cluster.time.runUntil(cluster.cancelMs - 1000);
    assertTrue(cluster.rules.broken.stream().noneMatch(b -> b.startsWith("ran_cancelled")));
    cluster.time.runUntil(cluster.cancelMs + 2000);
    assertTrue(cluster.rules.broken.stream().anyMatch(b -> b.startsWith("ran_cancelled")));
  }

  @Test
  void forgottenAndInvented() {
    cluster.rules.accepted("job-1");
    cluster.rules.told("job-1", 404, "", 0);
    only("forgotten");
    cluster.rules.broken.clear();
    cluster.rules.told("job-7", 404, "", 0);
    assertEquals(0, cluster.rules.broken.size(), "nobody submitted it");
    cluster.rules.told("job-7", 200, "queued", 0);
    only("invented");
  }

  @Test
  void notDone() {
    job("job-1", j -> j.tasks = 1);
    cluster.rules.told("job-1", 200, "done", 0);
    only("not_done");
  }

  @Test
  void wentBack() {
    job("job-1", j -> j.tasks = 1);
    cluster.results.add("job-1/0");
    cluster.rules.told("job-1", 200, "done", 0);
    cluster.time.runUntil(10);
    cluster.rules.told("job-1", 200, "running", 5);
    only("went_back");
    cluster.rules.broken.clear();
    job("job-2", j -> {});
    cluster.rules.told("job-2", 200, "cancelled", 0);
    only("went_back");
  }

  @Test
  void aCancelledTaskThatGoesOnAfterAHang() {
    SimulatedCluster.Job job = known("job-1", j -> {});
    cluster.cancelledByUser.add(job.id);
    SimulatedWorker machine = machine("host-1", "big", "a", false);
    machine.hang(cluster.cancelMs + 5000);
    cluster.rules.started("job-1/0", machine);
    cluster.rules.told("job-1", 200, "cancelled", 0);
    cluster.rules.left("job-1/0", "host-1");
    cluster.time.runUntil(cluster.cancelMs + 6000);
    assertEquals(List.of(), cluster.rules.broken, "gone in time");
    cluster.rules.started("job-1/0", machine);
    assertTrue(cluster.rules.broken.stream().anyMatch(b -> b.startsWith("ran_cancelled")));
  }

  @Test
  void startedCancelled() {
    SimulatedCluster.Job job = known("job-1", j -> {});
    cluster.cancelledByUser.add(job.id);
    cluster.time.runUntil(1000);
    cluster.rules.told("job-1", 200, "cancelled", 0);
    cluster.rules.ordered("job-1/0", 1001);
    assertEquals(0, cluster.rules.broken.size(), "it may have been on its way");
    assertEquals(1, cluster.rules.orderedAfterCancel);
    cluster.time.runUntil(4000);
    cluster.rules.ordered("job-1/1", 4000);
    only("started_cancelled");
    cluster.rules.broken.clear();
    cluster.trouble(60_000);
    cluster.rules.ordered("job-1/2", 4000);
    assertEquals(0, cluster.rules.broken.size(), "not every controller can have heard of it");
  }

  @Test
  void acceptedThoughItCannotRun() {
    cluster.submitHopeless("job-1", new byte[0], 400);
    cluster.rules.accepted("job-1");
    only("accepted_hopeless");
  }

  @Test
  void forgottenWhereNoQuestionIsAnswered() {
    known("job-1", j -> {});
    cluster.rules.accepted("job-1");
    cluster.trouble(20_000);
    cluster.rules.told("job-1", 503, "", 0);
    cluster.time.runUntil(94_000);
    cluster.rules.told("job-1", 503, "", 0);
    assertEquals(0, cluster.rules.broken.size(), "not 75 s after the troubles yet");
    cluster.time.runUntil(96_000);
    cluster.rules.told("job-1", 0, "", 0);
    only("forgotten");
  }

  @Test
  void waitsBesideRoom() {
    SimulatedCluster.Job job =
        known(
            "job-1",
            j -> {
              j.tasks = 2;
              j.cpus = 16;
              j.zone = "b";
            });
    cluster.rules.accepted(job.id);
    cluster.labels().forEach(label -> cluster.kill(label, 1_000_000)); // nobody takes it up
    machine("host-1", "big", "a", false).boot();
    cluster.time.runUntil(100_000);
    assertEquals(0, cluster.rules.broken.size(), "no machine of its zone");
    machine("host-2", "big", "b", false).boot();
    cluster.rules.started("job-1/0", machine("host-3", "big", "b", false));
    cluster.time.runUntil(185_000);
    assertEquals(0, cluster.rules.broken.size(), "not for 90 s yet");
    cluster.time.runUntil(195_000);
    assertTrue(cluster.rules.broken.stream().anyMatch(b -> b.startsWith("waits")));
    cluster.rules.broken.clear();
    cluster.jobs.get("job-1").team = "limited";
    cluster.jobs.get("job-1").cpus = 30;
    cluster.time.runUntil(300_000);
    assertEquals(List.of(), cluster.rules.broken, "its team is at its limit");
  }

  @Test
  void halfIsServedAndTheLargestBegins() {
    for (int i = 0; i < 4; i++) {
      int tasks = i + 1;
      known("job-" + i, j -> j.tasks = tasks);
    }
    cluster.rules.started("job-3/0", machine("host-1", "big", "a", false));
    cluster.rules.told("job-0", 200, "running", 0);
    cluster.rules.dayEnds();
    assertTrue(cluster.rules.broken.stream().anyMatch(b -> b.contains("team open: 0 of 4")));
    assertTrue(cluster.rules.broken.stream().anyMatch(b -> b.contains("class batch: 0 of 4")));
    assertTrue(cluster.rules.broken.stream().anyMatch(b -> b.contains("largest: 0 of 1")));
    cluster.rules.broken.clear();
    for (int i = 1; i < 4; i++) {
      for (int task = 0; task <= i; task++) {
        cluster.results.add("job-" + i + "/" + task);
      }
      cluster.rules.told("job-" + i, 200, "done", 0);
    }
    cluster.rules.dayEnds();
    assertEquals(List.of(), cluster.rules.broken, "three of four, with the largest");
    known("job-9", j -> j.tasks = 12);
    cluster.time.runUntil(250_000);
    cluster.rules.broken.clear();
    cluster.rules.dayEnds();
    assertTrue(
        cluster.rules.broken.stream()
            .anyMatch(b -> b.contains("job-9 is of the largest and began after 250000 ms")));
  }
}
