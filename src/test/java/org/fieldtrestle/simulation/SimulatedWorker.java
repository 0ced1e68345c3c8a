package org.fieldtrestle.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import java.util.function.Consumer;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.transport.Http;

/**
 * A machine and its worker, by the protocol of heartbeats, fencing tokens and leases. It can be
 * frozen, cut off, slow, faulty or lost.
 */
final class SimulatedWorker implements Http.Handler {
  /** How often a worker looks whether its lease has expired. */
  private static final long LEASE_CHECK_MS = 50;

  /** A command that is executed so long after it was sent counts as late. */
  private static final long LATE_COMMAND_MS = 1000;

  private static final double ROUNDING_CPUS = 1e-6;

  final String id;
  final String address;
  final String type;
  final String zone;
  final boolean spot;
  final long rentedAtMs;
  final WorkerFaults faults;
  private final SimulatedCluster cluster;
  private final SimulatedTime time;
  private final WorkerTasks tasks;
  private final WorkerHeartbeats heartbeats;
  private boolean up;
  private boolean failed;
  private boolean returned;
  private long incarnation = 1;
  private long sequence;
  private long token;
  private long leaseFromMs;
  private int lateCommands;
  private int commandsWhileMute;

  SimulatedWorker(
      SimulatedCluster cluster, String id, String address, String type, String zone, boolean spot) {
    this.cluster = cluster;
    this.time = cluster.time;
    this.id = id;
    this.address = address;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.rentedAtMs = time.now();
    this.faults = new WorkerFaults(time);
    this.tasks = new WorkerTasks(cluster, this);
    this.heartbeats = new WorkerHeartbeats(cluster, this);
  }

  // ---- life of the machine

  boolean isUp() {
    return up;
  }

  boolean hasFailed() {
    return failed;
  }

  boolean isAlive() {
    return up && !returned && !failed;
  }

  /** The machine is up, and its worker begins to send heartbeats. */
  void boot() {
    if (returned) {
      return;
    }
    up = true;
    leaseFromMs = time.now();
    heartbeats.chooseController();
    cluster.network.serve(address, zone, this);
    heartbeats.start();
    watchLease();
  }

  /** The cloud takes the machine away. */
  void vanish() {
    tasks.stopAll();
    returned = true;
    cluster.network.stop(address);
  }

  /** The machine fails, and stays in the cloud's list. */
  void fail() {
    if (isAlive()) {
      tasks.stopAll();
      failed = true;
      cluster.network.stop(address);
    }
  }

  // ---- turns

  /** Runs something once the machine does not hang, and checks the lease before. */
  void whenResumed(Runnable work) {
    if (faults.isHanging()) {
      afterHanging(() -> whenResumed(work));
    } else {
      checkLease();
      work.run();
    }
  }

  /** Runs something just after the machine stops hanging. */
  void afterHanging(Runnable work) {
    time.after(faults.hangsForMs() + 1, this::isAlive, work);
  }

  // ---- figures

  /** The body of its last heartbeat, copies of which may arrive at any time. */
  byte[] lastHeartbeat() {
    return heartbeats.lastBody();
  }

  /** The controller that it sends heartbeats to. */
  String reportsTo() {
    return heartbeats.target();
  }

  /** Whether a task is on it that has not ended. */
  boolean holds(String task) {
    return tasks.holds(task);
  }

  /** Adds the tasks on it that have not ended. */
  void addTasksTo(Set<String> all) {
    tasks.addTo(all);
  }

  /** Whether it works and has room for a task of so many CPUs. */
  boolean hasRoom(double cpus) {
    return isAlive()
        && !faults.isHanging()
        && !faults.isDeaf()
        && !faults.isMute()
        && tasks.usedCpus() + cpus <= SimulatedCloud.CPUS + ROUNDING_CPUS;
  }

  /** How many direct commands it executed or refused long after they were sent. */
  int lateCommands() {
    return lateCommands;
  }

