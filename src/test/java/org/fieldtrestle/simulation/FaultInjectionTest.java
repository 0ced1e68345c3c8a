package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/** The troubles that look like something else, each alone; the histories mix them. */
class FaultInjectionTest {
  private SimulatedCluster cluster(int capacity) {
    return new SimulatedCluster(new SplittableRandom(23), capacity);
  }

  private static void assertQuiet(SimulatedCluster cluster) {
    assertEquals(List.of(), cluster.rules.broken);
  }

  private static void submit(SimulatedCluster cluster, String id, int tasks, long runMs) {
    cluster.submit(
        id,
        job -> {
          job.tasks = tasks;
          job.runMs = runMs;
        });
  }

  private static void assertDone(SimulatedCluster cluster, String... ids) {
    for (String id : ids) {
      assertEquals("done", cluster.rules.lastOf(id), id);
    }
  }

  @Test
  void aMachineThatHearsNothingIsReturned() {
    // Reports so far apart that going from node to node in vain does not yet count as silence.
    SimulatedCluster cluster =
        new SimulatedCluster(new SplittableRandom(23), 12, 6000, 34_000, 64_000);
    submit(cluster, "job-1", 600, 20_000);
    cluster.time.runUntil(60_000);
    String deaf = cluster.cloud.machines.firstKey();
    cluster.cloud.machines.get(deaf).deafen(600_000);
    cluster.time.runUntil(165_000);
    assertFalse(cluster.cloud.machines.containsKey(deaf), "its reports prove nothing");
    cluster.time.runUntil(400_000);
    assertQuiet(cluster);
    assertDone(cluster, "job-1");
  }

  @Test
  void aCancellationReachesAlsoWhatADeafMachineRuns() {
    SimulatedCluster cluster = cluster(12);
    submit(cluster, "job-1", 8, 300_000);
    cluster.time.runUntil(30_000);
    assertTrue(cluster.rules.starts > 0);
    cluster.cloud.machines.values().forEach(machine -> machine.deafen(120_000));
    cluster.cancel(cluster.jobs.get("job-1"));
    cluster.time.runUntil(200_000);
    assertQuiet(cluster);
    assertEquals("cancelled", cluster.rules.lastOf("job-1"));
  }

  @Test
  void copiesOfReportsKeepNoDeadMachineAlive() {
    SimulatedCluster cluster = cluster(12);
    submit(cluster, "job-1", 48, 25_000);
    cluster.time.runUntil(25_000);
    cluster.net.copies = 1;
    cluster.net.copiesEach = 30;
    cluster.time.runUntil(30_000);
    // Its last reports come again and again, well beyond its lease, while it says nothing itself.
    String hanging = cluster.cloud.machines.firstKey();
    cluster.cloud.machines.get(hanging).hang(600_000);
    // Its return is not to be had either: only its lease tells when its tasks are gone.
    cluster.labels().forEach(label -> cluster.lose(label, 600_000, "cloud"));
    cluster.time.runUntil(100_000);
    assertQuiet(cluster);
    assertDone(cluster, "job-1");
  }

  @Test
  void copiesOfReportsBringNoReturnedMachineBack() {
    SimulatedCluster cluster = cluster(12);
    cluster.net.copies = 0.5;
    cluster.net.copiesEach = 10;
    submit(cluster, "job-1", 16, 4000);
    // Controllers that have forgotten which machines were returned.
    cluster.time.after(70_000, () -> cluster.labels().forEach(label -> cluster.kill(label, 200)));
    Map<String, Integer> ghosts = new HashMap<>();
    for (long at = 76_000; at < 130_000; at += 1000) {
      cluster.time.runUntil(at);
      Set<String> counted = new HashSet<>(cluster.state.inventories());
      counted.removeAll(cluster.cloud.machines.keySet());
      ghosts.keySet().retainAll(counted);
      for (String gone : counted) { // a return may be known a moment before it is written
        assertTrue(ghosts.merge(gone, 1, Integer::sum) < 6, gone + " is back at " + at);
      }
    }
    assertQuiet(cluster);
    assertDone(cluster, "job-1");
  }

  @Test
  void aControllerLeftWithItsWorkersAloneStopsInTimeAndComesBack() {
    SimulatedCluster cluster = cluster(12);
    for (int i = 0; i < 4; i++) {
      submit(cluster, "job-" + i, 8, i == 1 ? 200_000 : 15_000);
    }
    cluster.time.runUntil(25_000);
    cluster.lose("trestle-0", 80_000, "state", "peers");
    cluster.trouble(80_000);
    cluster.time.after(3000, () -> cluster.cancel(cluster.jobs.get("job-1")));
    cluster.time.runUntil(60_000);
    submit(cluster, "job-9", 10, 10_000);
    cluster.time.runUntil(250_000);
    assertQuiet(cluster);
    assertEquals("cancelled", cluster.rules.lastOf("job-1"));
    assertDone(cluster, "job-0", "job-2", "job-3", "job-9");
  }

