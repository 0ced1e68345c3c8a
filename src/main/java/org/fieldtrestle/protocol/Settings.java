package org.fieldtrestle.protocol;

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

  public record Workers(double reportS, double leaseS, double cancelS) {}

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

  /** A setting that cannot be used: which field, and why. */
  public static final class Invalid extends Exception {
    private static final long serialVersionUID = 1;

    public Invalid(String field, String reason) {
      super(field + ": " + reason);
    }
  }
}
