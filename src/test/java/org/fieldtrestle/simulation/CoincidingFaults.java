package org.fieldtrestle.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Faults that are dangerous when they coincide with another one. One is drawn at random. */
final class CoincidingFaults {
  private static final Logger LOG = LoggerFactory.getLogger(CoincidingFaults.class);

  /** The order determines which fault a random number selects. */
  private static final List<Consumer<CoincidingFaults>> FAULTS =
      List.of(
          CoincidingFaults::refuseOneThenAllDuringCancellations,
          CoincidingFaults::executeTransactionsLate,
          CoincidingFaults::blockHeartbeatsOfMachines,
          CoincidingFaults::freezeBeforeSending,
          CoincidingFaults::cancelWhileMachinesHang,
          CoincidingFaults::cancelJobsAsTheyEnd,
          CoincidingFaults::restartAllAfterALease,
          CoincidingFaults::repeatHeartbeatsAtAllControllers);

  private final SimulatedCluster cluster;
  private final SimulatedTime time;
  private final List<SimulatedJob> jobs;

  /** The label of the controller that the fault affects. */
  private final String label;

  private CoincidingFaults(SimulatedCluster cluster, List<SimulatedJob> jobs) {
    this.cluster = cluster;
    this.time = cluster.time;
    this.jobs = jobs;
    this.label = cluster.labels().get((int) time.between(0, cluster.labels().size() - 1));
  }

  /** Injects a randomly drawn fault now. */
  static void inject(SimulatedCluster cluster, List<SimulatedJob> jobs) {
    CoincidingFaults faults = new CoincidingFaults(cluster, jobs);
    int kind = (int) cluster.time.between(0, FAULTS.size() - 1);
    LOG.debug("{} ms: injecting coinciding fault {} at {}", cluster.time.now(), kind, faults.label);
    FAULTS.get(kind).accept(faults);
  }

  private void refuseOneThenAllDuringCancellations() {
    cluster.faults.note(cluster.cancelMs + 20_000);
    cluster.faults.refuseStoreRequests(label, 14_000);
    time.after(500, () -> cancelRunningJobs(4, 0));
    time.after(2000, () -> cluster.store.outage(cluster.cancelMs + 12_000));
  }

  private void executeTransactionsLate() {
    cluster.faults.note(45_000);
    cluster.store.delayCommits(0.3);
    time.after(30_000, () -> cluster.store.delayCommits(0));
  }

  private void blockHeartbeatsOfMachines() {
    long durationMs = time.between(5000, 50_000);
    cluster.faults.note(durationMs);
    for (SimulatedWorker machine : cluster.machines()) {
      if (time.chance(0.4)) {
        machine.faults.blockHeartbeats(durationMs);
      }
    }
  }

  private void freezeBeforeSending() {
    long durationMs = time.between(2000, 60_000);
    cluster.faults.note(durationMs);
    cluster.faults.freezeBeforeSending(label, durationMs);
  }

  private void cancelWhileMachinesHang() {
    cluster.faults.note(40_000);
    cancelRunningJobs(6, time.between(3000, 40_000));
  }

  private void cancelJobsAsTheyEnd() {
    cluster.users.cancelAtEnd(0.5);
    time.after(30_000, () -> cluster.users.cancelAtEnd(0));
  }

  private void restartAllAfterALease() {
    cluster.faults.note(cluster.leaseMs + 20_000);
    cluster
        .labels()
        .forEach(
            controller ->
                cluster.faults.kill(controller, cluster.leaseMs + time.between(-900, 9000)));
  }

  /** Delivers copies of the current heartbeats to all controllers later, leaders or not. */
  private void repeatHeartbeatsAtAllControllers() {
    List<byte[]> copies = new ArrayList<>();
    cluster.machines().forEach(machine -> copies.add(machine.lastHeartbeat()));
    for (int i = 0; i < 10; i++) {
      time.after(
          time.between(2000, 2 * cluster.leaseMs),
          () ->
              copies.forEach(
                  copy ->
                      cluster
                          .labels()
                          .forEach(controller -> cluster.deliverCopy(controller, copy))));
    }
  }

  /**
   * Cancels running jobs at about the same time.
   *
   * @param hangMs how long the machines of their first tasks hang; 0 if they do not
   */
  private void cancelRunningJobs(int maxJobs, long hangMs) {
    int remaining = maxJobs;
    for (SimulatedJob job : jobs) {
      if (remaining > 0 && cluster.invariants.runningTasksOf(job.id()) > 0) {
        remaining--;
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
