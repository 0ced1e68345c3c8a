package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.fieldtrestle.protocol.Json;
import org.junit.jupiter.api.Test;

/**
 * Failures that meet, under which rules break that hold under each of them alone. Every test shows
 * that the meeting took place; then the rules have held and all jobs end.
 */
class ConcurrentFailuresTest {
  private static final int SEEDS = 3;

  private static void meet(int capacity, Consumer<SimulatedCluster> meeting) {
    for (Deployment deployment : Deployment.smallOfEachKind()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        SimulatedCluster cluster =
            new SimulatedCluster(new SplittableRandom(seed), capacity, deployment);
        meeting.accept(cluster);
        String where = "seed " + seed + ", lease " + deployment.leaseMs();
        for (long end = cluster.time.now() + 500_000;
            cluster.time.now() < end && !over(cluster); ) {
          cluster.time.runUntil(cluster.time.now() + 5000);
        }
        cluster.rules.dayEnds();
        assertEquals(List.of(), cluster.rules.broken, where);
        cluster.jobs.values().stream()
            .filter(job -> !job.hopeless)
            .forEach(job -> assertTrue(ended(cluster, job), job.id + " ends; " + where));
      }
    }
  }

  private static boolean over(SimulatedCluster cluster) {
    return cluster.time.now() > cluster.calmSince() + cluster.cancelMs
        && cluster.jobs.values().stream().allMatch(job -> job.hopeless || ended(cluster, job));
  }

  private static boolean ended(SimulatedCluster cluster, SimulatedCluster.Job job) {
    String last = cluster.rules.lastOf(job.id);
    return "cancelled".equals(last) || "done".equals(last);
  }

  private static List<SimulatedCluster.Job> submit(
      SimulatedCluster cluster, int jobs, int tasks, long runMs) {
    return submit(cluster, jobs, tasks, runMs, job -> {});
  }

  private static List<SimulatedCluster.Job> submit(
      SimulatedCluster cluster,
      int jobs,
      int tasks,
      long runMs,
      Consumer<SimulatedCluster.Job> shape) {
    List<SimulatedCluster.Job> all = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      all.add(
          cluster.submit(
              "job-" + (cluster.jobs.size() + 1),
              job -> {
                job.tasks = tasks;
                job.runMs = runMs;
                shape.accept(job);
              }));
    }
    return all;
  }

  private static void run(SimulatedCluster cluster, long ms) {
    cluster.time.runUntil(cluster.time.now() + ms);
  }

  private static String other(SimulatedCluster cluster, String label) {
    return cluster.labels().get((cluster.labels().indexOf(label) + 1) % 3);
  }

  private static List<SimulatedWorker> machines(SimulatedCluster cluster) {
    return List.copyOf(cluster.cloud.machines.values());
  }

  private static Map<String, byte[]> reports(SimulatedCluster cluster) {
    Map<String, byte[]> reports = new HashMap<>();
    machines(cluster).forEach(machine -> reports.put(machine.id, machine.lastReport()));
    return reports;
  }

  private static void assertMastersChanged(SimulatedCluster cluster, List<Long> before) {
    assertNotEquals(before, cluster.state.masterVersions(), "a master has changed hands");
  }

  private static int onAll(SimulatedCluster cluster, List<SimulatedCluster.Job> jobs) {
    return jobs.stream().mapToInt(job -> cluster.rules.on(job.id)).sum();
  }

  /** Half of the time the other controllers' word of a cancellation does not come through. */
  private static void maybeWithoutHint(SimulatedCluster cluster, String leader) {
    if (cluster.time.chance(0.5)) {
      cluster.lose(leader, cluster.cancelMs + 30_000, "peers");
    }
  }

  /** Cancels jobs at another controller than their leader and waits for it to say so. */
  private static void cancelElsewhere(
      SimulatedCluster cluster, String leader, List<SimulatedCluster.Job> jobs, long ms) {
    jobs.forEach(job -> cluster.cancelAt(other(cluster, leader), job));
    run(cluster, ms);
    for (SimulatedCluster.Job job : jobs) {
      assertEquals("cancelled", cluster.rules.lastOf(job.id), "confirmed by another controller");
    }
  }

  @Test
  void smallJobsEndFarApartAcrossAChangeOfLeader() {
    meet(
        14,
        cluster -> {
          List<SimulatedCluster.Job> jobs = submit(cluster, 8, 3, 6000, job -> job.uneven = 5);
          run(cluster, 45_000);
          for (String label : cluster.labels()) {
            List<Long> before = cluster.state.masterVersions();
            cluster.trouble(80_000);
            cluster.kill(label, cluster.leaseMs + 24_000);
            run(cluster, 12_000);
            cluster.kill(other(cluster, label), 300);
            run(cluster, cluster.leaseMs + 8000);
            assertMastersChanged(cluster, before);
          }
          assertTrue(
              jobs.stream().anyMatch(job -> cluster.results.contains(job.id + "/0")), "some ended");
        });
  }

  @Test
  void aCommandIsHeldUpAndTheMachineGoesOn() {
    meet(
        14,
        cluster -> {
          List<SimulatedCluster.Job> jobs = submit(cluster, 6, 4, 15_000);
          run(cluster, 25_000);
          for (int i = 0; i < 10; i++) {
            // Just before there is something to tell: new work, and work that is called off.
            machines(cluster).forEach(machine -> machine.hang(cluster.time.between(2000, 9000)));
            jobs.addAll(submit(cluster, 2, 4, 15_000));
            cluster.cancel(jobs.get(i));
            run(cluster, 14_000);
          }
          // On any machine, also on one that has been returned since.
          assertTrue(cluster.commandsCarriedOutLate > 0, "commands were carried out late");
        });
  }

  /** Copies of direct commands come late, after their tasks were stopped and cleared. */
  @Test
  void aStartIsCarriedOutAfterItsTaskWasStoppedForAnother() {
    int[] late = {0};
    meet(
        4,
        cluster -> {
          submit(cluster, 1, 16, 40_000);
          run(cluster, 25_000); // the fleet is up
          for (int i = 0; i < 6; i++) {
            cluster.net.lateCommands = 0.7;
            submit(cluster, 1, 6, 60_000);
            run(cluster, 9000);
            // They are evicted while they are young, and go elsewhere or come back later.
            submit(cluster, 3, 4, 2500);
            run(cluster, 30_000);
          }
          cluster.net.lateCommands = 0;
          for (SimulatedWorker machine : machines(cluster)) {
            late[0] += machine.carriedOutLate + machine.refusedLate;
          }
        });
    assertTrue(late[0] > 0, "commands arrived late");
  }

  @Test
  void aTransactionWithoutAnAnswerIsCarriedOutLate() {
    int[] committed = {0};
    meet(
        14,
        cluster -> {
          cluster.state.lateWrites = 0.2;
          cluster.trouble(130_000);
          List<SimulatedCluster.Job> jobs = submit(cluster, 8, 4, 12_000);
          run(cluster, 40_000);
          jobs.addAll(submit(cluster, 4, 6, 12_000, job -> job.team = "limited"));
          cluster.kill("trestle-1", 500);
          run(cluster, 30_000);
          cluster.cancel(jobs.get(9));
          cluster.cancel(jobs.get(1));
          cluster.kill("trestle-0", 40_000);
          run(cluster, 60_000);
          cluster.state.lateWrites = 0;
          run(cluster, 15_000);
          committed[0] += cluster.state.lateCommitted();
          assertTrue(cluster.state.lateRefused() > 0, "some came after newer ones");
        });
    assertTrue(committed[0] > 0, "some had their conditions met");
  }

  @Test
  void workersReachNoControllerWhileCommandsReachThem() {
    meet(
        14,
        cluster -> {
          List<SimulatedCluster.Job> jobs = submit(cluster, 5, 6, 40_000);
          run(cluster, 40_000);
          long ms = cluster.leaseMs + 10_000;
          cluster.trouble(ms);
          // Most of them, so that it looks like a cut; the others have room for what is lost.
          List<SimulatedWorker> all = machines(cluster);
          List<SimulatedWorker> mute = all.subList(0, all.size() * 2 / 3);
          mute.forEach(machine -> machine.mute(ms));
          jobs.addAll(submit(cluster, 3, 4, 10_000));
          run(cluster, 1500);
          jobs.subList(0, 3).forEach(cluster::cancel);
          run(cluster, 4000);
          assertTrue(
              mute.stream().anyMatch(machine -> machine.directWhileMute > 0),
              "commands reached a mute machine");
          run(cluster, ms);
        });
  }

  @Test
  void controllersHandOverAndBackAllEndAndOneReturns() {
    meet(
        14,
        cluster -> {
          submit(cluster, 6, 6, 40_000);
          run(cluster, 40_000);
          List<Long> before = cluster.state.masterVersions();
          cluster.trouble(150_000);
          cluster.lose("trestle-0", 30_000, "workers");
          run(cluster, 31_000);
          assertMastersChanged(cluster, before);
          before = cluster.state.masterVersions();
          run(cluster, 25_000);
          // One is back within a second, and again.
          cluster.kill("trestle-0", 45_000);
          cluster.kill("trestle-1", 45_000);
          cluster.kill("trestle-2", 200);
          run(cluster, 600);
          cluster.kill("trestle-2", 300);
          run(cluster, 20_000);
          assertMastersChanged(cluster, before);
          submit(cluster, 3, 4, 10_000);
          run(cluster, 60_000);
        });
  }

  @Test
  void aLeaderIsCutOffAndItsJobsAreCancelledThroughTheNewOne() {
    meet(
        14,
        cluster -> {
          List<SimulatedCluster.Job> jobs = submit(cluster, 4, 6, 200_000);
          submit(cluster, 2, 4, 20_000);
          run(cluster, 45_000);
          String leader = cluster.leaderOf(jobs.get(0));
          List<Long> before = cluster.state.masterVersions();
          cluster.trouble(95_000);
          cluster.lose(leader, 90_000, "state", "peers");
          run(cluster, 3000);
          assertTrue(onAll(cluster, jobs) > 0, "they run");
          cancelElsewhere(cluster, leader, jobs.subList(0, 2), 1500);
          run(cluster, 3000);
          long told = cluster.rules.toldCancelledAt(jobs.get(0).id);
          assertTrue(cluster.answeredWorkerAt(leader) > told, "the old one still answers workers");
          run(cluster, 35_000);
          assertMastersChanged(cluster, before);
          cancelElsewhere(cluster, leader, jobs.subList(2, 4), 1500);
          run(cluster, 50_000);
        });
  }

  /** As above, but some of its machines reach only the others, who take its shard for that. */
  @Test
  void aLeaderThatIsCutOffConcludesNothingFromTheSilenceOfMachinesThatOthersLead() {
    int[] taken = {0};
    meet(
        14,
        cluster -> {
          for (int i = 0; i < 6; i++) {
            submit(cluster, 1, 4, 300_000);
            submit(cluster, 1, 4, 20_000); // which leave room when they have ended
            run(cluster, 3000);
          }
          run(cluster, 45_000);
          String leader = cluster.leaderOf(cluster.jobs.get("job-1"));
          List<Long> before = cluster.state.masterVersions();
          cluster.trouble(75_000);
          // Without the cloud it cannot return the silent ones, which would end their tasks.
          cluster.lose(leader, 70_000, "state", "peers", "cloud");
          List<SimulatedWorker> its =
              machines(cluster).stream().filter(m -> m.reportsTo().equals(leader)).toList();
          its.subList(0, its.size() / 2).forEach(machine -> machine.lose(leader, 70_000));
          run(cluster, cluster.leaseMs + 8000);
          taken[0] += before.equals(cluster.state.masterVersions()) ? 0 : 1;
          run(cluster, 70_000);
        });
    assertTrue(taken[0] > 0, "its master was taken while it could still act");
  }

  /** The newest reports that were kept are the first to reach a controller. */
  private static void deliverNewest(
      SimulatedCluster cluster, String label, List<Map<String, byte[]>> kept) {
    if (!kept.isEmpty()) {
      Map<String, byte[]> newest = kept.get(kept.size() - 1);
      newest.values().forEach(report -> cluster.deliverCopy(label, report));
    }
  }

  @Test
  void oldReportsArriveAfterNewerOnesAlsoOfEarlierSessions() {
    meet(
        14,
        cluster -> {
          submit(cluster, 6, 6, 15_000);
          List<Map<String, byte[]>> old = new ArrayList<>();
          cluster.listening = label -> deliverNewest(cluster, label, old);
          cluster.trouble(140_000);
          for (int i = 0; i < 270; i++) {
            run(cluster, 500);
            if (i % 6 == 0) {
              old.add(reports(cluster));
            }
            if (i == 72) {
              cluster.kill("trestle-1", 500);
            } else if (i == 120) { // sessions end
              machines(cluster).forEach(machine -> machine.hang(cluster.leaseMs + 4000));
              submit(cluster, 3, 6, 15_000);
            } else if (i == 192) {
              cluster.kill("trestle-0", cluster.leaseMs + 30_000);
            }
            for (byte[] report : old.get((int) cluster.time.between(0, old.size() - 1)).values()) {
              for (String label : cluster.labels()) {
                cluster.deliverCopy(label, report);
              }
            }
          }
          assertTrue(cluster.copiesAnswered > 0, "some came before any newer one");
        });
  }

  @Test
  void allControllersAreAwayForLongerThanALease() {
    meet(
        14,
        cluster -> {
          List<SimulatedCluster.Job> jobs = submit(cluster, 6, 6, 30_000);
          run(cluster, 35_000);
          int starts = cluster.rules.starts;
          long ms = cluster.leaseMs + 8000;
          cluster.trouble(ms + 5000);
          cluster.cancel(jobs.get(0));
          cluster.labels().forEach(label -> cluster.kill(label, ms + cluster.time.between(0, 900)));
          run(cluster, ms);
          assertEquals(0, onAll(cluster, jobs), "all leases have run out");
          run(cluster, 30_000);
          assertTrue(cluster.rules.starts > starts, "they go on");
        });
  }

  @Test
  void jobsBoundToOneZoneLoseTheirMachines() {
    meet(
        14,
        cluster -> {
          submit(cluster, 3, 6, 20_000, job -> job.zone = "b");
          submit(cluster, 3, 6, 20_000, job -> job.oneZone = true);
          submit(cluster, 2, 7, 20_000, job -> job.spread = true);
          for (int i = 0; i < 3; i++) {
            run(cluster, 26_000);
            String zone = i == 1 ? "a" : "b";
            int starts = cluster.rules.starts;
            machines(cluster).stream()
                .filter(machine -> machine.zone.equals(zone))
                .forEach(SimulatedWorker::die);
            if (i == 1) {
              cluster.kill("trestle-1", 30_000);
            }
            run(cluster, 8000);
            cluster.trouble(0);
            assertTrue(starts > 0);
          }
        });
  }

  @Test
  void leadersChangeTenTimesInTwoMinutesAlsoInsideAnOutage() {
    meet(
        14,
        cluster -> {
          List<SimulatedCluster.Job> jobs = submit(cluster, 6, 6, 25_000);
          run(cluster, 30_000);
          cluster.trouble(135_000);
          cluster.time.after(40_000, () -> cluster.state.outage(20_000));
          int changes = 0;
          for (int i = 0; i < 12; i++) {
            List<Long> before = cluster.state.masterVersions();
            String label = cluster.labels().get((int) cluster.time.between(0, 2));
            cluster.kill(label, cluster.time.between(50, 900));
            if (i == 4 || i == 9) {
              cluster.cancel(jobs.get(i / 2));
              cluster.lose(other(cluster, label), 12_000, "workers");
            }
            run(cluster, 10_000);
            changes += before.equals(cluster.state.masterVersions()) ? 0 : 1;
          }
          assertTrue(changes >= 8, "and twice within the outage: " + changes);
        });
  }

  @Test
  void theStateServiceIsSlowThenRefusesTheLeaderThenEverybody() {
    meet(
        14,
        cluster -> {
          List<SimulatedCluster.Job> jobs = submit(cluster, 5, 6, 200_000);
          run(cluster, 45_000);
          String leader = cluster.leaderOf(jobs.get(0));
          cluster.trouble(120_000);
          maybeWithoutHint(cluster, leader);
          cluster.net.slow(SimulatedCluster.STATE, 300, 10_000);
          run(cluster, 8000);
          cluster.isolate(leader, 16_000);
          run(cluster, 300);
          cancelElsewhere(cluster, leader, jobs.subList(0, 3), 4000);
          cluster.state.outage(cluster.cancelMs + 12_000);
          for (int i = 0; i < 30; i++) {
            cluster.ask(jobs.get(i % 5).id);
            if (i == 10) {
              cluster.cancel(jobs.get(3));
            }
            run(cluster, 2000);
          }
          long told = cluster.rules.toldCancelledAt(jobs.get(0).id);
          assertTrue(cluster.answeredWorkerAt(leader) > told, "the old one still answered workers");
          run(cluster, 30_000);
          assertEquals(0, onAll(cluster, jobs.subList(0, 3)), "gone");
          cluster.cancel(jobs.get(4));
        });
  }

  @Test
  void reportsAreHeldBackUntilANewLeaderHasActed() {
    meet(
        14,
        cluster -> {
          List<SimulatedCluster.Job> jobs = submit(cluster, 6, 6, 20_000);
          run(cluster, 30_000);
          String leader = cluster.leaderOf(jobs.get(0));
          Map<String, byte[]> held = reports(cluster);
          List<Long> before = cluster.state.masterVersions();
          cluster.trouble(90_000);
          cluster.kill(leader, 80_000);
          // Their tasks end while nobody hears of it, or hang.
          machines(cluster).stream().limit(4).forEach(machine -> machine.hang(45_000));
          run(cluster, 45_000);
          assertMastersChanged(cluster, before);
          for (int i = 0; i < 8; i++) {
            for (byte[] report : held.values()) {
              for (String label : cluster.labels()) {
                cluster.deliverCopy(label, report);
              }
            }
            run(cluster, 5000);
          }
        });
  }

  @Test
  void aLeaderEndsWhileMachinesWithLongTasksCannotBeReached() {
    meet(
        14,
        cluster -> {
          List<SimulatedCluster.Job> jobs = submit(cluster, 5, 6, 60_000);
          run(cluster, 35_000);
          String leader = cluster.leaderOf(jobs.get(0));
          List<Long> before = cluster.state.masterVersions();
          List<SimulatedWorker> machines = machines(cluster);
          cluster.trouble(90_000);
          int half = machines.size() / 2;
          assertTrue(half > 1);
          machines.subList(0, half).forEach(machine -> machine.hang(cluster.leaseMs - 4000));
          machines.subList(half, machines.size()).forEach(machine -> machine.deafen(40_000));
          cluster.kill(leader, 70_000);
          run(cluster, 50_000);
          assertMastersChanged(cluster, before);
          submit(cluster, 3, 4, 10_000);
          run(cluster, 45_000);
        });
  }

  @Test
  void aCancellationAQuestionOrARepeatMeetsTheEndOfAJobsLastTask() {
    meet(
        14,
        cluster -> {
          cluster.cancelAtEnd = 0.8;
          // An answer takes a few hundred ms now and then: here always, so that both ends are often
          // on their way at once.
          cluster.net.slow(SimulatedCluster.STATE, 300, 150_000);
          List<SimulatedCluster.Job> jobs = submit(cluster, 30, 2, 6000);
          run(cluster, 150_000);
          long done = jobs.stream().filter(j -> "done".equals(cluster.rules.lastOf(j.id))).count();
          long cancelled =
              jobs.stream().filter(j -> "cancelled".equals(cluster.rules.lastOf(j.id))).count();
          assertEquals(jobs.size(), done + cancelled, "each has one end");
          assertTrue(done > 0 && cancelled > 0, done + " done, " + cancelled + " cancelled");
          Map<String, String> ends = new HashMap<>();
          jobs.forEach(job -> ends.put(job.id, cluster.state.finalOf(job.id)));
          cluster.labels().forEach(label -> cluster.kill(label, 500));
          run(cluster, 20_000);
          cluster.cancelAtEnd = 0;
          jobs.forEach(cluster::submitAgain);
          jobs.forEach(cluster::cancel);
          jobs.forEach(job -> cluster.ask(job.id));
          run(cluster, 20_000);
          jobs.forEach(job -> assertEquals(ends.get(job.id), cluster.state.finalOf(job.id)));
        });
  }

  @Test
  void aTeamIsAtItsLimitWhenTheLeaderChangesAndAJobOfItIsCancelled() {
    meet(
        14,
        cluster -> {
          List<SimulatedCluster.Job> jobs =
              submit(cluster, 4, 5, 100_000, job -> job.team = "limited");
          run(cluster, 50_000);
          assertEquals(10, onAll(cluster, jobs), "at its limit of 40 CPUs");
          String leader = cluster.leaderOf(jobs.get(0));
          List<Long> before = cluster.state.masterVersions();
          cluster.trouble(80_000);
          machines(cluster).stream().limit(4).forEach(machine -> machine.hang(30_000));
          cluster.kill(leader, 60_000);
          run(cluster, 10_000);
          cluster.cancel(jobs.get(0));
          cluster.cancel(jobs.get(2));
          run(cluster, 30_000);
          assertMastersChanged(cluster, before);
          cluster.kill(other(cluster, leader), 400);
          submit(cluster, 2, 5, 10_000, job -> job.team = "limited");
          run(cluster, 45_000);
        });
  }

  @Test
  void moreWorkThanRoomUrgentAndNotOverSlowLinks() {
    meet(
        5,
        cluster -> {
          cluster.slowLinks = 8;
          submit(cluster, 2, 20, 25_000);
          for (int i = 0; i < 20; i++) {
            int number = i;
            submit(cluster, 1, 6, 2500, job -> job.image = "img-" + number % 4);
            run(cluster, 5000);
          }
          assertTrue(
              cluster.jobs.values().stream().anyMatch(job -> !ended(cluster, job)),
              "work piles up");
          cluster.trouble(0);
        });
  }

  @Test
  void aZoneWithWorkersAndAControllerIsCutOffForLongerThanALease() {
    meet(
        14,
        cluster -> {
          List<SimulatedCluster.Job> jobs = submit(cluster, 4, 6, 60_000);
          List<SimulatedCluster.Job> bound = submit(cluster, 2, 6, 200_000, job -> job.zone = "b");
          run(cluster, 35_000);
          long ms = cluster.cancelMs + 12_000; // so that nobody behind it may answer any more
          cluster.trouble(ms + 5000);
          cluster.net.cut("a", "b", ms);
          cluster.net.cut("b", "regional", ms);
          cluster.lose("trestle-1", ms, "peers");
          assertTrue(onAll(cluster, bound) > 0, "they run");
          run(cluster, 2000);
          cluster.cancelAt("trestle-0", jobs.get(0));
          run(cluster, ms - 4000);
          assertEquals(0, onAll(cluster, bound), "what is behind the cut has ended");
          run(cluster, 2000);
          assertEquals("cancelled", cluster.rules.lastOf(jobs.get(0).id));
        });
  }

  /** The users' "gap". */
  @Test
  void jobsAreCancelledWhileTheLeaderAloneIsRefusedAndThenTheStateServiceIsOut() {
    meet(
        14,
        cluster -> {
          List<SimulatedCluster.Job> jobs = submit(cluster, 6, 6, 200_000);
          run(cluster, 45_000);
          String leader = cluster.leaderOf(jobs.get(0));
          cluster.trouble(cluster.cancelMs + 20_000);
          maybeWithoutHint(cluster, leader);
          cluster.isolate(leader, 14_000);
          run(cluster, 300);
          assertTrue(onAll(cluster, jobs) > 0, "they run");
          cancelElsewhere(cluster, leader, jobs.subList(0, 5), 1200);
          cluster.state.outage(cluster.cancelMs + 12_000);
          long told = cluster.rules.toldCancelledAt(jobs.get(0).id);
          run(cluster, 8000);
          assertTrue(cluster.answeredWorkerAt(leader) > told, "the old one still answers workers");
          cluster.time.runUntil(told + cluster.cancelMs);
          assertEquals(0, onAll(cluster, jobs.subList(0, 5)), "gone in time");
          run(cluster, 20_000);
          cluster.cancel(jobs.get(5));
        });
  }

  /** Beside the meetings: what users send that is odd, at any time. */
  @Test
  void whatCanNeverRunIsRefusedAtOnceAndWhatEndedStaysSo() {
    meet(
        14,
        cluster -> {
          List<SimulatedCluster.Job> jobs = submit(cluster, 4, 3, 5000);
          run(cluster, 20_000);
          cluster.kill("trestle-1", 800);
          SimulatedCluster.Job good = jobs.get(0);
          int number = 1000;
          for (var field : Json.parseOrEmpty(good.body).properties()) {
            if (Set.of("yard", "dueS").contains(field.getKey())) {
              continue; // may be omitted
            }
            var body = (ObjectNode) Json.parseOrEmpty(good.body);
            body.put("uid", "job-" + ++number);
            body.remove(field.getKey());
            cluster.submitHopeless("job-" + number, Json.bytes(body), 400);
          }
          for (Consumer<ObjectNode> change :
              List.<Consumer<ObjectNode>>of(
                  body -> body.put("cpus", 17.0),
                  body -> body.put("memoryGb", 65.0),
                  body -> body.put("gpus", 1.0),
                  body -> body.put("crew", "nobody"),
                  body -> body.put("yard", "nowhere"),
                  body -> body.putArray("rigs").add("unheard-of"))) {
            var body = (ObjectNode) Json.parseOrEmpty(good.body);
            body.put("uid", "job-" + ++number);
            change.accept(body);
            cluster.submitHopeless("job-" + number, Json.bytes(body), 422);
          }
          for (int i = 0; i < 10; i++) {
            jobs.forEach(cluster::submitAgain);
            run(cluster, 3000);
          }
          jobs.forEach(cluster::cancel);
          run(cluster, 3000);
          assertTrue(number > 1020, "all were sent");
        });
  }
}
