package org.fieldtrestle.simulation;

import java.util.ArrayList;
import java.util.List;

/**
 * A simulated cluster whose messages are counted as steps. Before each step somebody is told of it,
 * who may decide what becomes of the message, or do something to the cluster at just this point.
 *
 * <p>The same seed, user actions and interventions give the same steps.
 */
public final class SteppedCluster {
  /** What a step is. */
  public enum StepKind {
    /** A controller sends a transaction, a watch, a lease request or a reading of a page. */
    STORE_REQUEST,
    /** The answer to one is about to reach the controller. */
    STORE_ANSWER,
    /** A controller sends a direct command to a worker. */
    COMMAND,
    /** The answer to one is about to reach the controller. */
    COMMAND_ANSWER,
    /** A worker's heartbeat is about to reach a controller. */
    HEARTBEAT,
    /** A user's request is about to reach a controller. */
    USER_REQUEST,
    /** An answer of the cloud is about to reach a controller. */
    CLOUD_ANSWER
  }

  /**
   * One message at one end of its way.
   *
   * @param number counts from 0
   * @param detail what kind of request it is, as a path or as what a transaction writes
   */
  public record Step(int number, long atMs, String controller, StepKind kind, String detail) {
    @Override
    public String toString() {
      return number + " at " + atMs + " ms: " + controller + " " + kind + " " + detail;
    }
  }

  /** What becomes of the message of a step. */
  public enum Effect {
    /** It goes on. */
    NONE,
    /** It is lost; its sender gives up after the usual time. */
    LOST,
    /** It is held back within the time-out of a request to the key-value store. */
    LATE
  }

  /** Told of each step before it takes place. */
  public interface Listener {
    Effect before(Step step);
  }

  private final SimulatedCluster cluster;
  private final StepObserver steps;

  /**
   * @param machines how many the cloud can give
   */
  public SteppedCluster(long seed, int machines, Listener listener) {
    this.cluster =
        SimulatedCluster.builder()
            .seed(seed)
            .machines(machines)
            .deployment(Deployment.largeWithLongIntervals())
            .start();
    this.steps = new StepObserver(cluster.time, listener);
    cluster.observeMessages(steps);
  }

  /** A run that had more steps than any should have. */
  public static final class StepLimitExceeded extends RuntimeException {
    private static final long serialVersionUID = 1;

    StepLimitExceeded(int limit) {
      super("more than " + limit + " steps");
    }
  }

  // ---- time and figures

  /** Simulated time. */
  public long nowMs() {
    return cluster.time.now();
  }

  /** Runs the simulation until a time. */
  public void runUntil(long ms) {
    cluster.time.runUntil(ms);
  }

  /** Does something at a time. */
  public void at(long ms, Runnable action) {
    cluster.time.after(ms - cluster.time.now(), action);
  }

  /** How many steps there were so far. */
  public int stepCount() {
    return steps.count();
  }

  /** The workers' lease. */
  public long workerLeaseMs() {
    return cluster.leaseMs;
  }

  /** How long after a cancellation tasks may run. */
  public long cancelMs() {
    return cluster.cancelMs;
  }

  /** The label of a controller. */
  public static String controller(int number) {
    return ClusterLayout.LABELS.get(number % ClusterLayout.LABELS.size());
  }

  // ---- users

  /** Submits a job of equal tasks, until it is accepted. */
  public void submit(String id, int tasks, double cpus, long runMs) {
    submit(id, tasks, cpus, runMs, false);
  }

  /** A job of which at most half may be in one zone. */
  public void submitSpread(String id, int tasks, double cpus, long runMs) {
    submit(id, tasks, cpus, runMs, true);
  }

  private void submit(String id, int tasks, double cpus, long runMs, boolean spread) {
    cluster.users.submit(
        id,
        job -> {
          job.tasks(tasks);
          job.cpus(cpus);
          job.runMs(runMs);
          job.spread(spread);
        });
  }

  /** The submission of a job that was accepted, repeated at some controller; else nothing. */
  public void submitAgain(String id) {
    if (cluster.invariants.isAccepted(id)) {
      cluster.users.submitAgain(cluster.jobs.get(id));
    }
  }

