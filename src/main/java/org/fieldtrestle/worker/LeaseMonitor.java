package org.fieldtrestle.worker;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Finds the workers whose lease has expired. */
public final class LeaseMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseMonitor.class);

  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskOutcomes outcomes;

  /** Watches these workers, whose tasks are lost with their leases. */
  public LeaseMonitor(LeadershipTerm term, WorkerRegistry workers, TaskOutcomes outcomes) {
    this.term = term;
    this.workers = workers;
    this.outcomes = outcomes;
  }

  /**
   * Workers that were silent for their whole lease hold nothing any more; but time counts only as
   * far as the state is followed. A controller that has taken the shard over meanwhile may have
   * renewed their leases, while this one, cut off from the key-value store, may still act on other
   * workers for a while.
   */
  public void expireLeases() {
    long leaseMs = workers.leaseExpiryMs();
    for (Worker worker : workers.copyOfAll()) {
      long unrenewedMs = term.soleLeaderUntilMs() - worker.connection().leaseRenewedAtMs();
      if (!worker.isLeaseExpired() && worker.isUp() && unrenewedMs > leaseMs) {
        worker.expireLease();
        LOG.atWarn()
            .addKeyValue("worker", worker.id())
            .addKeyValue("unrenewedMs", unrenewedMs)
            .log("worker lease expired");
        outcomes.workerLost(worker, "silent for its lease");
      }
    }
  }
}