  @Test
  void aNodeThatOnlyTheStateServiceRefusesIsNotReadyMeanwhile() {
    SimulatedCluster cluster = cluster(12);
    cluster.time.runUntil(10_000);
    cluster.isolate("trestle-1", 60_000);
    cluster.time.runUntil(16_000);
    assertFalse(cluster.ready("trestle-1"), "users are better off elsewhere");
    assertTrue(cluster.ready("trestle-0") && cluster.ready("trestle-2"));
    cluster.time.runUntil(76_000);
    assertTrue(cluster.ready("trestle-1"), "and it is back by itself");
    cluster.state.outage(20_000);
    cluster.time.runUntil(90_000);
    for (String label : cluster.labels()) {
      assertTrue(cluster.ready(label), "leaving helps nobody where nobody is served: " + label);
    }
  }

  @Test
  void everyJobCanBeAskedAboutAfterAnOutageThatOutlastsWatches() {
    SimulatedCluster cluster = cluster(12);
    submit(cluster, "job-1", 8, 120_000);
    submit(cluster, "job-2", 4, 2000);
    cluster.time.runUntil(30_000);
    cluster.state.outage(40_000);
    // The last one hears nothing for a while more, and what it has missed is forgotten meanwhile.
    cluster.time.after(40_000, () -> cluster.lose("trestle-2", 25_000, "state"));
    cluster.time.after(50_000, () -> submit(cluster, "job-3", 2, 2000));
    cluster.time.after(64_000, cluster.state::compact);
    cluster.trouble(65_000);
    // One goes on, and has to find out that its watch is too old.
    for (String label : cluster.labels().subList(0, 2)) {
      cluster.time.after(10_000, () -> cluster.kill(label, 300));
    }
    cluster.time.runUntil(110_000);
    for (String label : cluster.labels()) {
      assertEquals(200, cluster.ask(label, "job-1"), label);
    }
    cluster.time.runUntil(300_000);
    assertQuiet(cluster);
    assertDone(cluster, "job-1", "job-2");
  }

  @Test
  void whoTakesOverMayBeBackWithinAFractionOfASecond() {
    SimulatedCluster cluster = cluster(12);
    for (int i = 0; i < 5; i++) {
      submit(cluster, "job-" + i, 10, 20_000);
    }
    cluster.time.runUntil(25_000);
    cluster.trouble(60_000);
    cluster.kill("trestle-0", 55_000);
    for (long at = 24_000; at < 34_000; at += 700) {
      cluster.time.after(at, () -> cluster.kill("trestle-1", 80));
      cluster.time.after(at + 300, () -> cluster.kill("trestle-2", 250));
    }
    cluster.time.runUntil(300_000);
    assertQuiet(cluster);
    assertDone(cluster, "job-0", "job-1", "job-2", "job-3", "job-4");
  }

  @Test
  void theLargestBeginsWithinFourMinutesUnderABurstOfTheUrgent() {
    SimulatedCluster cluster = cluster(4);
    submit(cluster, "job-0", 10, 2500);
    cluster.time.runUntil(40_000);
    // More urgent work than the whole fleet gets through, for longer than four minutes.
    for (int i = 1; i < 160; i++) {
      int number = i;
      cluster.time.after(
          i * 2000L,
          () ->
              cluster.submit(
                  "job-" + number,
                  job -> {
                    job.tasks = 24;
                    job.cpus = 4;
                    job.runMs = 2900;
                  }));
    }
    cluster.time.after(20_000, () -> submit(cluster, "job-900", 60, 20_000));
    cluster.time.runUntil(60_000 + 240_000);
    assertQuiet(cluster);
    assertTrue(cluster.rules.begun("job-900"), "a burst does not keep it from beginning");
  }

  @Test
  void aJobThatWaitedTooLongEvictsNobodyOfItsOwnPriority() {
    SimulatedCluster cluster = cluster(4);
    submit(cluster, "job-1", 16, 300_000);
    cluster.time.runUntil(25_000);
    assertEquals(16, cluster.rules.starts, "the fleet is full");
    submit(cluster, "job-2", 90, 10_000); // so that the first outscores enough of what waits
    cluster.time.runUntil(150_000);
    assertQuiet(cluster);
    assertEquals(16, cluster.rules.starts, "nobody was stopped and started again");
    assertFalse(cluster.rules.begun("job-2"), "it waits for room");
  }

