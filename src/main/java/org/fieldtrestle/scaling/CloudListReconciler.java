package org.fieldtrestle.scaling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.ListedMachine;
import org.fieldtrestle.worker.LeadershipTerm;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the cloud's machine list with the shard's workers: machines that have failed or are
 * gone are drained, and orphans are adopted.
 */
final class CloudListReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(CloudListReconciler.class);

  /** A rented machine may be missing in the list for so many times the list's lag. */
  private static final int MAX_LAGS_UNTIL_LISTED = 4;

  /** Lists in a row in which a machine has to be missing before it counts as gone. */
  private static final int GONE_AFTER_LISTS = 3;

  /** A machine without a record is an orphan after so many times the list's lag. */
  private static final int ORPHAN_AFTER_LAGS = 3;

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final MachineInventory inventory;
  private final MachineHealth health;

  /** Since when machines without a record have been listed, in ms. */
  private final Map<String, Long> unrecordedSinceMs = new HashMap<>();

  /** In how many lists in a row workers have been missing. */
  private final Map<String, Integer> missingLists = new HashMap<>();

  private boolean listing;
  private long listedAtMs;

  CloudListReconciler(
      ControllerContext context,
      LeadershipTerm term,
      WorkerRegistry workers,
      MachineInventory inventory,
      MachineHealth health) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.inventory = inventory;
    this.health = health;
  }

  /** The first list is read one lag from now. */
  void begin() {
    listedAtMs = context.now();
  }

  /** Reads the list if the last one is older than the list's lag. */
  void tick(long nowMs) {
    if (listing || nowMs - listedAtMs < context.cloud().listLagMs()) {
      return;
    }
    listing = true;
    listedAtMs = nowMs;
    context
        .cloud()
        .list(
            machines -> {
              listing = false;
              if (machines.isPresent() && term.isLeading()) {
                reconcile(machines.get(), context.now());
              }
            });
  }

  private void reconcile(List<ListedMachine> machines, long nowMs) {
    Set<String> listed = new HashSet<>();
    for (ListedMachine machine : machines) {
      listed.add(machine.machine());
      Worker worker = workers.get(machine.machine());
      if (worker != null && machine.failed() && !worker.isTerminating()) {
        MachineHealth.drain(worker, "stopped by itself");
        worker.expireLease();
        worker.beginTermination();
      }
      if (worker == null && !context.stateCache().machines().containsKey(machine.machine())) {
        adoptIfOrphan(machine, nowMs);
      }
    }
    unrecordedSinceMs.keySet().retainAll(listed);
    for (Worker worker : workers.all()) {
      checkListed(worker, listed, nowMs);
    }
    workers.retainExisting(missingLists);
  }

  private void checkListed(Worker worker, Set<String> listed, long nowMs) {
    if (listed.contains(worker.id())
        || worker.ageMs(nowMs) < MAX_LAGS_UNTIL_LISTED * context.cloud().listLagMs()) {
      missingLists.remove(worker.id());
      return;
    }
    // A worker that has never reported in this term is not waited for: it would hold up its team's
    // quota and inherited tasks for the former leader's lease and its own, and each of several
    // failovers in a row would begin that anew.
    if (missingLists.merge(worker.id(), 1, Integer::sum) >= GONE_AFTER_LISTS
        && (!worker.hasReported() || health.isSilent(worker, nowMs))) {
      if (!worker.isDraining()) {
        MachineHealth.drain(worker, "no longer listed");
      }
      worker.beginTermination();
    }
  }

  /**
   * Adopts a machine that has been without a record for too long: a late rental, or one whose
   * renter has failed. Only one controller does so, for its own shard.
   */
  private void adoptIfOrphan(ListedMachine machine, long nowMs) {
    long sinceMs = unrecordedSinceMs.computeIfAbsent(machine.machine(), id -> nowMs);
    if (!context.membership().isFirst()
        || !term.shard().equals(context.membership().self())
        || nowMs - sinceMs < ORPHAN_AFTER_LAGS * context.cloud().listLagMs()) {
      return;
    }
    LOG.atInfo().addKeyValue("machine", machine.machine()).log("adopting orphan machine");
    inventory.adopt(machine.machine(), machine.type(), machine.zone(), machine.spot(), () -> {});
  }
}
