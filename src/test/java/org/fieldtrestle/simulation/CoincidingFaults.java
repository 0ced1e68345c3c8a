package org.fieldtrestle.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Faults that do harm where they coincide with another one; one is drawn at a time. */
final class CoincidingFaults {
  private static final Logger LOG = LoggerFactory.getLogger(CoincidingFaults.class);

  /** The order decides which fault a random number stands for. */
  private static final List<Consumer<CoincidingFaults>> FAULTS =
      List.of(
          CoincidingFaults::refuseOneThenAllDuringCancellations,
          CoincidingFaults::executeTransactionsLate,
          CoincidingFaults::blockHeartbeatsOfMachines,
          CoincidingFaults::freezeBeforeSending,
          CoincidingFaults::cancelWhileMachinesHang,
          CoincidingFaults::cancelJobsAsTheyEnd,
          CoincidingFaults::killAllForLongerThanALease,
          CoincidingFaults::repeatHeartbeatsEverywhere);

  private final SimulatedCluster cluster;
  private final SimulatedTime time;
  private final List<SimulatedJob> jobs;
  private final String label;

  private CoincidingFaults(SimulatedCluster cluster, List<SimulatedJob> jobs) {
    this.cluster = cluster;
    this.time = cluster.time;
    this.jobs = jobs;
    this.label = cluster.labels().get((int) time.between(0, cluster.labels().size() - 1));
  }

  /** Injects a fault now. */
  static void inject(SimulatedCluster cluster, List<SimulatedJob> jobs) {
    CoincidingFaults faults = new CoincidingFaults(cluster, jobs);
    int kind = (int) cluster.time.between(0, FAULTS.size() - 1);
    LOG.debug("{} ms: coinciding fault {} {}", cluster.time.now(), kind, faults.label);
    FAULTS.get(kind).accept(faults);
  }

  private void refuseOneThenAllDuringCancellations() {
    cluster.faults.note(cluster.cancelMs + 20_000);
    cluster.faults.refuseStoreRequests(label, 14_000);
    time.after(500, () -> cancelRunning(4, 0));
    time.after(2000, () -> cluster.store.outage(cluster.cancelMs + 12_000));
  }

  private void executeTransactionsLate() {
    cluster.faults.note(45_000);
    cluster.store.delayCommits(0.3);
    time.after(30_000, () -> cluster.store.delayCommits(0));
  }

  private void blockHeartbeatsOfMachines() {
    long ms = time.between(5000, 50_000);
    cluster.faults.note(ms);
    for (SimulatedWorker machine : cluster.machines()) {
      if (time.chance(0.4)) {
        machine.faults.blockHeartbeats(ms);
      }
    }
  }

  private void freezeBeforeSending() {
    long ms = time.between(2000, 60_000);
    cluster.faults.note(ms);
    cluster.faults.freezeBeforeSending(label, ms);
  }

  private void cancelWhileMachinesHang() {
    cluster.faults.note(40_000);
    cancelRunning(6, time.between(3000, 40_000));
  }

  private void cancelJobsAsTheyEnd() {
    cluster.users.cancelAtEnd(0.5);
    time.after(30_000, () -> cluster.users.cancelAtEnd(0));
  }

  private void killAllForLongerThanALease() {
    cluster.faults.note(cluster.leaseMs + 20_000);
    cluster
        .labels()
        .forEach(one -> cluster.faults.kill(one, cluster.leaseMs + time.between(-900, 9000)));
  }

  /** Copies of the present heartbeats arrive at all controllers, whichever leads later. */
  private void repeatHeartbeatsEverywhere() {
    List<byte[]> copies = new ArrayList<>();
    cluster.machines().forEach(machine -> copies.add(machine.lastHeartbeat()));
    for (int i = 0; i < 10; i++) {
      time.after(
          time.between(2000, 2 * cluster.leaseMs),
          () ->
              copies.forEach(
                  copy -> cluster.labels().forEach(one -> cluster.deliverCopy(one, copy))));
    }
  }

  /** Cancels running jobs at about the same time; the machines of their first tasks may hang. */
  private void cancelRunning(int maxJobs, long hangMs) {
    int left = maxJobs;
    for (SimulatedJob job : jobs) {
      if (left > 0 && cluster.invariants.runningTasksOf(job.id()) > 0) {
        left--;
        time.after(time.between(0, 200), () -> cluster.users.cancel(job));
        if (hangMs > 0) {
          cluster.machines().stream()
              .filter(machine -> machine.holds(job.task(0)))
              .forEach(machine -> machine.faults.hang(hangMs));
        }
      }
    }
  }
}