  @Test
  void aRestartMakesNoMachineACrawler() {
    SimulatedCluster cluster = cluster(12);
    for (int i = 0; i < 3; i++) {
      submit(cluster, "job-" + i, 60, 40_000);
    }
    cluster.time.runUntil(45_000);
    int before = cluster.cloud.rentedEver();
    cluster.labels().forEach(label -> cluster.kill(label, 500));
    // Found tasks end soon after; what is placed next takes its whole time.
    cluster.time.runUntil(100_000);
    assertQuiet(cluster);
    assertEquals(before, cluster.cloud.rentedEver(), "no machine had to be replaced");
  }

  /** A steady fleet, all of whose machines have work for longer than the test looks. */
  private SimulatedCluster busy() {
    SimulatedCluster cluster = cluster(12);
    submit(cluster, "job-1", 48, 400_000);
    cluster.time.runUntil(60_000);
    assertTrue(cluster.rules.starts >= 24, "the fleet is up");
    return cluster;
  }

  @Test
  void aControllerThatStoodStillReplacesNoMachine() {
    // Shorter than a lease, so that nothing is lost by it; at every step of what it does in turn.
    for (long at = 0; at < 2500; at += 250) {
      SimulatedCluster cluster = busy();
      int rented = cluster.cloud.rentedEver();
      int starts = cluster.rules.starts;
      cluster.time.runUntil(60_000 + at);
      cluster.labels().forEach(label -> cluster.freeze(label, 11_500));
      cluster.time.runUntil(120_000);
      assertQuiet(cluster);
      assertEquals(
          rented, cluster.cloud.rentedEver(), "its own pause, not the machines', at " + at);
      assertEquals(starts, cluster.rules.starts, "nothing was lost by it at " + at);
    }
  }

  @Test
  void aControllerThatStoodStillForLongerThanItsLeaseIsReplaced() {
    for (long ms = 24_000; ms <= 48_000; ms += 6000) {
      SimulatedCluster cluster = cluster(12);
      for (int i = 0; i < 6; i++) {
        submit(cluster, "job-" + i, 12, 20_000);
      }
      cluster.time.runUntil(30_000);
      cluster.trouble(ms + 10_000);
      cluster.freeze("trestle-0", ms);
      cluster.time.after(2000, () -> cluster.cancel(cluster.jobs.get("job-3")));
      cluster.time.runUntil(330_000);
      assertQuiet(cluster);
      assertEquals("cancelled", cluster.rules.lastOf("job-3"));
      assertDone(cluster, "job-0", "job-1", "job-2", "job-4", "job-5");
    }
  }

  @Test
  void whoMayNotAnswerForLongReplacesNoMachineAfterwards() {
    SimulatedCluster cluster = busy();
    int rented = cluster.cloud.rentedEver();
    cluster.trouble(60_000);
    cluster.state.outage(45_000); // longer than controllers and workers may go on without it
    cluster.time.runUntil(180_000);
    assertQuiet(cluster);
    assertEquals(rented, cluster.cloud.rentedEver(), "the machines are as good as before");
  }

  /** Does something to each controller in turn that must not cost a task that runs. */
  private static void assertNoLeaseRunsOut(
      Supplier<SimulatedCluster> scenes, long forMs, BiConsumer<SimulatedCluster, String> trouble) {
    for (String label : List.of("trestle-0", "trestle-1", "trestle-2")) {
      SimulatedCluster cluster = scenes.get();
      submit(cluster, "job-1", 48, 300_000);
      cluster.time.runUntil(60_000);
      int starts = cluster.rules.starts;
      cluster.trouble(forMs);
      trouble.accept(cluster, label);
      cluster.time.runUntil(150_000);
      assertQuiet(cluster);
      assertEquals(starts, cluster.rules.starts, "no lease ran out on the machines of " + label);
    }
  }

  @Test
  void aControllerCutOffFromItsWorkersHandsItsMachinesOver() {
    assertNoLeaseRunsOut(
        () -> new SimulatedCluster(new SplittableRandom(29), 12, 6000, 34_000, 64_000),
        50_000,
        (cluster, label) -> cluster.lose(label, 50_000, "workers"));
  }