  /** How many direct commands it executed while it was mute. */
  int commandsWhileMute() {
    return commandsWhileMute;
  }

  // ---- lease

  /** Checks the lease at the first step after it expires, if nothing renews it until then. */
  private void watchLease() {
    long leftMs = leaseFromMs + cluster.leaseMs + 1 - time.now();
    long steps = Math.max(1, (leftMs + LEASE_CHECK_MS - 1) / LEASE_CHECK_MS);
    time.after(
        steps * LEASE_CHECK_MS,
        this::isAlive,
        () -> {
          checkLease();
          watchLease();
        });
  }

  /** Stops all tasks if the lease has expired, and begins a new incarnation. */
  void checkLease() {
    if (time.now() - leaseFromMs > cluster.leaseMs) {
      // A hanging worker begins one when it resumes; its tasks do not run meanwhile.
      tasks.stopAll();
      if (!faults.isHanging()) {
        incarnation++;
        leaseFromMs = time.now();
        heartbeats.onChange();
      }
    }
  }

  long incarnation() {
    return incarnation;
  }

  /** Takes in the commands of an answer to a heartbeat, which renews the lease. */
  void onHeartbeatAnswered(JsonNode body, long sentAtMs, long receivedAtMs) {
    long newToken = body.path("warrant").asLong(-1);
    if (newToken < token) {
      return;
    }
    boolean higher = newToken > token;
    token = newToken;
    leaseFromMs = Math.max(leaseFromMs, sentAtMs);
    tasks.execute(body.path("orders"), receivedAtMs);
    if (higher) {
      heartbeats.onChange();
    }
  }

  /** Called when the status of a task has changed. */
  void onTaskChange() {
    heartbeats.onChange();
  }

  // ---- messages

  /** The body of a heartbeat now. */
  byte[] status() {
    ObjectNode status =
        Json.object()
            .put("bench", id)
            .put("address", address)
            .put("rig", type)
            .put("yard", zone)
            .put("loaners", spot)
            .put("shift", incarnation)
            .put("tally", ++sequence)
            .put("warrant", token);
    tasks.writeTo(status.putArray("boards"));
    return Json.bytes(status);
  }

  @Override
  public void handle(Http.Request request, Consumer<Http.Response> reply) {
    handle(request, reply, cluster.network.sentAtMs());
  }

  private void handle(Http.Request request, Consumer<Http.Response> reply, long sentAtMs) {
    if (faults.isDeaf()) {
      return;
    }
    if (faults.isHanging()) {
      afterHanging(() -> handle(request, reply, sentAtMs));
      return;
    }
    checkLease();
    if (request.path().equals("/inspect")) {
      reply.accept(new Http.Response(200, status()));
    } else {
      handleCommands(Json.parseOrEmpty(request.body()), reply, sentAtMs);
    }
  }

  private void handleCommands(JsonNode body, Consumer<Http.Response> reply, long sentAtMs) {
    if (!body.has("warrant") || !body.has("shift")) {
      reply.accept(new Http.Response(400, Http.Response.EMPTY));
      return;
    }
    boolean late = time.now() - sentAtMs > LATE_COMMAND_MS;
    lateCommands += late ? 1 : 0;
    if (body.path("warrant").asLong() < token || body.path("shift").asLong() != incarnation) {
      reply.accept(new Http.Response(409, status()));
      return;
    }
    token = body.path("warrant").asLong();
    if (late) {
      cluster.onLateCommandExecuted();
    }
    commandsWhileMute += faults.isMute() ? 1 : 0;
    tasks.execute(body.path("orders"), sentAtMs);
    reply.accept(new Http.Response(200, status()));
  }

  /** Takes a start from a former leader that does not know of the end of its term. */
  void startForFormerLeader(String task, long attempt) {
    tasks.start(task, attempt);
    heartbeats.onChange();
  }
}
