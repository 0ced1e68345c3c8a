package org.fieldtrestle.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** The judge of the histories itself: every rule's check can fail, and is silent otherwise. */
class RulesTest {
  private final Scene scene = new Scene(new SplittableRandom(3), 0);

  private Scene.Job job(String id, Consumer<Scene.Job> shape) {
    return scene.submit(
        id,
        job -> {
          job.tasks = 12;
          shape.accept(job);
        });
  }

  /** A job that nobody hands in, so that nothing but the test tells the rules of it. */
  private Scene.Job known(String id, Consumer<Scene.Job> shape) {
    return scene.define(
        id,
        job -> {
          job.tasks = 12;
          shape.accept(job);
        });
  }

  private WorkerStandIn machine(String id, String type, String zone, boolean spot) {
    WorkerStandIn machine =
        new WorkerStandIn(scene.world, scene, id, "10.1.0.9:1", type, zone, spot);
    scene.cloud.machines.put(id, machine);
    return machine;
  }

  private void only(String rule) {
    assertEquals(1, scene.rules.broken.size(), scene.rules.broken.toString());
    assertTrue(scene.rules.broken.get(0).startsWith(rule), scene.rules.broken.toString());
  }

  @Test
  void ranTwice() {
    job("job-1", j -> {});
    scene.rules.started("job-1/0", machine("host-1", "big", "a", false));
    scene.rules.left("job-1/0", "host-1");
    scene.rules.started("job-1/0", machine("host-2", "big", "a", false));
    assertEquals(0, scene.rules.broken.size(), "one after the other is fine");
    scene.rules.started("job-1/0", machine("host-3", "big", "a", false));
    only("ran_twice");
  }

  @Test
  void quota() {
    job("job-1", j -> j.team = "limited");
    for (int i = 0; i < 10; i++) {
      scene.rules.started("job-1/" + i, machine("host-" + i, "big", "a", false));
    }
    assertEquals(0, scene.rules.broken.size(), "40 CPUs are allowed");
    scene.rules.started("job-1/10", machine("host-10", "big", "a", false));
    only("quota");
  }

  @Test
  void wrongPlace() {
    job("job-1", j -> j.type = "odd");
    scene.rules.started("job-1/0", machine("host-1", "big", "a", true));
    only("wrong_place");
    scene.rules.broken.clear();
    job("job-2", j -> j.spot = false);
    scene.rules.started("job-2/0", machine("host-2", "big", "a", true));
    only("wrong_place");
    scene.rules.broken.clear();
    job("job-3", j -> j.zone = "b");
    scene.rules.started("job-3/0", machine("host-3", "big", "a", true));
    only("wrong_place");
    scene.rules.broken.clear();
    job("job-4", j -> j.oneZone = true);
    scene.rules.started("job-4/0", machine("host-4", "big", "a", true));
    scene.rules.started("job-4/1", machine("host-5", "big", "b", true));
    only("wrong_place");
    scene.rules.broken.clear();
    job("job-5", j -> j.spread = true);
    for (int i = 0; i < 6; i++) {
      scene.rules.started("job-5/" + i, machine("host-1" + i, "big", "a", true));
    }
    assertEquals(0, scene.rules.broken.size(), "half of twelve");
    scene.rules.started("job-5/6", machine("host-17", "big", "a", true));
    only("wrong_place");
  }

  @Test
  void ranCancelled() {
    Scene.Job job = job("job-1", j -> {});
    scene.cancelledByUser.add(job.id);
    scene.rules.started("job-1/0", machine("host-1", "big", "a", false));
    scene.rules.told("job-1", 200, "cancelled", 0);
    scene.world.runUntil(scene.cancelMs - 1000);
    assertTrue(scene.rules.broken.stream().noneMatch(b -> b.startsWith("ran_cancelled")));
    scene.world.runUntil(scene.cancelMs + 2000);
    assertTrue(scene.rules.broken.stream().anyMatch(b -> b.startsWith("ran_cancelled")));
  }

  @Test
  void forgottenAndInvented() {
    scene.rules.accepted("job-1");
    scene.rules.told("job-1", 404, "", 0);
    only("forgotten");
    scene.rules.broken.clear();
    scene.rules.told("job-7", 404, "", 0);
    assertEquals(0, scene.rules.broken.size(), "nobody submitted it");
    scene.rules.told("job-7", 200, "queued", 0);
    only("invented");
  }

  @Test
  void notDone() {
    job("job-1", j -> j.tasks = 1);
    scene.rules.told("job-1", 200, "done", 0);
    only("not_done");
  }

  @Test
  void wentBack() {
    job("job-1", j -> j.tasks = 1);
    scene.results.add("job-1/0");
    scene.rules.told("job-1", 200, "done", 0);
    scene.world.runUntil(10);
    scene.rules.told("job-1", 200, "running", 5);
    only("went_back");
    scene.rules.broken.clear();
    job("job-2", j -> {});
    scene.rules.told("job-2", 200, "cancelled", 0);
    only("went_back");
  }

