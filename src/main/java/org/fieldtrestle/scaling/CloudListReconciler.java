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
 * Reconciles the cloud's machine list with the shard's workers: machines that have failed or are no
 * longer listed are drained, and orphans are adopted.
 */
final class CloudListReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(CloudListReconciler.class);

  /** How long a rented machine may be missing from the list, in multiples of the list's lag. */
  private static final int MAX_LAGS_UNTIL_LISTED = 4;

  /** Number of consecutive lists in which a machine has to be missing before it counts as gone. */
  private static final int GONE_AFTER_LISTS = 3;

  /**
   * How long a machine has to be without a record before it counts as an orphan, in multiples of
   * the list's lag.
   */
  private static final int ORPHAN_AFTER_LAGS = 3;

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final MachineInventory inventory;
  private final MachineHealth health;

  /** Since when each machine without a record has been listed, in milliseconds. */
  private final Map<String, Long> unrecordedSinceMs = new HashMap<>();

  /** Number of consecutive lists in which each worker has been missing. */
  private final Map<String, Integer> missingLists = new HashMap<>();

  private boolean listInFlight;
  private long listRequestedAtMs;

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

  /** Starts the schedule: the first list is requested one lag from now. */
  void begin() {
    listRequestedAtMs = context.nowMs();
  }

  /** Requests the list if the last request is longer ago than the list's lag. */
  void tick(long nowMs) {
    if (listInFlight || nowMs - listRequestedAtMs < context.cloud().listLagMs()) {
      return;
    }
    listInFlight = true;
    listRequestedAtMs = nowMs;
    context
        .cloud()
        .list(
            machines -> {
              listInFlight = false;
              if (machines.isPresent() && term.isLeading()) {
                reconcile(machines.get(), context.nowMs());
              }
            });
  }

  private void reconcile(List<ListedMachine> machines, long nowMs) {
    Set<String> listed = new HashSet<>();
    for (ListedMachine machine : machines) {
      listed.add(machine.name());
      Worker worker = workers.get(machine.name());
      if (worker != null && machine.failed() && !worker.isTerminating()) {
        MachineHealth.drain(worker, "stopped by itself");
        worker.expireLease();
        worker.beginTermination();
      }
      if (worker == null && !context.stateCache().machines().containsKey(machine.name())) {
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
    // A missing worker must also be silent, unless it has never reported in this term. Waiting for
    // such a worker would block its team's quota and inherited tasks for the former leader's lease
    // and its own, and each of several failovers in a row would start that wait again.
    if (missingLists.merge(worker.id(), 1, Integer::sum) >= GONE_AFTER_LISTS
        && (!worker.hasReported() || health.isSilent(worker, nowMs))) {
      if (!worker.isDraining()) {
        MachineHealth.drain(worker, "no longer listed");
      }
      worker.beginTermination();
    }
  }

  /**
   * Adopts a machine that has been without a record for too long, because the rental was carried
   * out late or the controller that rented it has failed. Only the controller with the lowest label
   * adopts machines, and only for its home shard.
   */
  private void adoptIfOrphan(ListedMachine machine, long nowMs) {
    long sinceMs = unrecordedSinceMs.computeIfAbsent(machine.name(), id -> nowMs);
    if (!context.membership().hasLowestLabel()
        || !term.shard().equals(context.membership().ownLabel())
        || nowMs - sinceMs < ORPHAN_AFTER_LAGS * context.cloud().listLagMs()) {
      return;
    }
    LOG.atInfo().addKeyValue("machine", machine.name()).log("adopting orphan machine");
    inventory.adopt(machine.name(), machine.type(), machine.zone(), machine.spot(), () -> {});
  }
}
