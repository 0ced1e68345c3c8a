package org.fieldtrestle.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
}
