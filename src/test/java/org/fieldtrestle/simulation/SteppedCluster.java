package org.fieldtrestle.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

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
    STATE_REQUEST,
    /** The answer to one is about to reach the controller. */
    STATE_ANSWER,
    /** A controller sends a direct command to a worker. */
    COMMAND,
    /** The answer to one is about to reach the controller. */
    COMMAND_ANSWER,
    /** A worker's report is about to reach a controller. */
    REPORT,
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
    /** It is held back within the time-out of a request to the state service. */
    LATE
  }

  /** Told of each step before it takes place. */
  public interface Listener {
    Effect before(Step step);
  }

  private static final long LATE_MS = 1200;
  private static final int CONTROLLERS = 3;

  /** Far more than any scenario has: a run that grows without bound is ended. */
  private static final int MAX_STEPS = 400_000;

  private final SimulatedCluster cluster;
  private final Listener listener;
  private int steps;

  /**
   * @param machines how many the cloud can give
   */
  public SteppedCluster(long seed, int machines, Listener listener) {
    this.listener = listener;
    this.cluster =
        new SimulatedCluster(new SplittableRandom(seed), machines, Deployment.timberFleet());
    cluster.messages = new Observer();
  }

  private final class Observer implements SimulatedCluster.MessageObserver {
    @Override
    public long beforeSending(String controller, String peer, String path, byte[] body) {
      return switch (peer) {
        case "state" -> step(controller, StepKind.STATE_REQUEST, detail(path, body));
        case "workers" -> step(controller, StepKind.COMMAND, path);
        default -> PROMPT;
      };
    }

    @Override
    public long beforeAnswer(String controller, String peer, String path, byte[] body) {
      return switch (peer) {
        case "state" -> step(controller, StepKind.STATE_ANSWER, detail(path, body));
        case "workers" -> step(controller, StepKind.COMMAND_ANSWER, path);
        default -> step(controller, StepKind.CLOUD_ANSWER, path);
      };
    }

    @Override
    public long beforeRequest(String controller, String path) {
      StepKind kind = path.equals("/hello") ? StepKind.REPORT : StepKind.USER_REQUEST;
      return path.equals("/ready") ? PROMPT : step(controller, kind, path);
    }
  }

  private long step(String controller, StepKind kind, String detail) {
    if (steps >= MAX_STEPS) {
      throw new StepLimitExceeded();
    }
    Step step = new Step(steps++, cluster.time.now(), controller, kind, detail);
    return switch (listener.before(step)) {
      case NONE -> SimulatedCluster.MessageObserver.PROMPT;
      case LOST -> SimulatedCluster.LateAnswers.LOST;
      case LATE -> LATE_MS;
    };
  }

  /** A run that had more steps than any should have. */
  public static final class StepLimitExceeded extends RuntimeException {
    private static final long serialVersionUID = 1;

    StepLimitExceeded() {
      super("more than " + MAX_STEPS + " steps");
    }
  }

  /** The kind of a request to the state service; of a transaction, what it is for. */
  private static String detail(String path, byte[] body) {
    if (!path.equals("/commit")) {
      int end = path.indexOf('?');
      String name = end < 0 ? path : path.substring(0, end);
      return name.startsWith("/leases") ? "/leases" : name;
    }
    String text = new String(body, StandardCharsets.UTF_8);
    for (String family : List.of("final", "master", "roster", "quota", "range", "job")) {
      boolean writes = text.contains("\"write\":\"ft/live/" + family + "/");
      if (writes || family.equals("final") && text.contains("ft/final/")) {
        return "/commit " + (family.equals("final") && writesEnd(text) ? "end" : family);
      }
    }
    return "/commit";
  }

  private static boolean writesEnd(String text) {
    return text.contains("\"write\":\"ft/final/");
  }

  // ---- time and figures

  public long nowMs() {
    return cluster.time.now();
  }

  public void runUntil(long ms) {
    cluster.time.runUntil(ms);
  }

  /** Does something at a time. */
  public void at(long ms, Runnable action) {
    cluster.time.after(ms - cluster.time.now(), action);
  }

  public int stepCount() {
    return steps;
  }

  public long workerLeaseMs() {
    return cluster.leaseMs;
  }

  public long cancelMs() {
    return cluster.cancelMs;
  }

  public static String controller(int number) {
    return "trestle-" + number % CONTROLLERS;
  }

  // ---- users

  public void submit(String id, int tasks, double cpus, long runMs) {
    submit(id, tasks, cpus, runMs, false);
  }

  /** A job of which at most half may be in one zone. */
  public void submitSpread(String id, int tasks, double cpus, long runMs) {
    submit(id, tasks, cpus, runMs, true);
  }

  private void submit(String id, int tasks, double cpus, long runMs, boolean spread) {
    cluster.submit(
        id,
        job -> {
          job.tasks = tasks;
          job.cpus = cpus;
          job.runMs = runMs;
          job.spread = spread;
        });
  }

  /** The submission of a job that was accepted, repeated at some controller; else nothing. */
  public void submitAgain(String id) {
    if (cluster.rules.isAccepted(id)) {
      cluster.submitAgain(cluster.jobs.get(id));
    }
  }

  public void cancel(String id) {
    cluster.cancel(cluster.jobs.get(id));
  }

  /** Cancels a job at the controller that leads most of its tasks. */
  public void cancelAtLeader(String id) {
    SimulatedCluster.Job job = cluster.jobs.get(id);
    cluster.cancelAt(cluster.leaderOf(job), job);
  }

  public void ask(String id) {
    cluster.ask(id);
  }

  // ---- faults; each is noted, so that checks allow for its time

  public void stateOutage(long ms) {
    cluster.trouble(ms);
    cluster.state.outage(ms);
  }

  public void refuseController(String controller, long ms) {
    cluster.trouble(ms);
    cluster.isolate(controller, ms);
  }

  public void cutFromStateAndPeers(String controller, long ms) {
    cluster.trouble(ms);
    cluster.lose(controller, ms, "state", "peers");
  }

  public void cutFromWorkers(String controller, long ms) {
    cluster.trouble(ms);
    cluster.lose(controller, ms, "workers");
  }

  public void slowState(long ms) {
    cluster.trouble(ms);
    cluster.net.slow(SimulatedCluster.STATE, LATE_MS / 2, ms);
  }

  public void carryOutTransactionsLate(long ms) {
    cluster.trouble(ms + 12_000);
    cluster.state.lateWrites = 1;
    cluster.time.after(ms, () -> cluster.state.lateWrites = 0);
  }

  public void freeze(String controller, long ms) {
    cluster.trouble(ms);
    cluster.freeze(controller, ms);
  }

  public void kill(String controller, long backAfterMs) {
    cluster.trouble(backAfterMs + 10_000);
    cluster.kill(controller, backAfterMs);
  }

  /** Notes that messages were lost or late for a while. */
  public void noteFault(long ms) {
    cluster.trouble(ms);
  }

  public void hangMachinesOf(String job, long ms) {
    cluster.trouble(ms);
    machineCountOf(job).forEach(machine -> machine.hang(ms));
  }

  public void loseMachinesOf(String job) {
    machineCountOf(job).forEach(machine -> cluster.cloud.remove(machine.id));
  }

  private List<SimulatedWorker> machineCountOf(String id) {
    SimulatedCluster.Job job = cluster.jobs.get(id);
    List<SimulatedWorker> machines = new ArrayList<>();
    for (SimulatedWorker machine : cluster.cloud.machines.values()) {
      for (int i = 0; job != null && i < job.tasks; i++) {
        if (machine.holds(id + "/" + i) && !machines.contains(machine)) {
          machines.add(machine);
        }
      }
    }
    return machines;
  }

  // ---- what users see

  /** Until when faults that were noted go on. */
  public long calmFromMs() {
    return cluster.calmSince();
  }

  /** The rules broken so far, in the order in which they were. */
  public List<String> broken() {
    return List.copyOf(cluster.rules.broken);
  }

  /** How long after a confirmed cancellation the latest start was ordered; 0 where none was. */
  public long latestStartAfterCancellationMs() {
    return cluster.rules.orderedLatestAfterCancelMs;
  }

  /** The jobs whose users have not been told of their end. */
  public List<String> unended() {
    return cluster.jobs.keySet().stream()
        .filter(
            id -> {
              String last = cluster.rules.lastOf(id);
              return !"done".equals(last) && !"cancelled".equals(last);
            })
        .sorted()
        .toList();
  }
}
