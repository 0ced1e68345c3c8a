package org.fieldtrestle.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.SplittableRandom;
import org.fieldtrestle.protocol.Json;
import org.junit.jupiter.api.Test;

/** One bad thing at a time, and everything else goes on. */
class ContainmentTest {
  private final Scene scene = new Scene(new SplittableRandom(11), 12);

  private void assertQuiet() {
    assertTrue(scene.rules.broken.isEmpty(), scene.rules.broken.toString());
  }

  @Test
  void damagedAndForeignValuesStopNothingElse() {
    scene.world.runUntil(5000);
    JsonNode foreign = Json.object().put("hello", "world");
    for (String key :
        new String[] {
          "ft/live/job/job-77",
          "ft/live/range/job-78/0",
          "ft/live/machine/host-000900",
          "ft/live/roster/trestle-9/0",
          "ft/live/roster/trestle-0/7",
          "ft/live/quota/open",
          "ft/live/member/nobody",
          "ft/live/master/trestle-9",
          "ft/live/whatever"
        }) {
      scene.state.damage(key, foreign);
    }
    scene.state.damage("ft/live/job/job-79", Json.object().put("f", 9));
    scene.submit("job-1", job -> job.tasks = 8);
    scene.world.after(20_000, () -> scene.labels().forEach(label -> scene.kill(label, 3000)));
    scene.world.runUntil(120_000);
    assertQuiet();
    assertEquals("done", scene.rules.lastOf("job-1"));
  }

  @Test
  void aJobUnderADamagedRecordIsNeitherForgottenNorEnded() {
    scene.submit(
        "job-1",
        job -> {
          job.tasks = 4;
          job.runMs = 60_000;
        });
    scene.world.runUntil(40_000);
    assertTrue(scene.rules.starts > 0);
    scene.state.damage("ft/live/job/job-1", Json.object().put("f", 9));
    scene.world.runUntil(200_000);
    assertQuiet();
    assertNotEquals("done", scene.rules.lastOf("job-1"));
    assertNotEquals("cancelled", scene.rules.lastOf("job-1"));
  }

  @Test
  void aJobThatFailsEverywhereCondemnsNoMachine() {
    scene.submit(
        "job-1",
        job -> {
          job.tasks = 6;
          job.broken = true;
        });
    scene.submit(
        "job-2",
        job -> {
          job.tasks = 30;
          job.runMs = 8000;
        });
    scene.world.runUntil(250_000);
    assertQuiet();
    assertEquals("done", scene.rules.lastOf("job-2"));
    long failing = scene.rules.starts - 30;
    assertTrue(failing < 400, "retries pause longer and longer: " + failing);
  }

  @Test
  void aMachineThatFailsEveryTaskIsReplaced() {
    scene.world.runUntil(3000);
    scene.submit(
        "job-1",
        job -> {
          job.tasks = 40;
          job.runMs = 10_000;
        });
    scene.submit(
        "job-2",
        job -> {
          job.tasks = 40;
          job.runMs = 10_000;
        });
    scene.world.runUntil(25_000);
    String bad = scene.cloud.machines.firstKey();
    scene.cloud.machines.get(bad).failsTasks = true;
    scene.world.runUntil(300_000);
    assertQuiet();
    assertEquals("done", scene.rules.lastOf("job-1"));
    assertEquals("done", scene.rules.lastOf("job-2"));
    assertFalse(scene.cloud.machines.containsKey(bad), "the faulty machine was returned");
  }

  @Test
  void aMachineThatCrawlsIsReplaced() {
    for (int i = 0; i < 4; i++) {
      scene.submit(
          "job-" + i,
          job -> {
            job.tasks = 40;
            job.runMs = 10_000;
          });
    }
    scene.world.runUntil(22_000);
    String slow = scene.cloud.machines.firstKey();
    scene.cloud.machines.get(slow).slowness = 6;
    scene.world.runUntil(300_000);
    assertQuiet();
    for (int i = 0; i < 4; i++) {
      assertEquals("done", scene.rules.lastOf("job-" + i));
    }
    assertFalse(scene.cloud.machines.containsKey(slow), "the slow machine was returned");
    assertTrue(scene.rules.startsOn(slow) < 40, "and given little more");
  }

  @Test
  void aHundredThousandTasksFit() {
    scene.submit("job-1", job -> job.tasks = 100_000);
    scene.world.runUntil(30_000);
    assertQuiet();
    assertTrue(scene.rules.starts > 20, "starts " + scene.rules.starts);
    scene.cancel(scene.jobs.get("job-1"));
    scene.world.runUntil(120_000);
    assertQuiet();
    assertEquals("cancelled", scene.rules.lastOf("job-1"));
  }

  @Test
  void aControllerThatOnlyTheStateServiceRefusesDoesNoHarm() {
    for (int i = 0; i < 6; i++) {
      int number = i;
      scene.world.after(
          i * 8000L,
          () ->
              scene.submit(
                  "job-" + number,
                  job -> {
                    job.tasks = 10;
                    // Those that are cancelled run for longer than a cancellation has time.
                    job.runMs = number == 1 || number == 3 ? 120_000 : 20_000;
                  }));
    }
    scene.world.after(25_000, () -> scene.isolate("trestle-0", 70_000));
    scene.world.after(30_000, () -> scene.cancel(scene.jobs.get("job-1")));
    scene.world.after(40_000, () -> scene.cancel(scene.jobs.get("job-3")));
    scene.world.runUntil(400_000);
    assertQuiet();
    for (int i : new int[] {0, 2, 4, 5}) {
      assertEquals("done", scene.rules.lastOf("job-" + i));
    }
  }
}
