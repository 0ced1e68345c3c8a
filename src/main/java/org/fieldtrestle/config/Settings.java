package org.fieldtrestle.config;

import java.util.List;

/**
 * The platform's settings for one controller.
 *
 * @param label name of the controller, and of its home shard
 * @param zone the zone in which the controller runs
 * @param userAddress host and port for users, workers and health checks
 * @param peerAddress host and port for the other controllers
 * @param peers the other controllers
 * @param cloudAddress host and port of the cloud's interface
 * @param keyValueStoreAddress host and port of the key-value store
 * @param zones all zones of the cluster
 * @param maxClockErrorMs upper bound of the difference between a machine's time of day and the true
 *     time
 * @param teams all teams that may submit jobs
 * @param objectives the service-level objectives
 * @param workerTiming intervals and leases of the workers
 * @param storeLimits limits of the key-value store
 * @param cloudLimits limits of the cloud's interface
 * @param processLimits limits of this process
 */
public record Settings(
    String label,
    String zone,
    String userAddress,
    String peerAddress,
    List<Peer> peers,
    String cloudAddress,
    String keyValueStoreAddress,
    List<String> zones,
    double maxClockErrorMs,
    List<Team> teams,
    List<Objective> objectives,
    WorkerTiming workerTiming,
    KeyValueStoreLimits storeLimits,
    CloudLimits cloudLimits,
    ProcessLimits processLimits) {

  /**
   * Upper bound of the drift between the monotonic clocks of two machines, as a share of the
   * elapsed time; doubled for safety.
   */
  public static final double CLOCK_DRIFT = 0.001;

  /** Share of the time limit of a cancellation that leases may use; the rest is for processing. */
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
   * @param cpus CPUs of the team's guaranteed share
   * @param cpusMax quota: the maximum number of CPUs that the team's tasks may use; 0 if unlimited
   * @param gpus GPUs of the team's guaranteed share
   * @param gpusMax quota: the maximum number of GPUs that the team's tasks may use; 0 if unlimited
   */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

  /**
   * A service-level objective of a class of jobs. Scheduling and scaling aim at it but do not
   * guarantee it.
   *
   * @param kind what is measured, such as {@code wait} or {@code deadline}
   * @param targetShare share of the jobs that should meet the objective, from 0 to 1
   * @param deadlineFactor the multiple of its deadline that a job may take
   * @param withinS seconds within which a job should start; 0 if the objective sets no such limit
   */
  public record Objective(
      String kind, String jobClass, double targetShare, double deadlineFactor, double withinS) {}

  /**
   * Timing of the workers.
   *
   * @param heartbeatIntervalS seconds between two heartbeats of a worker; the actual interval
   *     varies by up to a quarter
   * @param leaseS seconds without an answer after which a worker ends its tasks
   * @param cancellationTimeS seconds within which all tasks of a cancelled job must be gone
   */
  public record WorkerTiming(double heartbeatIntervalS, double leaseS, double cancellationTimeS) {}

  /**
   * Limits of the key-value store. All controllers together must keep to the rates.
   *
   * @param requestsPerS maximum number of requests per second
   * @param changesPerS maximum number of changed keys per second
   * @param maxValueKb maximum size of a value in KiB
   * @param maxTransactionChanges maximum number of changes in a transaction
   */
  public record KeyValueStoreLimits(
      double requestsPerS, double changesPerS, double maxValueKb, int maxTransactionChanges) {}

  /**
   * Limits of the cloud's interface.
   *
   * @param requestsPerS maximum number of requests per second of all controllers together
   * @param maxListLagS maximum number of seconds by which the list of machines may be out of date
   */
  public record CloudLimits(double requestsPerS, double maxListLagS) {}

  /**
   * Limits of this process.
   *
   * @param cpuShare processor time, as a share of one core
   * @param memoryMb memory in MB, including the files in {@code /tmp}
   * @param maxConnections maximum number of open sockets
   */
  public record ProcessLimits(double cpuShare, double memoryMb, int maxConnections) {}

  /**
   * Returns how long a controller may act after it has renewed its lease at the key-value store, in
   * milliseconds. The last fencing token that the controller gave to a worker remains in use for at
   * most this time plus the worker's lease, and the sum must stay within the time limit of a
   * cancellation.
   */
  public long controllerLeaseMs() {
    double leasesS = workerTiming.cancellationTimeS() * CANCELLATION_LEASES_SHARE;
    return Math.round(
        (leasesS - workerTiming.leaseS() * (1 + CLOCK_DRIFT)) * MS_PER_S * (1 - CLOCK_DRIFT));
  }

  /** Returns the duration of a number of heartbeat intervals in milliseconds. */
  public long heartbeatIntervalsMs(double count) {
    return Math.round(workerTiming.heartbeatIntervalS() * MS_PER_S * count);
  }

  /** Returns the duration of a worker's lease in milliseconds. */
  public long workerLeaseMs() {
    return Math.round(workerTiming.leaseS() * MS_PER_S);
  }

  /** Returns this controller's equal share of a limit that applies to all controllers together. */
  public double equalShare(double total) {
    return total / (peers.size() + 1);
  }

  /** Returns the team with the given name, or {@code null} if there is none. */
  public Team team(String name) {
    for (Team team : teams) {
      if (team.name().equals(name)) {
        return team;
      }
    }
    return null;
  }
}
