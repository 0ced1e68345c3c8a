package org.fieldtrestle.simulation;

import java.util.function.IntFunction;

/** Builds a {@link SimulatedCluster}, by default a small one with short leases. */
final class SimulatedClusterBuilder {
  private long seed = 1;
  private int machines = 12;
  private Deployment deployment = Deployment.small(2500, 16_000, 46_000);
  private IntFunction<String> workerAddress = ClusterLayout.WORKER_ADDRESS;

  /** Sets the seed of all random draws. */
  SimulatedClusterBuilder seed(long value) {
    seed = value;
    return this;
  }

  /** Sets how many machines can be rented at the same time. */
  SimulatedClusterBuilder machines(int count) {
    machines = count;
    return this;
  }

  SimulatedClusterBuilder deployment(Deployment value) {
    deployment = value;
    return this;
  }

  /** Sets a deployment for a few machines with this timing. */
  SimulatedClusterBuilder timing(long heartbeatIntervalMs, long leaseMs, long cancellationTimeMs) {
    return deployment(Deployment.small(heartbeatIntervalMs, leaseMs, cancellationTimeMs));
  }

  /** Sets the address of the worker on the n-th machine that is rented. */
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

  /** Builds everything except the controllers, which are real processes. */
  SimulatedCluster buildWithoutControllers() {
    return new SimulatedCluster(seed, machines, deployment, workerAddress);
  }
}
