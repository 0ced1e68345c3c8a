package org.fieldtrestle.simulation;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Faults of a controller, of a machine or of the whole cluster. One is drawn at random. */
final class RandomFaults {
  private static final Logger LOG = LoggerFactory.getLogger(RandomFaults.class);

  private static final long MIN_RESTART_MS = 3000;
  private static final long MAX_RESTART_MS = 8000;

  /** The order determines which fault a random number selects. */
  private static final List<Consumer<RandomFaults>> FAULTS =
      List.of(
          RandomFaults::restartController,
          RandomFaults::restartAllControllers,
          RandomFaults::killControllerForLongTime,
          RandomFaults::restartControllerQuickly,
          RandomFaults::storeOutage,
          RandomFaults::partitionZones,
          RandomFaults::hangMachine,
          RandomFaults::loseMachine,
          RandomFaults::compactStore,
          RandomFaults::refuseStoreRequests,
          RandomFaults::reclaimSpotMachines,
          RandomFaults::disconnectControllerFromStoreAndPeers,
          RandomFaults::isolateController,
          RandomFaults::disconnectControllerFromWorkers,
          RandomFaults::disconnectControllersFromEachOther,
          RandomFaults::slowStore,
          RandomFaults::blockMessagesToMachine,
          RandomFaults::restartNewLeadersRepeatedly,
          RandomFaults::freezeController,
          RandomFaults::endPartitionsDuringRestarts,
          RandomFaults::failTasksOfMachine);

  private final SimulatedCluster cluster;
  private final SimulatedTime time;
  private final List<SimulatedWorker> machines;

  /** The machine that the fault affects; empty if there are no machines. */
  private final Optional<SimulatedWorker> machine;

  /** The label of the controller that the fault affects. */
  private final String label;

  private RandomFaults(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.time = cluster.time;
    this.machines = cluster.machines();
    this.machine =
        machines.isEmpty()
            ? Optional.empty()
            : Optional.of(machines.get((int) time.between(0, machines.size() - 1)));
    this.label = cluster.labels().get((int) time.between(0, cluster.labels().size() - 1));
  }

  /** Injects a randomly drawn fault now. */
  static void inject(SimulatedCluster cluster) {
    RandomFaults faults = new RandomFaults(cluster);
    int kind = (int) cluster.time.between(0, FAULTS.size() - 1);
    LOG.debug(
        "{} ms: injecting fault {}, controller {}, machine {}",
        cluster.time.now(),
        kind,
        faults.label,
        faults.machine.map(worker -> worker.id).orElse(""));
    FAULTS.get(kind).accept(faults);
  }

  // ---- controllers

  private void restartController() {
    cluster.faults.note(10_000);
    cluster.faults.kill(label, time.between(MIN_RESTART_MS, MAX_RESTART_MS));
  }

  private void restartAllControllers() {
    cluster.faults.note(10_000);
    cluster
        .labels()
        .forEach(
            controller ->
                cluster.faults.kill(controller, time.between(MIN_RESTART_MS, MAX_RESTART_MS)));
  }

  private void killControllerForLongTime() {
    cluster.faults.note(60_000);
    cluster.faults.kill(label, time.between(40_000, 60_000));
  }

  private void restartControllerQuickly() {
    cluster.faults.note(10_000);
    cluster.faults.kill(label, time.between(50, 300));
  }

  private void refuseStoreRequests() {
    long durationMs = time.between(5000, 70_000);
    cluster.faults.note(durationMs);
    cluster.faults.refuseStoreRequests(label, durationMs);
  }

  private void disconnectControllerFromStoreAndPeers() {
    disconnectController(Link.STORE, Link.PEERS);
  }

  private void isolateController() {
    disconnectController(Link.STORE, Link.PEERS, Link.WORKERS, Link.CLOUD, Link.USERS);
  }

  private void disconnectControllerFromWorkers() {
    disconnectController(Link.WORKERS);
  }

  private void disconnectController(Link... links) {
    long durationMs = time.between(5000, 70_000);
    cluster.faults.note(durationMs);
    cluster.faults.disconnect(label, durationMs, links);
  }

  private void disconnectControllersFromEachOther() {
    for (String controller : cluster.labels()) {
      cluster.faults.disconnect(controller, time.between(5000, 40_000), Link.PEERS);
    }
  }

  private void restartNewLeadersRepeatedly() {
    cluster.faults.note(70_000);
    cluster.faults.kill(label, 60_000);
    for (String other : cluster.labels()) {
      for (int i = 0; i < 3; i++) {
        time.after(
            time.between(24_000, 34_000),
            () -> {
              if (!other.equals(label)) {
                cluster.faults.kill(other, time.between(50, 400));
              }
            });
      }
    }
  }

  private void freezeController() {
    long durationMs = time.between(1000, 70_000);
    cluster.faults.note(durationMs);
    cluster.faults.freeze(label, durationMs);
  }

  // ---- key-value store and network

  private void storeOutage() {
    long durationMs = time.between(5000, 40_000);
    cluster.faults.note(durationMs);
    cluster.store.outage(durationMs);
  }

  private void compactStore() {
    cluster.store.compact();
  }

  private void slowStore() {
    cluster.faults.note(30_000);
    cluster.network.slow(ClusterLayout.STORE_ADDRESS, time.between(100, 1000), 30_000);
  }

  private void partitionZones() {
    long durationMs = time.between(5000, 40_000);
    cluster.faults.note(durationMs);
    cluster.network.partition("a", "b", durationMs);
  }

  /** All messages that a partition has held back arrive at once while the controllers restart. */
  private void endPartitionsDuringRestarts() {
    long durationMs = time.between(20_000, 60_000);
    cluster.faults.note(durationMs + 10_000);
    cluster.network.partition("a", "b", durationMs);
    cluster.network.partition("b", ClusterLayout.REGIONAL_ZONE, durationMs);
    time.after(
        durationMs - 500,
        () ->
            cluster
                .labels()
                .forEach(controller -> cluster.faults.kill(controller, time.between(50, 400))));
  }

  // ---- machines

  private void hangMachine() {
    machine.ifPresent(worker -> worker.faults.hang(time.between(5000, 40_000)));
  }

  private void blockMessagesToMachine() {
    machine.ifPresent(worker -> worker.faults.blockIncoming(time.between(5000, 70_000)));
  }

  private void failTasksOfMachine() {
    machine.ifPresent(worker -> worker.faults.failTasks());
  }

  private void loseMachine() {
    machine.ifPresent(SimulatedWorker::fail);
  }

  /** The cloud reclaims many spot machines without notice. */
  private void reclaimSpotMachines() {
    for (SimulatedWorker worker : machines) {
      if (worker.spot && time.chance(0.6)) {
        cluster.cloud.remove(worker.id);
      }
    }
  }
}