  /** Cancels a job at any controller, until that is confirmed. */
  public void cancel(String id) {
    cluster.users.cancel(cluster.jobs.get(id));
  }

  /** Cancels a job at the controller that leads most of its tasks. */
  public void cancelAtLeader(String id) {
    SimulatedJob job = cluster.jobs.get(id);
    cluster.users.cancelAt(cluster.leaderOf(job), job);
  }

  /** Asks about a job once. */
  public void ask(String id) {
    cluster.users.query(id);
  }

  // ---- faults; each is noted, so that checks allow for its time

  /** For a while the key-value store answers nobody. */
  public void storeOutage(long ms) {
    cluster.faults.note(ms);
    cluster.store.outage(ms);
  }

  /** For a while the key-value store refuses one controller. */
  public void refuseController(String controller, long ms) {
    cluster.faults.note(ms);
    cluster.faults.refuse(controller, ms);
  }

  /** For a while a controller reaches neither the key-value store nor its peers. */
  public void cutFromStateAndPeers(String controller, long ms) {
    cluster.faults.note(ms);
    cluster.faults.disconnect(controller, ms, Link.STORE, Link.PEERS);
  }

  /** For a while a controller and all workers do not reach each other. */
  public void cutFromWorkers(String controller, long ms) {
    cluster.faults.note(ms);
    cluster.faults.disconnect(controller, ms, Link.WORKERS);
  }

  /** For a while the key-value store is slow. */
  public void slowStore(long ms) {
    cluster.faults.note(ms);
    cluster.network.slow(ClusterLayout.STORE_ADDRESS, StepObserver.LATE_MS / 2, ms);
  }

  /** For a while transactions get no answer and are executed late. */
  public void executeTransactionsLate(long ms) {
    cluster.faults.note(ms + 12_000);
    cluster.store.delayCommits(1);
    cluster.time.after(ms, () -> cluster.store.delayCommits(0));
  }

  /** A controller stands still for a while. */
  public void freeze(String controller, long ms) {
    cluster.faults.note(ms);
    cluster.faults.freeze(controller, ms);
  }

  /** Ends a controller process; another one starts after some time. */
  public void kill(String controller, long backAfterMs) {
    cluster.faults.note(backAfterMs + 10_000);
    cluster.faults.kill(controller, backAfterMs);
  }

  /** Notes that messages were lost or late for a while. */
  public void noteFault(long ms) {
    cluster.faults.note(ms);
  }

  /** The machines with tasks of a job hang for a while. */
  public void hangMachinesOf(String job, long ms) {
    cluster.faults.note(ms);
    machinesOf(job).forEach(machine -> machine.faults.hang(ms));
  }

  /** The machines with tasks of a job are lost. */
  public void loseMachinesOf(String job) {
    machinesOf(job).forEach(machine -> cluster.cloud.remove(machine.id));
  }

  private List<SimulatedWorker> machinesOf(String id) {
    SimulatedJob job = cluster.jobs.get(id);
    List<SimulatedWorker> machines = new ArrayList<>();
    for (SimulatedWorker machine : cluster.cloud.machines.values()) {
      for (int i = 0; job != null && i < job.tasks(); i++) {
        if (machine.holds(id + "/" + i) && !machines.contains(machine)) {
          machines.add(machine);
        }
      }
    }
    return machines;
  }

  // ---- what users see

  /** Until when faults that were noted go on. */
  public long faultsEndMs() {
    return cluster.faults.endMs();
  }

  /** The rules broken so far, in the order in which they were. */
  public List<String> violations() {
    return List.copyOf(cluster.invariants.violations());
  }

  /** How long after a confirmed cancellation the latest start was ordered; 0 where none was. */
  public long latestStartAfterCancellationMs() {
    return cluster.invariants.lastStartOrderedAfterCancellationMs();
  }

  /** The jobs whose users have not been told of their end. */
  public List<String> unended() {
    return cluster.jobs.keySet().stream()
        .filter(id -> !cluster.invariants.hasEnded(id))
        .sorted()
        .toList();
  }
}
