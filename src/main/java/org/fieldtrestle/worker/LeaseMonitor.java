package org.fieldtrestle.worker;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Detects the workers whose lease has expired. */
public final class LeaseMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseMonitor.class);

  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskOutcomes outcomes;

  /** Creates a monitor of these workers. The tasks on a worker are lost when its lease expires. */
  public LeaseMonitor(LeadershipTerm term, WorkerRegistry workers, TaskOutcomes outcomes) {
    this.term = term;
    this.workers = workers;
    this.outcomes = outcomes;
  }

  /**
   * Expires the leases of workers that were silent for the whole duration of their lease; no task
   * is on them after that. Only the time up to which the state is known counts: another controller
   * that has taken over the shard may have renewed the leases since, while this controller, cut off
   * from the key-value store, may still act on other workers for a while.
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
