package org.fieldtrestle.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;

/** The leases of a simulated key-value store. */
final class StoreLeases {
  private static final long CHECK_INTERVAL_MS = 100;

  private static final class Lease {
    private final long ttlMs;
    private long expiresAtMs;

    Lease(long ttlMs) {
      this.ttlMs = ttlMs;
    }
  }

  private final SimulatedTime time;
  private final BooleanSupplier paused;
  private final LongConsumer onExpired;
  private final Map<Long, Lease> leases = new HashMap<>();
  private long lastId;

  /**
   * Starts the periodic check for expired leases.
   *
   * @param paused returns whether leases do not expire at present
   * @param onExpired called with the identifier of each lease that has expired
   */
  StoreLeases(SimulatedTime time, BooleanSupplier paused, LongConsumer onExpired) {
    this.time = time;
    this.paused = paused;
    this.onExpired = onExpired;
    checkPeriodically();
  }

  private void checkPeriodically() {
    time.after(
        CHECK_INTERVAL_MS,
        () -> {
          if (!paused.getAsBoolean()) {
            expire();
          }
          checkPeriodically();
        });
  }

  private void expire() {
    for (Map.Entry<Long, Lease> lease : List.copyOf(leases.entrySet())) {
      if (lease.getValue().expiresAtMs < time.nowMs()) {
        leases.remove(lease.getKey());
        onExpired.accept(lease.getKey());
      }
    }
  }

  /** Grants a lease and returns its identifier. */
  long grant(long ttlMs) {
    Lease lease = new Lease(ttlMs);
    renew(lease);
    leases.put(++lastId, lease);
    return lastId;
  }

  boolean exists(long id) {
    return leases.containsKey(id);
  }

  /** Renews a lease; returns whether it exists. */
  boolean renew(long id) {
    if (!exists(id)) {
      return false;
    }
    renew(leases.get(id));
    return true;
  }

  void renewAll() {
    leases.values().forEach(this::renew);
  }

  private void renew(Lease lease) {
    lease.expiresAtMs = time.nowMs() + lease.ttlMs;
  }
}