  @Test
  void aCancelledTaskThatGoesOnAfterAHang() {
    Scene.Job job = known("job-1", j -> {});
    scene.cancelledByUser.add(job.id);
    WorkerStandIn machine = machine("host-1", "big", "a", false);
    machine.hang(scene.cancelMs + 5000);
    scene.rules.started("job-1/0", machine);
    scene.rules.told("job-1", 200, "cancelled", 0);
    scene.rules.left("job-1/0", "host-1");
    scene.world.runUntil(scene.cancelMs + 6000);
    assertEquals(List.of(), scene.rules.broken, "gone in time");
    scene.rules.started("job-1/0", machine);
    assertTrue(scene.rules.broken.stream().anyMatch(b -> b.startsWith("ran_cancelled")));
  }

  @Test
  void startedCancelled() {
    Scene.Job job = known("job-1", j -> {});
    scene.cancelledByUser.add(job.id);
    scene.world.runUntil(1000);
    scene.rules.told("job-1", 200, "cancelled", 0);
    scene.rules.ordered("job-1/0", 1001);
    assertEquals(0, scene.rules.broken.size(), "it may have been on its way");
    assertEquals(1, scene.rules.orderedAfterCancel);
    scene.world.runUntil(4000);
    scene.rules.ordered("job-1/1", 4000);
    only("started_cancelled");
    scene.rules.broken.clear();
    scene.trouble(60_000);
    scene.rules.ordered("job-1/2", 4000);
    assertEquals(0, scene.rules.broken.size(), "not every controller can have heard of it");
  }

  @Test
  void acceptedThoughItCannotRun() {
    scene.submitHopeless("job-1", new byte[0], 400);
    scene.rules.accepted("job-1");
    only("accepted_hopeless");
  }

  @Test
  void forgottenWhereNoQuestionIsAnswered() {
    known("job-1", j -> {});
    scene.rules.accepted("job-1");
    scene.trouble(20_000);
    scene.rules.told("job-1", 503, "", 0);
    scene.world.runUntil(94_000);
    scene.rules.told("job-1", 503, "", 0);
    assertEquals(0, scene.rules.broken.size(), "not 75 s after the troubles yet");
    scene.world.runUntil(96_000);
    scene.rules.told("job-1", 0, "", 0);
    only("forgotten");
  }

  @Test
  void waitsBesideRoom() {
    Scene.Job job =
        known(
            "job-1",
            j -> {
              j.tasks = 2;
              j.cpus = 16;
              j.zone = "b";
            });
    scene.rules.accepted(job.id);
    scene.labels().forEach(label -> scene.kill(label, 1_000_000)); // nobody takes it up
    machine("host-1", "big", "a", false).boot();
    scene.world.runUntil(100_000);
    assertEquals(0, scene.rules.broken.size(), "no machine of its zone");
    machine("host-2", "big", "b", false).boot();
    scene.rules.started("job-1/0", machine("host-3", "big", "b", false));
    scene.world.runUntil(185_000);
    assertEquals(0, scene.rules.broken.size(), "not for 90 s yet");
    scene.world.runUntil(195_000);
    assertTrue(scene.rules.broken.stream().anyMatch(b -> b.startsWith("waits")));
    scene.rules.broken.clear();
    scene.jobs.get("job-1").team = "limited";
    scene.jobs.get("job-1").cpus = 30;
    scene.world.runUntil(300_000);
    assertEquals(List.of(), scene.rules.broken, "its team is at its limit");
  }

  @Test
  void halfIsServedAndTheLargestBegins() {
    for (int i = 0; i < 4; i++) {
      int tasks = i + 1;
      known("job-" + i, j -> j.tasks = tasks);
    }
    scene.rules.started("job-3/0", machine("host-1", "big", "a", false));
    scene.rules.told("job-0", 200, "running", 0);
    scene.rules.dayEnds();
    assertTrue(scene.rules.broken.stream().anyMatch(b -> b.contains("team open: 0 of 4")));
    assertTrue(scene.rules.broken.stream().anyMatch(b -> b.contains("class batch: 0 of 4")));
    assertTrue(scene.rules.broken.stream().anyMatch(b -> b.contains("largest: 0 of 1")));
    scene.rules.broken.clear();
    for (int i = 1; i < 4; i++) {
      for (int task = 0; task <= i; task++) {
        scene.results.add("job-" + i + "/" + task);
      }
      scene.rules.told("job-" + i, 200, "done", 0);
    }
    scene.rules.dayEnds();
    assertEquals(List.of(), scene.rules.broken, "three of four, with the largest");
    known("job-9", j -> j.tasks = 12);
    scene.world.runUntil(250_000);
    scene.rules.broken.clear();
    scene.rules.dayEnds();
    assertTrue(
        scene.rules.broken.stream()
            .anyMatch(b -> b.contains("job-9 is of the largest and began after 250000 ms")));
  }
}
