package org.fieldtrestle.simulation;

import java.util.List;
import org.fieldtrestle.config.Settings;

/**
 * The timing and the limits of a deployment. The settings of its controllers are built from them.
 *
 * @param heartbeatIntervalMs interval between two heartbeats of a worker, in milliseconds
 * @param leaseMs duration of a worker's lease, in milliseconds
 * @param cancellationTimeMs time within which all tasks of a cancelled job must be gone, in
 *     milliseconds
 * @param keyValueStoreLimits limits of the key-value store
 * @param cloudLimits limits of the cloud
 * @param processLimits limits of a controller process
 * @param maxListEntries maximum number of entries on a page that the key-value store lists
 * @param enforcesLimits whether the simulated key-value store refuses requests beyond its limits
 * @param controllers number of controllers
 * @param limitedTeamCpus how many CPUs the tasks of {@link ClusterLayout#LIMITED_TEAM} may use
 */
record Deployment(
    long heartbeatIntervalMs,
    long leaseMs,
    long cancellationTimeMs,
    Settings.KeyValueStoreLimits keyValueStoreLimits,
    Settings.CloudLimits cloudLimits,
    Settings.ProcessLimits processLimits,
    int maxListEntries,
    boolean enforcesLimits,
    int controllers,
    double limitedTeamCpus) {
  private static final int CONTROLLERS = 3;
  private static final double LIMITED_TEAM_CPUS = 40;

  /**
   * Returns a deployment for a few machines. Its list pages are small, so that every listing of the
   * key-value store takes several pages.
   */
  static Deployment small(long heartbeatIntervalMs, long leaseMs, long cancellationTimeMs) {
    return new Deployment(
        heartbeatIntervalMs,
        leaseMs,
        cancellationTimeMs,
        new Settings.KeyValueStoreLimits(200, 40, 8, 32),
        new Settings.CloudLimits(3, 6),
        new Settings.ProcessLimits(0.2, 263, 1800),
        7,
        false,
        CONTROLLERS,
        LIMITED_TEAM_CPUS);
  }

  /**
   * Returns deployments for a few machines with the timing of {@link #largeWithShortIntervals}, of
   * {@link #largeWithLongIntervals} and of {@link #largeWithSmallControllers}, in this order. In
   * the first and the last, a controller may act without an answer of the key-value store for
   * longer than its workers' lease; in the second, only for a shorter time.
   */
  static List<Deployment> smallOfEachKind() {
    return List.of(
        small(4000, 22_000, 52_000), small(6000, 34_000, 64_000), small(2500, 16_000, 46_000));
  }

  /** Returns a large deployment with short heartbeat intervals and high request rates. */
  static Deployment largeWithShortIntervals() {
    return large(
        4000,
        22_000,
        52_000,
        new Settings.KeyValueStoreLimits(350, 70, 8, 32),
        new Settings.ProcessLimits(0.323, 414, 2868));
  }

  /** Returns a large deployment with long heartbeat intervals and low request rates. */
  static Deployment largeWithLongIntervals() {
    return large(
        6000,
        34_000,
        64_000,
        new Settings.KeyValueStoreLimits(70, 30, 16, 24),
        new Settings.ProcessLimits(0.289, 414, 2148));
  }

  /** Returns a large deployment whose controllers have the smallest process limits. */
  static Deployment largeWithSmallControllers() {
    return large(
        2500,
        16_000,
        46_000,
        new Settings.KeyValueStoreLimits(200, 40, 8, 32),
        new Settings.ProcessLimits(0.061, 194, 1800));
  }

  private static Deployment large(
      long heartbeatIntervalMs,
      long leaseMs,
      long cancellationTimeMs,
      Settings.KeyValueStoreLimits keyValueStoreLimits,
      Settings.ProcessLimits processLimits) {
    return new Deployment(
        heartbeatIntervalMs,
        leaseMs,
        cancellationTimeMs,
        keyValueStoreLimits,
        new Settings.CloudLimits(4, 6),
        processLimits,
        1000,
        true,
        CONTROLLERS,
        LIMITED_TEAM_CPUS);
  }

  /** Returns a copy with another limit on the requests to the key-value store. */
  Deployment withKeyValueStoreRequests(double perSecond) {
    return new Deployment(
        heartbeatIntervalMs,
        leaseMs,
        cancellationTimeMs,
        new Settings.KeyValueStoreLimits(
            perSecond,
            keyValueStoreLimits.changesPerS(),
            keyValueStoreLimits.maxValueKb(),
            keyValueStoreLimits.maxTransactionChanges()),
        cloudLimits,
        processLimits,
        maxListEntries,
        enforcesLimits,
        controllers,
        limitedTeamCpus);
  }

  /** Returns a copy with another number of controllers and another limit of the limited team. */
  Deployment with(int otherControllers, double otherLimitedTeamCpus) {
    return new Deployment(
        heartbeatIntervalMs,
        leaseMs,
        cancellationTimeMs,
        keyValueStoreLimits,
        cloudLimits,
        processLimits,
        maxListEntries,
        enforcesLimits,
        otherControllers,
        otherLimitedTeamCpus);
  }
}
