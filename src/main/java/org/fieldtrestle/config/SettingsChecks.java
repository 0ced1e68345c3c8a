package org.fieldtrestle.config;

import java.util.ArrayList;
import java.util.List;

/** Checks of settings that involve several fields, or what a cluster usually needs. */
public final class SettingsChecks {
  private static final long MIN_STATE_LEASE_MS = 2000;
  private static final int MIN_TRANSACTION_CHANGES = 8;
  private static final int MIN_HEARTBEATS_PER_LEASE = 2;
  private static final int USUAL_HEARTBEATS_PER_LEASE = 3;

  /** A job takes three changes or more; a machine's coming and going shares one with others. */
  private static final int USUAL_CHANGES_PER_S = 3;

  /** A quarter goes to following changes and a quarter to what users ask. */
  private static final int USUAL_REQUESTS_PER_S = 10;

  /** Code, threads and buffers. */
  private static final int MEMORY_BESIDE_HEAP_MB = 60;

  private SettingsChecks() {}

  /**
   * Refuses settings with which a rule could not be kept.
   *
   * @throws InvalidSettingException for the first such field
   */
  static void requireUsable(Settings settings) throws InvalidSettingException {
    Settings.Workers workers = settings.workers();
    if (workers.leaseS() < MIN_HEARTBEATS_PER_LEASE * workers.heartbeatIntervalS()) {
      throw new InvalidSettingException(
          "cluster.workers.lease_s", "must be at least twice report_s, or every lease runs out");
    }
    if (settings.stateLeaseMs() < MIN_STATE_LEASE_MS) {
      throw new InvalidSettingException(
          "cluster.workers.cancel_s",
          "leaves no time for a controller's own lease beside lease_s; a cancelled task could"
              + " outlive it");
    }
    if (settings.state().txnOps() < MIN_TRANSACTION_CHANGES) {
      throw new InvalidSettingException(
          "cluster.state.txn_ops", "must be at least " + MIN_TRANSACTION_CHANGES);
    }
  }

  /**
   * Settings that can be used but are lower than what a cluster needs, a line each.
   *
   * @param heapMb the most memory that the JVM's heap may take
   */
  public static List<String> warnings(Settings settings, double heapMb) {
    List<String> warnings = new ArrayList<>();
    if (settings.share(settings.state().writeRps()) < USUAL_CHANGES_PER_S) {
      warnings.add(
          "cluster.state.write_rps: leaves each controller under "
              + USUAL_CHANGES_PER_S
              + " changes a second; jobs will be accepted and finished slowly");
    }
    if (settings.share(settings.state().rps()) < USUAL_REQUESTS_PER_S) {
      warnings.add(
          "cluster.state.rps: leaves each controller under "
              + USUAL_REQUESTS_PER_S
              + " requests a second; answers will be late");
    }
    if (settings.limits().memoryMb() < heapMb + MEMORY_BESIDE_HEAP_MB) {
      warnings.add(
          "cluster.machine_limits.mem_mb: the JVM's heap of "
              + Math.round(heapMb)
              + " MB and what it needs beside that do not fit");
    }
    Settings.Workers workers = settings.workers();
    if (workers.leaseS() < USUAL_HEARTBEATS_PER_LEASE * workers.heartbeatIntervalS()) {
      warnings.add("cluster.workers.lease_s: under three reports; a lost one or two end a lease");
    }
    return warnings;
  }
}