  @Test
  void aMasterTakenWithoutAnAnswerIsNotLeftToNobody() {
    for (long seed = 1; seed <= 6; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(new SplittableRandom(seed), 12);
      for (int i = 0; i < 5; i++) {
        submit(cluster, "job-" + i, 10, 20_000);
      }
      cluster.time.runUntil(25_000);
      cluster.trouble(60_000);
      cluster.kill("trestle-0", 400_000);
      cluster.time.after(
          20_000, () -> cluster.net.lost = 0.7); // and with it answers to who takes it
      cluster.time.after(40_000, () -> cluster.net.lost = 0);
      cluster.time.runUntil(300_000);
      assertQuiet(cluster);
      assertDone(cluster, "job-0", "job-1", "job-2", "job-3", "job-4");
    }
  }

  @Test
  void theMachinesOfAControllerOutOfReachAreTakenBeforeTheirLeasesRunOut() {
    assertNoLeaseRunsOut(
        () -> new SimulatedCluster(new SplittableRandom(31), 12, 4000, 22_000, 52_000),
        40_000,
        (cluster, label) -> cluster.freeze(label, 28_000));
  }

  @Test
  void controllersThatDoNotHearEachOtherTakeNothingFromEachOther() {
    SimulatedCluster cluster =
        new SimulatedCluster(new SplittableRandom(37), 12, 4000, 22_000, 52_000);
    submit(cluster, "job-1", 48, 300_000);
    cluster.time.runUntil(60_000);
    // Machines are just being sent on to who has them, as after a shard has changed hands.
    cluster.trouble(60_000);
    cluster.kill("trestle-1", 35_000);
    cluster.time.runUntil(98_000);
    cluster.labels().forEach(label -> cluster.lose(label, 40_000, "peers"));
    cluster.time.runUntil(105_000);
    List<Long> before = cluster.state.masterVersions();
    cluster.time.runUntil(140_000);
    assertQuiet(cluster);
    assertEquals(before, cluster.state.masterVersions(), "no master changes hands");
  }

  @Test
  void whatRunsAlreadyIsNoNewWorkAfterARestart() {
    SimulatedCluster cluster = cluster(100);
    submit(cluster, "job-1", 192, 100_000);
    cluster.time.runUntil(70_000);
    int rented = cluster.cloud.rentedEver();
    cluster.labels().forEach(label -> cluster.kill(label, 500));
    for (int i = 2; i < 8; i++) {
      int number = i;
      cluster.time.after(i * 3000L, () -> submit(cluster, "job-" + number, 2, 20_000));
    }
    cluster.time.runUntil(110_000);
    assertQuiet(cluster);
    int more = cluster.cloud.rentedEver() - rented;
    assertTrue(more <= rented / 2, "not a second fleet: " + more + " beside " + rented);
  }

  @Test
  void aStormOfQuestionsHoldsUpNoSubmission() {
    SimulatedCluster cluster = cluster(12);
    submit(cluster, "job-1", 4, 3000);
    cluster.time.runUntil(40_000);
    assertDone(cluster, "job-1");
    cluster.labels().forEach(label -> cluster.kill(label, 300)); // who forget how jobs ended
    cluster.time.runUntil(50_000);
    // Hundreds of questions a second, most about jobs that nobody submitted.
    for (int i = 0; i < 8000; i++) {
      String id = i % 5 == 0 ? "job-1" : "job-" + (100_000 + i);
      cluster.time.after(i * 3L, () -> cluster.ask(id));
    }
    for (int i = 0; i < 30; i++) {
      int number = 10 + i;
      cluster.time.after(4000 + i * 300, () -> submit(cluster, "job-" + number, 2, 2500));
      cluster.time.after(
          4000 + i * 300 + 900,
          () -> assertTrue(cluster.rules.isAccepted("job-" + number), "in time: " + number));
    }
    cluster.time.runUntil(140_000);
    assertQuiet(cluster);
    for (int i = 0; i < 30; i++) {
      assertDone(cluster, "job-" + (10 + i));
    }
  }

  /** With a quarter of the requests for single reads, jobs were forgotten here. */
  @Test
  void aStormOfQuestionsAfterARestartForgetsNoJob() {
    SimulatedCluster cluster =
        new SimulatedCluster(new SplittableRandom(5), 40, 6000, 34_000, 64_000);
    for (int i = 0; i < 250; i++) {
      int number = i;
      cluster.time.after(i * 300, () -> submit(cluster, "job-" + number, 1, 2500));
    }
    cluster.time.runUntil(200_000);
    cluster.deployment = cluster.deployment.withStateRequests(70);
    cluster.labels().forEach(label -> cluster.kill(label, 300)); // who forget how jobs ended
    cluster.time.runUntil(206_000);
    for (int i = 0; i < 10_000; i++) {
      String unknown = "job-" + (1_000_000 + i);
      cluster.time.after(i * 10L, () -> cluster.ask(unknown));
    }
    cluster.time.runUntil(320_000);
    assertQuiet(cluster);
    assertEquals(250, cluster.rules.done);
  }

