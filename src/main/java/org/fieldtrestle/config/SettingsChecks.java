package org.fieldtrestle.config;

import java.util.ArrayList;
import java.util.List;

/** Checks settings that depend on each other or on what a cluster usually needs. */
public final class SettingsChecks {
  private static final long MIN_CONTROLLER_LEASE_MS = 2000;
  private static final int MIN_TRANSACTION_CHANGES = 8;
  private static final int MIN_HEARTBEATS_PER_LEASE = 2;
  private static final int USUAL_HEARTBEATS_PER_LEASE = 3;

  /**
   * A job takes at least three changes. The rental or return of several machines shares one change.
   */
  private static final int USUAL_CHANGES_PER_S = 3;

  /** A quarter of the requests follows changes, and a quarter serves queries of users. */
  private static final int USUAL_REQUESTS_PER_S = 10;

  /** Memory that the JVM needs outside its heap for code, threads and buffers. */
  private static final int MEMORY_BESIDE_HEAP_MB = 60;

  private SettingsChecks() {}

  /**
   * Refuses settings under which the scheduler could not keep its guarantees.
   *
   * @throws InvalidSettingException for the first field that is refused
   */
  static void requireUsable(Settings settings) throws InvalidSettingException {
    Settings.WorkerTiming timing = settings.workerTiming();
    if (timing.leaseS() < MIN_HEARTBEATS_PER_LEASE * timing.heartbeatIntervalS()) {
      throw new InvalidSettingException(
          "cluster.workers.lease_s",
          "must be at least twice report_s; otherwise every lease of a worker expires");
    }
    if (settings.controllerLeaseMs() < MIN_CONTROLLER_LEASE_MS) {
      throw new InvalidSettingException(
          "cluster.workers.cancel_s",
          "too short for lease_s and the controller's own lease; a task could run on after the"
              + " cancellation of its job");
    }
    if (settings.storeLimits().maxTransactionChanges() < MIN_TRANSACTION_CHANGES) {
      throw new InvalidSettingException(
          "cluster.state.txn_ops", "must be at least " + MIN_TRANSACTION_CHANGES);
    }
  }

  /**
   * Returns a warning, of one line, for each setting that is valid but lower than what a cluster
   * usually needs.
   *
   * @param heapMb maximum size of the JVM's heap
   */
  public static List<String> warnings(Settings settings, double heapMb) {
    List<String> warnings = new ArrayList<>();
    if (settings.equalShare(settings.storeLimits().changesPerS()) < USUAL_CHANGES_PER_S) {
      warnings.add(
          "cluster.state.write_rps: allows each controller fewer than "
              + USUAL_CHANGES_PER_S
              + " changes per second; jobs will be accepted and completed slowly");
    }
    if (settings.equalShare(settings.storeLimits().requestsPerS()) < USUAL_REQUESTS_PER_S) {
      warnings.add(
          "cluster.state.rps: allows each controller fewer than "
              + USUAL_REQUESTS_PER_S
              + " requests per second; answers will be late");
    }
    if (settings.processLimits().memoryMb() < heapMb + MEMORY_BESIDE_HEAP_MB) {
      warnings.add(
          "cluster.machine_limits.mem_mb: too low for the JVM's heap of "
              + Math.round(heapMb)
              + " MB and the memory that the JVM needs outside the heap");
    }
    Settings.WorkerTiming timing = settings.workerTiming();
    if (timing.leaseS() < USUAL_HEARTBEATS_PER_LEASE * timing.heartbeatIntervalS()) {
      warnings.add(
          "cluster.workers.lease_s: below 3 times report_s; one or two lost reports end a lease");
    }
    return warnings;
  }
}
