package org.fieldtrestle.config;

import java.util.ArrayList;
import java.util.List;

/** What a controller is told by the platform's file, in this project's terms. */
public record Settings(
    String label,
    String zone,
    String userAddress,
    String peerAddress,
    List<Peer> peers,
    String cloudAddress,
    String stateAddress,
    List<String> zones,
    double clockOffMs,
    List<Team> teams,
    List<Objective> objectives,
    Workers workers,
    State state,
    Cloud cloud,
    Limits limits) {

  /** Another controller. */
  public record Peer(String label, String zone, String address) {}

  /** A team; a limit of 0 is none. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

  /** An aim for a class of jobs; it steers nothing that a rule decides. */
  public record Objective(
      String kind, String jobClass, double share, double times, double withinS) {}

  public record Workers(double heartbeatIntervalS, double leaseS, double cancelS) {}

  public record State(double rps, double writeRps, double valueKb, int txnOps) {}

  public record Cloud(double rps, double listLagS) {}

  public record Limits(double cpuShare, double memoryMb, int maxConnections) {}

  /** Steady clocks of two machines differ by no more than this share; doubled for safety. */
  public static final double DRIFT = 0.001;

  /**
   * How long a controller may act on one renewal of its lease at the state service. Whatever it
   * last told a worker is over by then plus the worker's lease, and that has to be within the time
   * a cancellation has; a twentieth of it is kept for processing and drift.
   */
  public long stateLeaseMs() {
    return Math.round(
        (workers.cancelS() * 0.95 - workers.leaseS() * (1 + DRIFT)) * 1000 * (1 - DRIFT));
  }

  /** So many heartbeat intervals of the workers, in ms. */
  public long heartbeatIntervalsMs(double count) {
    return Math.round(workers.heartbeatIntervalS() * 1000 * count);
  }

  public long workerLeaseMs() {
    return Math.round(workers.leaseS() * 1000);
  }

  /** Every controller's share of a limit that all of them have together. */
  public double share(double total) {
    return total / (peers.size() + 1);
  }

  public Team team(String name) {
    for (Team team : teams) {
      if (team.name().equals(name)) {
        return team;
      }
    }
    return null;
  }

  /** What is short of what a cluster needs, though nothing of it is refused; a line each. */
  public List<String> warnings(double heapMb) {
    List<String> all = new ArrayList<>();
    if (share(state.writeRps()) < LEAST_WRITES) {
      all.add(
          "cluster.state.write_rps: leaves each controller under "
              + LEAST_WRITES
              + " changes a second; jobs will be accepted and finished slowly");
    }
    if (share(state.rps()) < LEAST_REQUESTS) {
      all.add(
          "cluster.state.rps: leaves each controller under "
              + LEAST_REQUESTS
              + " requests a second; answers will be late");
    }
    if (limits.memoryMb() < heapMb + BESIDE_HEAP_MB) {
      all.add(
          "cluster.machine_limits.mem_mb: the JVM's heap of "
              + Math.round(heapMb)
              + " MB and what it needs beside that do not fit");
    }
    if (workers.leaseS() < 3 * workers.heartbeatIntervalS()) {
      all.add("cluster.workers.lease_s: under three reports; a lost one or two end a lease");
    }
    return all;
  }

  /** A job takes three changes or more, a machine's coming and going shares one with others. */
  private static final int LEAST_WRITES = 3;

  /** A quarter goes to following changes and a quarter to what users ask. */
  private static final int LEAST_REQUESTS = 10;

  /** Code, threads, buffers. */
  private static final int BESIDE_HEAP_MB = 60;

  /** A setting that cannot be used: which field, and why. */
  public static final class InvalidSettingException extends Exception {
    private static final long serialVersionUID = 1;

    public InvalidSettingException(String field, String reason) {
      super(field + ": " + reason);
    }
  }
}
