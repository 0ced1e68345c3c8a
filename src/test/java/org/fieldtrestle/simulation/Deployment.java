package org.fieldtrestle.simulation;

import java.util.List;
import org.fieldtrestle.config.Settings;

/**
 * The figures of a deployment, as the settings of its controllers name them.
 *
 * @param listPage most entries of a page that the key-value store lists
 * @param limited whether the key-value store refuses what goes beyond its limits
 */
record Deployment(
    long heartbeatIntervalsMs,
    long leaseMs,
    long cancelMs,
    Settings.KeyValueStoreLimits state,
    Settings.CloudLimits cloud,
    Settings.ProcessLimits limits,
    int listPage,
    boolean limited) {

  /** A few machines; pages are small, so that every reading takes several. */
  static Deployment small(long heartbeatIntervalsMs, long leaseMs, long cancelMs) {
    return new Deployment(
        heartbeatIntervalsMs,
        leaseMs,
        cancelMs,
        new Settings.KeyValueStoreLimits(200, 40, 8, 32),
        new Settings.CloudLimits(3, 6),
        new Settings.ProcessLimits(0.2, 263, 1800),
        7,
        false);
  }

  /**
   * A few machines under the figures of the two large deployments and of a small one. In the first
   * and the last a controller may act for longer without word of the key-value store than its
   * workers' lease; in the second for less.
   */
  static List<Deployment> smallOfEachKind() {
    return List.of(
        small(4000, 22_000, 52_000), small(6000, 34_000, 64_000), small(2500, 16_000, 46_000));
  }

  /** Payroll on a large fleet: short heartbeat intervals, many requests allowed. */
  static Deployment payrollFleet() {
    return large(
        4000,
        22_000,
        52_000,
        new Settings.KeyValueStoreLimits(350, 70, 8, 32),
        new Settings.ProcessLimits(0.323, 414, 2868));
  }

  /** Timber stock on a large fleet: long heartbeat intervals, few requests allowed. */
  static Deployment timberFleet() {
    return large(
        6000,
        34_000,
        64_000,
        new Settings.KeyValueStoreLimits(70, 30, 16, 24),
        new Settings.ProcessLimits(0.289, 414, 2148));
  }

  /** Payroll with the smallest controllers. */
  static Deployment payrollLean() {
    return large(
        2500,
        16_000,
        46_000,
        new Settings.KeyValueStoreLimits(200, 40, 8, 32),
        new Settings.ProcessLimits(0.061, 194, 1800));
  }

  private static Deployment large(
      long heartbeatIntervalsMs,
      long leaseMs,
      long cancelMs,
      Settings.KeyValueStoreLimits state,
      Settings.ProcessLimits limits) {
    return new Deployment(
        heartbeatIntervalsMs,
        leaseMs,
        cancelMs,
        state,
        new Settings.CloudLimits(4, 6),
        limits,
        1000,
        true);
  }

  Deployment withStateRequests(double perSecond) {
    return new Deployment(
        heartbeatIntervalsMs,
        leaseMs,
        cancelMs,
        new Settings.KeyValueStoreLimits(
            perSecond, state.changesPerS(), state.maxValueKb(), state.maxTransactionChanges()),
        cloud,
        limits,
        listPage,
        limited);
  }
}
