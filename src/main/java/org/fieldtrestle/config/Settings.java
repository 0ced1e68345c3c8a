package org.fieldtrestle.config;

import java.util.List;

/**
 * The platform's settings of one controller.
 *
 * @param label the controller's name; its shard has the same
 * @param zone the zone that it runs in
 * @param userAddress host and port for users, workers and health checks
 * @param peerAddress host and port for the other controllers
 * @param peers the other controllers
 * @param cloudAddress host and port of the cloud's interface
 * @param stateAddress host and port of the key-value store
 * @param zones all zones of the cluster
 * @param maxClockErrorMs bound of the difference between the time of day and true time
 * @param teams all teams that may submit jobs
 * @param objectives the service-level objectives
 * @param workers the workers' intervals and leases
 * @param state limits of the key-value store
 * @param cloud limits of the cloud's interface
 * @param limits limits of this process
 */
public record Settings(
    String label,
    String zone,
    String userAddress,
    String peerAddress,
    List<Peer> peers,
    String cloudAddress,
    String stateAddress,
    List<String> zones,
    double maxClockErrorMs,
    List<Team> teams,
    List<Objective> objectives,
    Workers workers,
    State state,
    Cloud cloud,
    Limits limits) {

  /** Steady clocks of two machines differ by no more than this share; doubled for safety. */
  public static final double CLOCK_DRIFT = 0.001;

  /** Share of a cancellation's time that leases may take; the rest is for processing. */
  private static final double CANCELLATION_LEASES_SHARE = 0.95;

  private static final double MS_PER_S = 1000;

  /**
   * Another controller.
   *
   * @param address host and port for the other controllers
   */
  public record Peer(String label, String zone, String address) {}

  /**
   * A team and its quota.
   *
   * @param cpus CPUs of the guaranteed share
   * @param cpusMax the most CPUs that its tasks may use; 0: no limit
   * @param gpus GPUs of the guaranteed share
   * @param gpusMax the most GPUs that its tasks may use; 0: no limit
   */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

  /**
   * A service-level objective of a class of jobs; it steers scheduling and scaling, never a rule.
   *
   * @param kind what is measured, such as {@code wait} or {@code deadline}
   * @param share of the jobs that should meet it, from 0 to 1
   * @param times how many times the deadline a job may take
   * @param withinS seconds within which a job should start; 0 where the objective has none
   */
  public record Objective(
      String kind, String jobClass, double share, double times, double withinS) {}

  /**
   * Timing of the workers.
   *
   * @param heartbeatIntervalS seconds between two heartbeats of a worker, give or take a quarter
   * @param leaseS seconds after which a worker that gets no answer ends its tasks
   * @param cancelS seconds within which all tasks of a cancelled job must be gone
   */
  public record Workers(double heartbeatIntervalS, double leaseS, double cancelS) {}

  /**
   * Limits of the key-value store, which all controllers have together where they are rates.
   *
   * @param rps requests per second
   * @param writeRps changed keys per second
   * @param valueKb size of a value in KiB
   * @param txnOps changes in a transaction
   */
  public record State(double rps, double writeRps, double valueKb, int txnOps) {}

  /**
   * Limits of the cloud's interface.
   *
   * @param rps requests per second of all controllers together
   * @param listLagS seconds by which the list of machines may lag
   */
  public record Cloud(double rps, double listLagS) {}

  /**
   * Limits of this process.
   *
   * @param cpuShare share of one core
   * @param memoryMb memory, with what is kept in {@code /tmp}
   * @param maxConnections open sockets
   */
  public record Limits(double cpuShare, double memoryMb, int maxConnections) {}

  /**
   * How long a controller may act on one renewal of its lease at the key-value store, in ms. The
   * last fencing token that it gave to a worker may be used for that time plus the worker's lease,
   * which has to be within the time of a cancellation.
   */
  public long stateLeaseMs() {
    double leasesS = workers.cancelS() * CANCELLATION_LEASES_SHARE;
    return Math.round(
        (leasesS - workers.leaseS() * (1 + CLOCK_DRIFT)) * MS_PER_S * (1 - CLOCK_DRIFT));
  }

  /** So many heartbeat intervals of the workers, in ms. */
  public long heartbeatIntervalsMs(double count) {
    return Math.round(workers.heartbeatIntervalS() * MS_PER_S * count);
  }

  /** The lease of a worker, in ms. */
  public long workerLeaseMs() {
    return Math.round(workers.leaseS() * MS_PER_S);
  }

  /** This controller's equal share of a limit that all controllers have together. */
  public double share(double total) {
    return total / (peers.size() + 1);
  }

  /** The team of a name; null where there is none. */
  public Team team(String name) {
    for (Team team : teams) {
      if (team.name().equals(name)) {
        return team;
      }
    }
    return null;
  }
}
