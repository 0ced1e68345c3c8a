package org.fieldtrestle.simulation;

import java.util.List;
import java.util.function.Consumer;

/** Faults of production scale: they affect whole controllers, the store or half of the machines. */
final class ProductionFaults {
  /** The order determines which fault a random number selects. */
  private static final List<Consumer<ProductionFaults>> FAULTS =
      List.of(
          ProductionFaults::restartAllControllers,
          ProductionFaults::killAllControllersButOne,
          ProductionFaults::storeOutage,
          ProductionFaults::refuseStoreRequests,
          ProductionFaults::disconnectControllerFromStoreAndPeers,
          ProductionFaults::slowStore,
          ProductionFaults::loseHalfOfTheMachines,
          ProductionFaults::freezeController,
          ProductionFaults::executeTransactionsLate);

  private final SimulatedCluster cluster;
  private final SimulatedTime time;

  /** The label of the controller that the fault affects. */
  private final String label;

  private ProductionFaults(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.time = cluster.time;
    this.label = cluster.labels().get((int) time.between(0, cluster.labels().size() - 1));
  }

  /** Draws a kind of fault at random. */
  static int drawKind(SimulatedTime time) {
    return (int) time.between(0, FAULTS.size() - 1);
  }

  /** Injects a fault of the given kind now. */
  static void inject(SimulatedCluster cluster, int kind) {
    FAULTS.get(kind).accept(new ProductionFaults(cluster));
  }

  private void restartAllControllers() {
    cluster.faults.note(20_000);
    cluster
        .labels()
        .forEach(controller -> cluster.faults.kill(controller, time.between(3000, 8000)));
  }

  private void killAllControllersButOne() {
    cluster.faults.note(60_000);
    cluster.labels().stream()
        .filter(controller -> !controller.equals(label))
        .forEach(controller -> cluster.faults.kill(controller, 50_000));
  }

  private void storeOutage() {
    cluster.faults.note(60_000);
    cluster.store.outage(60_000);
  }

  private void refuseStoreRequests() {
    cluster.faults.note(70_000);
    cluster.faults.refuseStoreRequests(label, 70_000);
  }

  private void disconnectControllerFromStoreAndPeers() {
    cluster.faults.note(70_000);
    cluster.faults.disconnect(label, 70_000, Link.STORE, Link.PEERS);
  }

  private void slowStore() {
    cluster.faults.note(30_000);
    cluster.network.slow(ClusterLayout.STORE_ADDRESS, 400, 30_000);
  }

  private void loseHalfOfTheMachines() {
    cluster.faults.note(5000);
    for (SimulatedWorker machine : cluster.machines()) {
      if (time.chance(0.5)) {
        cluster.cloud.remove(machine.id);
      }
    }
  }

  private void freezeController() {
    cluster.faults.note(70_000);
    cluster.faults.freeze(label, 70_000);
  }

  private void executeTransactionsLate() {
    cluster.faults.note(45_000);
    cluster.store.delayCommits(0.3);
    time.after(30_000, () -> cluster.store.delayCommits(0));
  }
}
