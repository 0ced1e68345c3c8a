package org.fieldtrestle.simulation;

import java.util.function.IntFunction;

/** Builds a {@link SimulatedCluster}, by default a small one with short leases. */
final class SimulatedClusterBuilder {
  private long seed = 1;
  private int machines = 12;
  private Deployment deployment = Deployment.small(2500, 16_000, 46_000);
  private IntFunction<String> workerAddress = ClusterLayout.WORKER_ADDRESS;

  /** Sets the seed, which decides everything that is random. */
  SimulatedClusterBuilder seed(long value) {
    seed = value;
    return this;
  }

  /** Sets how many machines the cloud can give. */
  SimulatedClusterBuilder machines(int count) {
    machines = count;
    return this;
  }

  SimulatedClusterBuilder deployment(Deployment value) {
    deployment = value;
    return this;
  }

  /** Sets a deployment of few machines with these times. */
  SimulatedClusterBuilder timing(long heartbeatIntervalMs, long leaseMs, long cancelMs) {
    return deployment(Deployment.small(heartbeatIntervalMs, leaseMs, cancelMs));
  }

  /** Sets the address of the worker on the machine that was rented as the n-th. */
  SimulatedClusterBuilder workerAddress(IntFunction<String> address) {
    workerAddress = address;
    return this;
  }

  /** Builds a cluster and starts its controllers. */
  SimulatedCluster start() {
    SimulatedCluster cluster = buildWithoutControllers();
    cluster.startAll();
    return cluster;
  }

  /** Builds everything but the controllers, which are real processes elsewhere. */
  SimulatedCluster buildWithoutControllers() {
    return new SimulatedCluster(seed, machines, deployment, workerAddress);
  }
}
