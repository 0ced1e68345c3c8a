package org.fieldtrestle.simulation;

import static org.fieldtrestle.simulation.Scenarios.assertCancelled;
import static org.fieldtrestle.simulation.Scenarios.assertDone;
import static org.fieldtrestle.simulation.Scenarios.assertNoViolations;
import static org.fieldtrestle.simulation.Scenarios.startCluster;
import static org.fieldtrestle.simulation.Scenarios.submit;
import static org.fieldtrestle.simulation.Scenarios.submitJobs;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Single faults of machines, and what must not pass for one: only faulty machines are replaced. */
class WorkerFaultsTest {
  @Test
  void machineThatReceivesNothingIsReturned() {
    // Heartbeats so rare that trying one controller after the other does not yet count as silence.
    SimulatedCluster cluster =
        SimulatedCluster.builder().seed(23).machines(12).timing(6000, 34_000, 64_000).start();
    submit(cluster, "job-1", 600, 20_000);
    cluster.time.runUntil(60_000);
    String deaf = cluster.cloud.machines.firstKey();
    cluster.cloud.machines.get(deaf).faults.deafen(600_000);
    cluster.time.runUntil(165_000);
    assertFalse(cluster.cloud.machines.containsKey(deaf), "its heartbeats prove nothing");
    cluster.time.runUntil(400_000);
    assertNoViolations(cluster);
    assertDone(cluster, "job-1");
  }

  @Test
  void cancelledTasksStopOnAMachineThatReceivesNothing() {
    SimulatedCluster cluster = startCluster(12);
    submit(cluster, "job-1", 8, 300_000);
    cluster.time.runUntil(30_000);
    assertTrue(cluster.invariants.starts() > 0);
    cluster.cloud.machines.values().forEach(machine -> machine.faults.deafen(120_000));
    cluster.users.cancel(cluster.jobs.get("job-1"));
    cluster.time.runUntil(200_000);
    assertNoViolations(cluster);
    assertCancelled(cluster, "job-1");
  }

  @Test
  void jobEndsWhenCopiesOfHeartbeatsOutliveTheirMachine() {
    SimulatedCluster cluster = startCluster(12);
    submit(cluster, "job-1", 48, 25_000);
    cluster.time.runUntil(25_000);
    cluster.network.repeatHeartbeats(1, 30);
    cluster.time.runUntil(30_000);
    // Copies of its last heartbeats arrive until well after its lease, while it sends none itself.
    String hanging = cluster.cloud.machines.firstKey();
    cluster.cloud.machines.get(hanging).faults.hang(600_000);
    // Its return is not to be had either: only its lease tells when its tasks are gone.
    cluster.labels().forEach(label -> cluster.faults.disconnect(label, 600_000, Link.CLOUD));
    cluster.time.runUntil(100_000);
    assertNoViolations(cluster);
    assertDone(cluster, "job-1");
  }

  @Test
  void returnedMachineStaysGoneWhenCopiesOfItsHeartbeatsArrive() {
    SimulatedCluster cluster = startCluster(12);
    cluster.network.repeatHeartbeats(0.5, 10);
    submit(cluster, "job-1", 16, 4000);
    // Controllers that have forgotten which machines were returned.
    cluster.time.after(
        70_000, () -> cluster.labels().forEach(label -> cluster.faults.kill(label, 200)));
    Map<String, Integer> checksWhileGone = new HashMap<>();
    for (long at = 76_000; at < 130_000; at += 1000) {
      cluster.time.runUntil(at);
      Set<String> counted = new HashSet<>(cluster.store.machinesInInventories());
      counted.removeAll(cluster.cloud.machines.keySet());
      checksWhileGone.keySet().retainAll(counted);
      for (String gone : counted) { // a return may be known a moment before it is written
        assertTrue(checksWhileGone.merge(gone, 1, Integer::sum) < 6, gone + " is back at " + at);
      }
    }
    assertNoViolations(cluster);
    assertDone(cluster, "job-1");
  }

  @Test
  void noMachineIsReplacedAfterARestartOfAllControllers() {
    SimulatedCluster cluster = startCluster(12);
    submitJobs(cluster, 3, 60, 40_000);
    cluster.time.runUntil(45_000);
    int before = cluster.cloud.rentedEver();
    cluster.labels().forEach(label -> cluster.faults.kill(label, 500));
    // Found tasks end soon after; what is placed next takes its whole time.
    cluster.time.runUntil(100_000);
    assertNoViolations(cluster);
    assertEquals(before, cluster.cloud.rentedEver(), "no machine had to be replaced");
  }

  @Test
  void noMachineIsReplacedAfterAPauseOfAllControllers() {
    // Shorter than a lease, so that nothing is lost by it; at every step of what it does in turn.
    for (long at = 0; at < 2500; at += 250) {
      SimulatedCluster cluster = startBusyCluster();
      int rented = cluster.cloud.rentedEver();
      int starts = cluster.invariants.starts();
      cluster.time.runUntil(60_000 + at);
      cluster.labels().forEach(label -> cluster.faults.freeze(label, 11_500));
      cluster.time.runUntil(120_000);
      assertNoViolations(cluster);
      assertEquals(
          rented, cluster.cloud.rentedEver(), "its own pause, not the machines', at " + at);
      assertEquals(starts, cluster.invariants.starts(), "nothing was lost by it at " + at);
    }
  }

  @Test
  void noMachineIsReplacedAfterALongStoreOutage() {
    SimulatedCluster cluster = startBusyCluster();
    int rented = cluster.cloud.rentedEver();
    cluster.faults.note(60_000);
    cluster.store.outage(45_000); // longer than controllers and workers may go on without it
    cluster.time.runUntil(180_000);
    assertNoViolations(cluster);
    assertEquals(rented, cluster.cloud.rentedEver(), "the machines are as good as before");
  }

  @Test
  void runningTasksCauseNoScaleOutAfterARestart() {
    SimulatedCluster cluster = startCluster(100);
    submit(cluster, "job-1", 192, 100_000);
    cluster.time.runUntil(70_000);
    int rented = cluster.cloud.rentedEver();
    cluster.labels().forEach(label -> cluster.faults.kill(label, 500));
    for (int i = 2; i < 8; i++) {
      int number = i;
      cluster.time.after(i * 3000L, () -> submit(cluster, "job-" + number, 2, 20_000));
    }
    cluster.time.runUntil(110_000);
    assertNoViolations(cluster);
    int more = cluster.cloud.rentedEver() - rented;
    assertTrue(more <= rented / 2, "not a second fleet: " + more + " beside " + rented);
  }

  /** A steady fleet, all of whose machines have work for longer than the test looks. */
  private static SimulatedCluster startBusyCluster() {
    SimulatedCluster cluster = startCluster(12);
    submit(cluster, "job-1", 48, 400_000);
    cluster.time.runUntil(60_000);
    assertTrue(cluster.invariants.starts() >= 24, "the fleet is up");
    return cluster;
  }
}
