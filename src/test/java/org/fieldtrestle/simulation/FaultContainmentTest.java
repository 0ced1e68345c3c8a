package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.SplittableRandom;
import org.fieldtrestle.protocol.Json;
import org.junit.jupiter.api.Test;

/** One bad thing at a time, and everything else goes on. */
class FaultContainmentTest {
  private final SimulatedCluster cluster = new SimulatedCluster(new SplittableRandom(11), 12);

  private void assertQuiet() {
    assertTrue(cluster.rules.broken.isEmpty(), cluster.rules.broken.toString());
  }

  @Test
  void damagedAndForeignValuesStopNothingElse() {
    cluster.time.runUntil(5000);
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
      cluster.state.damage(key, foreign);
    }
    cluster.state.damage("ft/live/job/job-79", Json.object().put("f", 9));
    cluster.submit("job-1", job -> job.tasks = 8);
    cluster.time.after(20_000, () -> cluster.labels().forEach(label -> cluster.kill(label, 3000)));
    cluster.time.runUntil(120_000);
    assertQuiet();
    assertEquals("done", cluster.rules.lastOf("job-1"));
  }

  @Test
  void aJobUnderADamagedRecordIsNeitherForgottenNorEnded() {
    cluster.submit(
        "job-1",
        job -> {
          job.tasks = 4;
          job.runMs = 60_000;
        });
    cluster.time.runUntil(40_000);
    assertTrue(cluster.rules.starts > 0);
    cluster.state.damage("ft/live/job/job-1", Json.object().put("f", 9));
    cluster.time.runUntil(200_000);
    assertQuiet();
    assertNotEquals("done", cluster.rules.lastOf("job-1"));
    assertNotEquals("cancelled", cluster.rules.lastOf("job-1"));
  }

  @Test
  void aJobThatFailsEverywhereCondemnsNoMachine() {
    cluster.submit(
        "job-1",
        job -> {
          job.tasks = 6;
          job.broken = true;
        });
    cluster.submit(
        "job-2",
        job -> {
          job.tasks = 30;
          job.runMs = 8000;
        });
    cluster.time.runUntil(250_000);
    assertQuiet();
    assertEquals("done", cluster.rules.lastOf("job-2"));
    long failing = cluster.rules.starts - 30;
    assertTrue(failing < 400, "retries pause longer and longer: " + failing);
  }

  @Test
  void aMachineThatFailsEveryTaskIsReplaced() {
    cluster.time.runUntil(3000);
    cluster.submit(
        "job-1",
        job -> {
          job.tasks = 40;
          job.runMs = 10_000;
        });
    cluster.submit(
        "job-2",
        job -> {
          job.tasks = 40;
          job.runMs = 10_000;
        });
    cluster.time.runUntil(25_000);
    String bad = cluster.cloud.machines.firstKey();
    cluster.cloud.machines.get(bad).failsTasks = true;
    cluster.time.runUntil(300_000);
    assertQuiet();
    assertEquals("done", cluster.rules.lastOf("job-1"));
    assertEquals("done", cluster.rules.lastOf("job-2"));
    assertFalse(cluster.cloud.machines.containsKey(bad), "the faulty machine was returned");
  }

  @Test
  void aMachineThatCrawlsIsReplaced() {
    for (int i = 0; i < 4; i++) {
      cluster.submit(
          "job-" + i,
          job -> {
            job.tasks = 40;
            job.runMs = 10_000;
          });
    }
    cluster.time.runUntil(22_000);
    String slow = cluster.cloud.machines.firstKey();
    cluster.cloud.machines.get(slow).slowness = 6;
    cluster.time.runUntil(300_000);
    assertQuiet();
    for (int i = 0; i < 4; i++) {
      assertEquals("done", cluster.rules.lastOf("job-" + i));
    }
    assertFalse(cluster.cloud.machines.containsKey(slow), "the slow machine was returned");
    assertTrue(cluster.rules.startsOn(slow) < 40, "and given little more");
  }

  @Test
  void aHundredThousandTasksFit() {
    cluster.submit("job-1", job -> job.tasks = 100_000);
    cluster.time.runUntil(30_000);
    assertQuiet();
    assertTrue(cluster.rules.starts > 20, "starts " + cluster.rules.starts);
    cluster.cancel(cluster.jobs.get("job-1"));
    cluster.time.runUntil(120_000);
    assertQuiet();
    assertEquals("cancelled", cluster.rules.lastOf("job-1"));
  }

  @Test
  void aControllerThatOnlyTheStateServiceRefusesDoesNoHarm() {
    for (int i = 0; i < 6; i++) {
      int number = i;
      cluster.time.after(
          i * 8000L,
          () ->
              cluster.submit(
                  "job-" + number,
                  job -> {
                    job.tasks = 10;
                    // Those that are cancelled run for longer than a cancellation has time.
                    job.runMs = number == 1 || number == 3 ? 120_000 : 20_000;
                  }));
    }
    cluster.time.after(25_000, () -> cluster.isolate("trestle-0", 70_000));
    cluster.time.after(30_000, () -> cluster.cancel(cluster.jobs.get("job-1")));
    cluster.time.after(40_000, () -> cluster.cancel(cluster.jobs.get("job-3")));
    cluster.time.runUntil(400_000);
    assertQuiet();
    for (int i : new int[] {0, 2, 4, 5}) {
      assertEquals("done", cluster.rules.lastOf("job-" + i));
    }
  }
}
