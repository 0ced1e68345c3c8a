package org.fieldtrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Generated histories with the faults that the protocol describes; no rule may be broken. */
class RandomHistoriesTest {
  private static final Logger LOG = LoggerFactory.getLogger(RandomHistoriesTest.class);

  private static List<SimulatedCluster.Job> submitSome(
      SimulatedCluster cluster, int count, long overMs) {
    List<SimulatedCluster.Job> jobs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int number = i;
      cluster.time.after(
          cluster.time.between(0, overMs),
          () ->
              jobs.add(
                  cluster.submit(
                      "job-" + number,
                      job -> {
                        SimulatedTime time = cluster.time;
                        job.tasks = (int) time.between(1, 12);
                        job.cpus = time.chance(0.5) ? 4 : 8;
                        job.image = "img-" + time.between(0, 3);
                        job.runMs = time.chance(0.4) ? 2000 : time.between(4000, 25_000);
                        job.team = time.chance(0.4) ? "limited" : "open";
                        job.spot = time.chance(0.7);
                        job.type = time.chance(0.2) ? "odd" : null;
                        job.zone = time.chance(0.2) ? "b" : null;
                        job.oneZone = time.chance(0.2);
                        job.spread = !job.oneZone && job.zone == null && time.chance(0.2);
                      })));
    }
    return jobs;
  }

  @Property(tries = 6, seed = "4711", shrinking = ShrinkingMode.OFF)
  void aQuietDayEndsEveryJob(@ForAll long seed) {
    SimulatedCluster cluster = new SimulatedCluster(new SplittableRandom(seed), 12);
    submitSome(cluster, 15, 60_000);
    cluster.time.runUntil(400_000);
    assertEquals(List.of(), cluster.rules.broken);
    assertEquals(15, cluster.rules.done, "jobs done");
  }

  @Property(tries = 25, seed = "815", shrinking = ShrinkingMode.OFF)
  void noRuleIsBrokenByAnyMixOfTroubles(@ForAll long seed) {
    SimulatedCluster cluster = new SimulatedCluster(new SplittableRandom(seed), 12);
    SimulatedTime time = cluster.time;
    cluster.net.late = 0.01;
    cluster.net.lost = 0.01;
    cluster.net.copies = 0.05;
    cluster.cloud.neverBoots = 0.1;
    List<SimulatedCluster.Job> jobs = submitSome(cluster, 18, 150_000);
    for (int i = 0; i < 9; i++) {
      time.after(time.between(10_000, 200_000), () -> trouble(cluster, jobs));
    }
    for (int i = 0; i < 4; i++) {
      time.after(
          time.between(20_000, 180_000),
          () -> {
            if (!jobs.isEmpty()) {
              cluster.cancel(jobs.get((int) time.between(0, jobs.size() - 1)));
            }
          });
      time.after(time.between(20_000, 180_000), () -> cluster.ask("job-999999"));
    }
    time.after(
        230_000,
        () -> {
          cluster.net.late = 0;
          cluster.net.lost = 0;
        });
    time.runUntil(700_000);
    assertEnds(cluster, jobs);
  }

  @Property(tries = 20, seed = "2026", shrinking = ShrinkingMode.OFF)
  void noRuleIsBrokenWhereTwoTroublesMeet(@ForAll long seed) {
    boolean small = seed % 2 == 0;
    SimulatedCluster cluster =
        small
            ? new SimulatedCluster(new SplittableRandom(seed), 12, 4000, 22_000, 52_000)
            : new SimulatedCluster(new SplittableRandom(seed), 12, 6000, 34_000, 64_000);
    SimulatedTime time = cluster.time;
    cluster.net.copies = 0.1;
    cluster.net.copiesEach = 2;
    List<SimulatedCluster.Job> jobs = submitSome(cluster, 18, 150_000);
    for (int i = 0; i < 5; i++) {
      long at = 20_000 + i * 40_000L;
      time.after(at, () -> trouble(cluster, jobs));
      time.after(at + time.between(0, 4000), () -> meeting(cluster, jobs));
      time.after(at + time.between(0, 20_000), () -> trouble(cluster, jobs));
    }
    time.runUntil(750_000);
    assertEnds(cluster, jobs);
  }

  /** Machines that were gone held up a team's limit anew after each of four changes of hands. */
  @Test
  void machinesThatAreGoneHoldNothingUpForLong() {
    noRuleIsBrokenWhereTwoTroublesMeet(-33_671);
  }

  /** One whose shard had been taken took renewed leases for ended ones, and started anew. */
  @Test
  void whoseMasterWasTakenConcludesNothingFromSilence() {
    noRuleIsBrokenByAnyMixOfTroubles(267);
  }

  private static void assertEnds(SimulatedCluster cluster, List<SimulatedCluster.Job> jobs) {
    cluster.rules.dayEnds();
    assertEquals(List.of(), cluster.rules.broken);
    assertTrue(cluster.rules.starts > 0, "something ran");
    for (SimulatedCluster.Job job : jobs) {
      String last = cluster.rules.lastOf(job.id);
      assertTrue(
          "done".equals(last) || cluster.cancelledByUser.contains(job.id),
          job.id + " is " + last + " long after all troubles");
    }
  }

  /** Troubles that do harm where they meet another one. */
  private static void meeting(SimulatedCluster cluster, List<SimulatedCluster.Job> jobs) {
    SimulatedTime time = cluster.time;
    String label = cluster.labels().get((int) time.between(0, 2));
    int kind = (int) time.between(0, 7);
    LOG.debug("{} ms: meeting {} {}", time.now(), kind, label);
    switch (kind) {
      case 0 -> { // refused alone, then out for all, while users call off what runs
        cluster.trouble(cluster.cancelMs + 20_000);
        cluster.isolate(label, 14_000);
        time.after(500, () -> cancelSome(cluster, jobs, 4, 0));
        time.after(2000, () -> cluster.state.outage(cluster.cancelMs + 12_000));
      }
      case 1 -> {
        cluster.trouble(45_000);
        cluster.state.lateWrites = 0.3;
        time.after(30_000, () -> cluster.state.lateWrites = 0);
      }
      case 2 -> {
        long ms = time.between(5000, 50_000);
        cluster.trouble(ms);
        for (SimulatedWorker machine : cluster.cloud.machines.values()) {
          if (time.chance(0.4)) {
            machine.mute(ms);
          }
        }
      }
      case 3 -> {
        long ms = time.between(2000, 60_000);
        cluster.trouble(ms);
        cluster.freezeBeforeSending(label, ms);
      }
      case 4 -> {
        cluster.trouble(40_000);
        cancelSome(cluster, jobs, 6, time.between(3000, 40_000));
      }
      case 5 -> {
        cluster.cancelAtEnd = 0.5;
        time.after(30_000, () -> cluster.cancelAtEnd = 0);
      }
      case 6 -> { // all are away for longer than a lease, one of them a little less
        cluster.trouble(cluster.leaseMs + 20_000);
        cluster
            .labels()
            .forEach(one -> cluster.kill(one, cluster.leaseMs + time.between(-900, 9000)));
      }
      default -> { // copies of what machines say now, at whoever leads them later
        List<byte[]> copies = new ArrayList<>();
        cluster.cloud.machines.values().forEach(machine -> copies.add(machine.lastReport()));
        for (int i = 0; i < 10; i++) {
          time.after(
              time.between(2000, 2 * cluster.leaseMs),
              () ->
                  copies.forEach(
                      copy -> cluster.labels().forEach(one -> cluster.deliverCopy(one, copy))));
        }
      }
    }
  }

  /** Jobs that run are called off at once; some of their machines hang at that moment. */
  private static void cancelSome(
      SimulatedCluster cluster, List<SimulatedCluster.Job> jobs, int most, long hangMs) {
    int left = most;
    for (SimulatedCluster.Job job : jobs) {
      if (left > 0 && cluster.rules.on(job.id) > 0) {
        left--;
        cluster.time.after(cluster.time.between(0, 200), () -> cluster.cancel(job));
        if (hangMs > 0) {
          cluster.cloud.machines.values().stream()
              .filter(machine -> machine.holds(job.id + "/0"))
              .forEach(machine -> machine.hang(hangMs));
        }
      }
    }
  }

  private static void trouble(SimulatedCluster cluster, List<SimulatedCluster.Job> jobs) {
    SimulatedTime time = cluster.time;
    List<SimulatedWorker> machines = List.copyOf(cluster.cloud.machines.values());
    SimulatedWorker machine =
        machines.isEmpty() ? null : machines.get((int) time.between(0, machines.size() - 1));
    String label = cluster.labels().get((int) time.between(0, 2));
    int kind = (int) time.between(0, 20);
    LOG.debug(
        "{} ms: trouble {} {} {}", time.now(), kind, label, machine == null ? "" : machine.id);
    switch (kind) {
      case 0 -> {
        cluster.trouble(10_000);
        cluster.kill(label, time.between(3000, 8000));
      }
      case 1 -> {
        cluster.trouble(10_000);
        cluster.labels().forEach(one -> cluster.kill(one, time.between(3000, 8000)));
      }
      case 2 -> {
        cluster.trouble(60_000);
        cluster.kill(label, time.between(40_000, 60_000));
      }
      case 3 -> {
        cluster.trouble(10_000);
        cluster.kill(label, time.between(50, 300));
      }
      case 4 -> {
        long ms = time.between(5000, 40_000);
        cluster.trouble(ms);
        cluster.state.outage(ms);
      }
      case 5 -> {
        long ms = time.between(5000, 40_000);
        cluster.trouble(ms);
        cluster.net.cut("a", "b", ms);
      }
      case 6 -> {
        if (machine != null) {
          machine.hang(time.between(5000, 40_000));
        }
      }
      case 7 -> {
        if (machine != null) {
          machine.die();
        }
      }
      case 8 -> cluster.state.compact();
      case 9 -> {
        long ms = time.between(5000, 70_000);
        cluster.trouble(ms);
        cluster.isolate(label, ms);
      }
      case 10 -> { // a wave of takings, with no notice
        for (SimulatedWorker taken : machines) {
          if (taken.spot && time.chance(0.6)) {
            cluster.cloud.remove(taken.id);
          }
        }
      }
      case 11 -> { // loses the state service and the others, but not its workers
        long ms = time.between(5000, 70_000);
        cluster.trouble(ms);
        cluster.lose(label, ms, "state", "peers");
      }
      case 12 -> {
        long ms = time.between(5000, 70_000);
        cluster.trouble(ms);
        cluster.lose(label, ms, "state", "peers", "workers", "cloud", "users");
      }
      case 13 -> {
        long ms = time.between(5000, 70_000);
        cluster.trouble(ms);
        cluster.lose(label, ms, "workers");
      }
      case 14 -> {
        for (String one : cluster.labels()) {
          cluster.lose(one, time.between(5000, 40_000), "peers");
        }
      }
      case 15 -> {
        cluster.trouble(30_000);
        cluster.net.slow(SimulatedCluster.STATE, time.between(100, 1000), 30_000);
      }
      case 16 -> {
        if (machine != null) {
          machine.deafen(time.between(5000, 70_000));
        }
      }
      case 17 -> { // one is gone for long, and who takes over is back again and again at once
        cluster.trouble(70_000);
        cluster.kill(label, 60_000);
        for (String other : cluster.labels()) {
          for (int i = 0; i < 3; i++) {
            time.after(
                time.between(24_000, 34_000),
                () -> {
                  if (!other.equals(label)) {
                    cluster.kill(other, time.between(50, 400));
                  }
                });
          }
        }
      }
      case 18 -> { // stands still while its clocks run on
        long ms = time.between(1000, 70_000);
        cluster.trouble(ms);
        cluster.freeze(label, ms);
      }
      case 19 -> { // all held packets of a zone at once, amid restarts
        long ms = time.between(20_000, 60_000);
        cluster.trouble(ms + 10_000);
        cluster.net.cut("a", "b", ms);
        cluster.net.cut("b", "regional", ms);
        time.after(
            ms - 500,
            () -> cluster.labels().forEach(one -> cluster.kill(one, time.between(50, 400))));
      }
      default -> {
        if (machine != null) {
          machine.failsTasks = true;
        }
      }
    }
  }
}
