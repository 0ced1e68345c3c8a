package org.fieldtrestle.simulation;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Faults of one controller, one machine or the whole cluster, of which one is drawn at a time. */
final class RandomFaults {
  private static final Logger LOG = LoggerFactory.getLogger(RandomFaults.class);

  private static final long RESTART_MIN_MS = 3000;
  private static final long RESTART_MAX_MS = 8000;

  /** The order decides which fault a random number stands for. */
  private static final List<Consumer<RandomFaults>> FAULTS =
      List.of(
          RandomFaults::restartController,
          RandomFaults::restartAllControllers,
          RandomFaults::killControllerForLong,
          RandomFaults::restartControllerAtOnce,
          RandomFaults::storeOutage,
          RandomFaults::partitionZones,
          RandomFaults::hangMachine,
          RandomFaults::loseMachine,
          RandomFaults::compactStore,
          RandomFaults::refuseController,
          RandomFaults::reclaimSpotMachines,
          RandomFaults::leaveControllerItsWorkersOnly,
          RandomFaults::isolateController,
          RandomFaults::cutControllerFromWorkers,
          RandomFaults::cutControllersFromEachOther,
          RandomFaults::slowStore,
          RandomFaults::deafenMachine,
          RandomFaults::restartNewLeadersAgainAndAgain,
          RandomFaults::freezeController,
          RandomFaults::partitionZonesAmidRestarts,
          RandomFaults::failTasksOfMachine);

  private final SimulatedCluster cluster;
  private final SimulatedTime time;
  private final List<SimulatedWorker> machines;
  private final Optional<SimulatedWorker> machine;
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

  /** Injects a fault now. */
  static void inject(SimulatedCluster cluster) {
    RandomFaults faults = new RandomFaults(cluster);
    int kind = (int) cluster.time.between(0, FAULTS.size() - 1);
    LOG.debug(
        "{} ms: fault {} {} {}",
        cluster.time.now(),
        kind,
        faults.label,
        faults.machine.map(machine -> machine.id).orElse(""));
    FAULTS.get(kind).accept(faults);
  }

  // ---- controllers

  private void restartController() {
    cluster.faults.note(10_000);
    cluster.faults.kill(label, time.between(RESTART_MIN_MS, RESTART_MAX_MS));
  }

  private void restartAllControllers() {
    cluster.faults.note(10_000);
    cluster
        .labels()
        .forEach(one -> cluster.faults.kill(one, time.between(RESTART_MIN_MS, RESTART_MAX_MS)));
  }

  private void killControllerForLong() {
    cluster.faults.note(60_000);
    cluster.faults.kill(label, time.between(40_000, 60_000));
  }

  private void restartControllerAtOnce() {
    cluster.faults.note(10_000);
    cluster.faults.kill(label, time.between(50, 300));
  }

  private void refuseController() {
    long ms = time.between(5000, 70_000);
    cluster.faults.note(ms);
    cluster.faults.refuse(label, ms);
  }

  private void leaveControllerItsWorkersOnly() {
    disconnectController(Link.STORE, Link.PEERS);
  }

  private void isolateController() {
    disconnectController(Link.STORE, Link.PEERS, Link.WORKERS, Link.CLOUD, Link.USERS);
  }

  private void cutControllerFromWorkers() {
    disconnectController(Link.WORKERS);
  }

  private void disconnectController(Link... links) {
    long ms = time.between(5000, 70_000);
    cluster.faults.note(ms);
    cluster.faults.disconnect(label, ms, links);
  }

  private void cutControllersFromEachOther() {
    for (String one : cluster.labels()) {
      cluster.faults.disconnect(one, time.between(5000, 40_000), Link.PEERS);
    }
  }

  private void restartNewLeadersAgainAndAgain() {
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
    long ms = time.between(1000, 70_000);
    cluster.faults.note(ms);
    cluster.faults.freeze(label, ms);
  }

  // ---- key-value store and network

  private void storeOutage() {
    long ms = time.between(5000, 40_000);
    cluster.faults.note(ms);
    cluster.store.outage(ms);
  }

  private void compactStore() {
    cluster.store.compact();
  }

  private void slowStore() {
    cluster.faults.note(30_000);
    cluster.network.slow(ClusterLayout.STORE_ADDRESS, time.between(100, 1000), 30_000);
  }

  private void partitionZones() {
    long ms = time.between(5000, 40_000);
    cluster.faults.note(ms);
    cluster.network.partition("a", "b", ms);
  }

  /** All packets held by a partition arrive at once while controllers restart. */
  private void partitionZonesAmidRestarts() {
    long ms = time.between(20_000, 60_000);
    cluster.faults.note(ms + 10_000);
    cluster.network.partition("a", "b", ms);
    cluster.network.partition("b", ClusterLayout.REGIONAL_ZONE, ms);
    time.after(
        ms - 500,
        () -> cluster.labels().forEach(one -> cluster.faults.kill(one, time.between(50, 400))));
  }

  // ---- machines

  private void hangMachine() {
    machine.ifPresent(one -> one.faults.hang(time.between(5000, 40_000)));
  }

  private void deafenMachine() {
    machine.ifPresent(one -> one.faults.deafen(time.between(5000, 70_000)));
  }

  private void failTasksOfMachine() {
    machine.ifPresent(one -> one.faults.failTasks());
  }

  private void loseMachine() {
    machine.ifPresent(SimulatedWorker::fail);
  }

  /** The cloud takes many spot machines back without notice. */
  private void reclaimSpotMachines() {
    for (SimulatedWorker one : machines) {
      if (one.spot && time.chance(0.6)) {
        cluster.cloud.remove(one.id);
      }
    }
  }
}
