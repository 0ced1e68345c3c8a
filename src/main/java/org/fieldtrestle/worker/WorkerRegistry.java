package org.fieldtrestle.worker;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.MachineType;

/** A shard's workers by their names, and the questions about them that concern the whole shard. */
public final class WorkerRegistry {
  /** Heartbeat intervals without a heartbeat after which a worker gets no new tasks. */
  private static final double USABLE_WITHIN_INTERVALS = 2.5;

  /** Heartbeat intervals by which the expiry of a lease is counted late, for delays on the way. */
  private static final double LEASE_MARGIN_INTERVALS = 0.2;

  private final LeadershipTerm term;
  private final ControllerContext context;
  private final Map<String, Worker> workers = new TreeMap<>();
  private final TeamUsage usage = new TeamUsage();
  private final DuplicateAttempts duplicates = new DuplicateAttempts();

  /** Workers that may hold tasks of an earlier term and have not reported in this one. */
  private final Set<Worker> unreconciled = new LinkedHashSet<>();

  /**
   * Since when workers could be heard without a break, in ms. A controller that stood still, or
   * that was not entitled to answer, has heard no worker: their silence before says nothing.
   */
  private long listeningSinceMs;

  /** Until when there may be workers that are not known, as their record is damaged, in ms. */
  private long unknownWorkersUntilMs;

  /** A registry without workers; {@link InventoryFollower} adds them. */
  public WorkerRegistry(ControllerContext context, LeadershipTerm term) {
    this.context = context;
    this.term = term;
  }

  /** All workers in the order of their names. */
  public Iterable<Worker> all() {
    return workers.values();
  }

  /** How many workers there are. */
  public int count() {
    return workers.size();
  }

  /** The worker of this name; null where the shard has none. */
  public Worker get(String id) {
    return workers.get(id);
  }

  /** What each team's tasks take of these workers. */
  public TeamUsage usage() {
    return usage;
  }

  DuplicateAttempts duplicates() {
    return duplicates;
  }

  /** Whether a task may still be on a worker that it was not placed on. */
  public boolean hasDuplicate(TaskRange range, int offset) {
    return duplicates.contains(range, offset);
  }

  /** Removes the entries of workers that there are no longer. */
  public void forgetMissing(Map<String, ?> byWorker) {
    byWorker.keySet().retainAll(workers.keySet());
  }

  void add(Worker worker) {
    workers.put(worker.id(), worker);
  }

  void remove(Worker worker) {
    workers.remove(worker.id());
    unreconciled.remove(worker);
  }

  List<Worker> copyOfAll() {
    return List.copyOf(workers.values());
  }

  // ---- reconciliation

  void addUnreconciled(Worker worker) {
    unreconciled.add(worker);
  }

  void markReconciled(Worker worker) {
    worker.connection().markReconciled();
    unreconciled.remove(worker);
  }

  /** There may be workers that no readable record names until this time, in ms. */
  void expectUnknownWorkersUntil(long timeMs) {
    unknownWorkersUntilMs = timeMs;
  }

  /** Workers that may hold tasks which an earlier term has started. */
  public List<Worker> unreconciled() {
    List<Worker> all = new ArrayList<>();
    for (Worker worker : unreconciled) {
      if (!worker.isLeaseExpired()) {
        all.add(worker);
      }
    }
    return all;
  }

  private boolean anyUnreconciled() {
    if (term.soleLeaderUntilMs() < unknownWorkersUntilMs) {
      return true;
    }
    for (Worker worker : unreconciled) {
      if (!worker.isLeaseExpired()) {
        return true;
      }
    }
    return false;
  }

  /** Whether tasks of the range may be on a worker that has not reported in this term. */
  boolean mayHoldTasksOf(TaskRange range) {
    return range.isInherited() && anyUnreconciled();
  }

  // ---- which workers may get what

  /** Whether the worker may be sent commands, as it has shown this term's token. */
  boolean mayReceiveCommands(Worker worker) {
    return worker.isReconciled() && hasSeenTermToken(worker);
  }

  private boolean hasSeenTermToken(Worker worker) {
    return worker.fencing().seenToken() >= term.firstToken();
  }

  /** Whether tasks that are placed on the worker may be started there. */
  public boolean acceptsStarts(Worker worker) {
    return worker.isUp()
        && !worker.isLeaseExpired()
        && !worker.isTerminating()
        && hasSeenTermToken(worker);
  }

  /** Whether new tasks may be placed on the worker. */
  public boolean isUsable(Worker worker, long nowMs) {
    return worker.isReconciled()
        && acceptsStarts(worker)
        && !worker.isDraining()
        && !worker.isUnresponsive()
        && !worker.isQuarantined(nowMs)
        && nowMs - worker.connection().lastHeartbeatAtMs()
            <= context.heartbeatIntervalsMs(USABLE_WITHIN_INTERVALS);
  }

  /** CPUs of all workers that are or will be of use. */
  public double capacity() {
    double cpus = 0;
    for (Worker worker : workers.values()) {
      MachineType type = context.machineType(worker.machineType());
      if (type != null && !worker.isDraining() && !worker.isLeaseExpired()) {
        cpus += type.cpus();
      }
    }
    return cpus;
  }

  /** What is free on each worker on which new tasks may be placed. */
  public List<FreeResources> freeResources(long nowMs) {
    List<FreeResources> all = new ArrayList<>();
    for (Worker worker : workers.values()) {
      if (isUsable(worker, nowMs)) {
        MachineType type = context.machineType(worker.machineType());
        if (type != null) {
          all.add(worker.freeResources(type));
        }
      }
    }
    return all;
  }

  // ---- silence and leases

  /** No worker could be heard until now. */
  public void restartListening(long nowMs) {
    listeningSinceMs = nowMs;
  }

  /** For how long a worker has said nothing though it would have been heard, in ms. */
  public long silentFor(Worker worker, long nowMs) {
    WorkerConnection connection = worker.connection();
    long heardAtMs = Math.max(connection.lastHeartbeatAtMs(), connection.leaseRenewedAtMs());
    return nowMs - Math.max(heardAtMs, listeningSinceMs);
  }

  /** For how long something has been as it is while workers could have shown otherwise, in ms. */
  public long listenedFor(long sinceMs, long nowMs) {
    return nowMs - Math.max(sinceMs, listeningSinceMs);
  }

  /** Time without an answer of this controller after which nothing is on a worker, in ms. */
  long leaseExpiryMs() {
    return Math.round(context.settings().workerLeaseMs() * (1 + Settings.CLOCK_DRIFT))
        + context.heartbeatIntervalsMs(LEASE_MARGIN_INTERVALS);
  }
}
