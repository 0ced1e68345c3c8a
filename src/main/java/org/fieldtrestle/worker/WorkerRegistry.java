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

/** The workers of a shard by their ids, and queries about them that concern the whole shard. */
public final class WorkerRegistry {
  /** Number of heartbeat intervals without a heartbeat after which a worker gets no new tasks. */
  private static final double USABLE_WITHIN_INTERVALS = 2.5;

  /**
   * Heartbeat intervals by which a lease is assumed to last longer, to allow for network delays.
   */
  private static final double LEASE_MARGIN_INTERVALS = 0.2;

  private final LeadershipTerm term;
  private final ControllerContext context;
  private final Map<String, Worker> workers = new TreeMap<>();
  private final TeamUsage teamUsage = new TeamUsage();
  private final DuplicateAttempts duplicates = new DuplicateAttempts();

  /** Workers that may hold tasks of an earlier term and have not reported in this term. */
  private final Set<Worker> unreconciled = new LinkedHashSet<>();

  /**
   * Since when this controller has been able to hear workers without interruption, in milliseconds.
   * A controller that was suspended or was not entitled to answer has heard no worker, so that the
   * workers' silence before this time proves nothing.
   */
  private long listeningSinceMs;

  /**
   * Until when there may be unknown workers because the record that lists them is unreadable, in
   * milliseconds.
   */
  private long unknownWorkersUntilMs;

  /** Creates a registry without workers; {@link InventoryFollower} adds them. */
  public WorkerRegistry(ControllerContext context, LeadershipTerm term) {
    this.context = context;
    this.term = term;
  }

  /** Returns all workers in the order of their ids. */
  public Iterable<Worker> all() {
    return workers.values();
  }

  /** Returns the number of workers. */
  public int count() {
    return workers.size();
  }

  /** Returns the worker with this id, or {@code null} if the shard has none. */
  public Worker get(String id) {
    return workers.get(id);
  }

  /** Returns the resources that each team's tasks use on these workers. */
  public TeamUsage teamUsage() {
    return teamUsage;
  }

  DuplicateAttempts duplicates() {
    return duplicates;
  }

  /** Whether a task may still be on a worker that it was not placed on. */
  public boolean hasDuplicate(TaskRange range, int offset) {
    return duplicates.contains(range, offset);
  }

  /** Removes the entries of workers that no longer exist. */
  public void retainExisting(Map<String, ?> byWorker) {
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

  /**
   * Records that, until this time in milliseconds, there may be workers that no readable record
   * names.
   */
  void expectUnknownWorkersUntil(long timeMs) {
    unknownWorkersUntilMs = timeMs;
  }

  /** Returns the workers that may hold tasks which an earlier term has started. */
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

  // ---- eligibility for commands and tasks

  /**
   * Whether commands may be sent to the worker because it has reported this term's fencing token.
   */
  boolean mayReceiveCommands(Worker worker) {
    return worker.isReconciled() && hasSeenTermToken(worker);
  }

  private boolean hasSeenTermToken(Worker worker) {
    return worker.fencing().seenToken() >= term.firstToken();
  }

  /** Whether tasks that are placed on the worker may be started there. */
  public boolean mayStartTasksOn(Worker worker) {
    return worker.isUp()
        && !worker.isLeaseExpired()
        && !worker.isTerminating()
        && hasSeenTermToken(worker);
  }

  /** Whether new tasks may be placed on the worker. */
  public boolean isUsable(Worker worker, long nowMs) {
    return worker.isReconciled()
        && mayStartTasksOn(worker)
        && !worker.isDraining()
        && !worker.isUnresponsive()
        && !worker.isQuarantined(nowMs)
        && nowMs - worker.connection().lastHeartbeatAtMs()
            <= context.heartbeatIntervalsMs(USABLE_WITHIN_INTERVALS);
  }

  /** Returns the CPUs of all workers that are neither draining nor have an expired lease. */
  public double capacityCpus() {
    double cpus = 0;
    for (Worker worker : workers.values()) {
      MachineType type = context.machineType(worker.machineType());
      if (type != null && !worker.isDraining() && !worker.isLeaseExpired()) {
        cpus += type.cpus();
      }
    }
    return cpus;
  }

  /** Returns the free resources of each worker on which new tasks may be placed. */
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

  /** Called when no worker could be heard until now. */
  public void restartListening(long nowMs) {
    listeningSinceMs = nowMs;
  }

  /**
   * Returns for how long a worker has been silent while this controller could hear it, in
   * milliseconds.
   */
  public long silentForMs(Worker worker, long nowMs) {
    WorkerConnection connection = worker.connection();
    long heardAtMs = Math.max(connection.lastHeartbeatAtMs(), connection.leaseRenewedAtMs());
    return nowMs - Math.max(heardAtMs, listeningSinceMs);
  }

  /**
   * Returns for how long a condition has lasted while this controller could hear workers, in
   * milliseconds.
   *
   * @param sinceMs the beginning of the condition
   */
  public long listenedForMs(long sinceMs, long nowMs) {
    return nowMs - Math.max(sinceMs, listeningSinceMs);
  }

  /**
   * Returns how long after the last answer of this controller a worker is certain to have no tasks
   * left, in milliseconds.
   */
  long leaseExpiryMs() {
    return Math.round(context.settings().workerLeaseMs() * (1 + Settings.CLOCK_DRIFT))
        + context.heartbeatIntervalsMs(LEASE_MARGIN_INTERVALS);
  }
}