  @Test
  void lostTasksGoToAMasterThatHasRoom() {
    SimulatedCluster cluster = cluster(9);
    // Short tasks beside long ones leave room on every machine once they have ended.
    for (int i = 0; i < 9; i++) {
      int number = i;
      cluster.time.after(2000L * i, () -> submit(cluster, "job-" + number, 2, 400_000));
      cluster.time.after(2000L * i, () -> submit(cluster, "job-" + (100 + number), 2, 25_000));
    }
    cluster.time.runUntil(60_000);
    String label = cluster.leaderOf(cluster.jobs.get("job-0"));
    List<SimulatedWorker> lost =
        cluster.cloud.machines.values().stream().filter(m -> m.reportsTo().equals(label)).toList();
    // All machines of one shard end, and the cloud has no more to give.
    cluster.cloud.capacity = cluster.cloud.machines.size() - lost.size();
    lost.forEach(SimulatedWorker::die);
    cluster.time.runUntil(65_000);
    int left = longOnes(cluster);
    assertTrue(left > 0 && left < 18, "some of the long ones are lost: " + left);
    cluster.time.runUntil(160_000);
    assertQuiet(cluster);
    assertTrue(longOnes(cluster) > left, "lost ones run with other masters; left were " + left);
  }

  private static int longOnes(SimulatedCluster cluster) {
    int count = 0;
    for (int i = 0; i < 9; i++) {
      count += cluster.rules.on("job-" + i);
    }
    return count;
  }

  /** Some machine that is up and of which a condition holds; null where there is none. */
  private static SimulatedWorker machine(
      SimulatedCluster cluster, Predicate<SimulatedWorker> condition) {
    return cluster.cloud.machines.values().stream()
        .filter(machine -> machine.up && condition.test(machine))
        .findFirst()
        .orElse(null);
  }

  /**
   * A holder of a shard that does not know of its end may start a lost task again, of which the
   * next holder hears only after it has found the task where it was before.
   */
  @Test
  void aTaskThatAFormerHolderStartedAgainStartsNowhereElseMeanwhile() {
    // Reports so far apart that going from node to node in vain does not yet count as silence.
    SimulatedCluster cluster =
        new SimulatedCluster(new SplittableRandom(23), 12, 6000, 34_000, 64_000);
    submit(cluster, "job-1", 34, 100_000); // not all machines are full
    cluster.time.runUntil(40_000);
    SimulatedWorker before = null;
    SimulatedWorker next = null;
    String task = null;
    for (int i = 0; i < 34 && next == null; i++) {
      String candidate = "job-1/" + i;
      task = candidate;
      before = machine(cluster, m -> m.holds(candidate));
      String label = before.reportsTo();
      next =
          machine(cluster, m -> m.hasRoom(4) && !m.holds(candidate) && m.reportsTo().equals(label));
    }
    assertTrue(next != null, "a controller has two machines, one of them with room");
    before.die();
    next.startForFormerHolder(task, 1);
    // It tells so, but cannot be stopped until its lease has run out.
    next.deafen(60_000);
    submit(cluster, "job-2", 10, 100_000); // takes what looks like room there
    cluster.time.runUntil(45_000);
    assertTrue(next.holds(task), "it has begun");
    cluster.time.runUntil(300_000);
    assertQuiet(cluster);
    assertDone(cluster, "job-1");
  }

  /** Users count room as room, whatever it is kept for. */
  @Test
  void nothingWaitsForLongBesideRoomThatIsKeptForTheUrgent() {
    SimulatedCluster cluster =
        new SimulatedCluster(new SplittableRandom(1), 4, 2500, 16_000, 46_000);
    submit(cluster, "job-1", 16, 120_000);
    cluster.time.runUntil(25_000);
    for (int i = 0; i < 6; i++) {
      cluster.net.lateCommands = 0.7; // so that more has to be placed again
      submit(cluster, "job-" + (10 + i), 8, 90_000);
      cluster.time.runUntil(cluster.time.now() + 9000);
      for (int urgent = 0; urgent < 6; urgent++) {
        submit(cluster, "job-" + (100 + 10 * i + urgent), 4, 2500);
      }
      cluster.time.runUntil(cluster.time.now() + 12_000);
    }
    cluster.net.lateCommands = 0;
    cluster.time.runUntil(600_000);
    assertQuiet(cluster);
  }
}
