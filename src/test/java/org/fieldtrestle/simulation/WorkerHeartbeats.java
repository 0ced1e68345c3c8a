package org.fieldtrestle.simulation;

import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.transport.Http;

/** Sends the heartbeats of a simulated worker, periodically and soon after a task has changed. */
final class WorkerHeartbeats {
  /** The minimum time between two heartbeats of a worker. */
  private static final long MIN_INTERVAL_MS = 500;

  /** How long a worker waits for the answer to a heartbeat. */
  static final long TIMEOUT_MS = 4000;

  /** The time after a failure until the next controller is tried. */
  private static final long RETRY_DELAY_MS = 1000;

  private final SimulatedCluster cluster;
  private final SimulatedTime time;
  private final SimulatedWorker worker;
  private int targetIndex;
  private boolean awaitingAnswer;
  private boolean due;
  private boolean changed;
  private long lastSentAtMs = -10_000;
  private byte[] lastBody = Http.Response.EMPTY;

  /** A heartbeat that was sent and not answered yet. */
  private record Sent(long atMs, long incarnation) {}

  WorkerHeartbeats(SimulatedCluster cluster, SimulatedWorker worker) {
    this.cluster = cluster;
    this.time = cluster.time;
    this.worker = worker;
  }

  /** Chooses a random controller for the first heartbeat. */
  void chooseController() {
    targetIndex = (int) time.between(0, cluster.labels().size() - 1);
  }

  /** Returns the label of the controller that heartbeats are sent to. */
  String target() {
    return cluster.labels().get(targetIndex);
  }

  byte[] lastBody() {
    return lastBody;
  }

  /** Sends heartbeats periodically from now on. */
  void start() {
    long intervalMs = cluster.heartbeatIntervalMs;
    time.after(
        time.between(intervalMs * 3 / 4, intervalMs * 5 / 4),
        worker::isAlive,
        () -> {
          due = true;
          sendIfDue();
          start();
        });
  }

  /** Called when something has changed that a heartbeat reports. */
  void onChange() {
    changed = true;
    sendIfDue();
  }

  private void sendIfDue() {
    if (!worker.isAlive() || awaitingAnswer || !(due || changed)) {
      return;
    }
    if (worker.faults.isHanging()) {
      worker.afterHanging(this::sendIfDue);
      return;
    }
    long waitMs = lastSentAtMs + MIN_INTERVAL_MS - time.nowMs();
    if (waitMs > 0) {
      time.after(waitMs, worker::isAlive, this::sendIfDue);
      return;
    }
    worker.checkLease();
    send();
  }

  private void send() {
    awaitingAnswer = true;
    due = false;
    changed = false;
    lastSentAtMs = time.nowMs();
    Sent sent = new Sent(time.nowMs(), worker.incarnation());
    String label = target();
    lastBody = worker.status();
    if (!worker.faults.canReach(label)) {
      receiveAfter(1, new Http.NotSent("timeout"), sent, sent.atMs());
      return;
    }
    cluster.network.call(
        worker.zone,
        worker::isAlive,
        ClusterLayout.address(label),
        "POST",
        "/hello",
        lastBody,
        TIMEOUT_MS,
        outcome -> {
          long answeredAtMs = time.nowMs() - cluster.network.currentAnswerHeldMs();
          if (worker.faults.isIncomingBlocked()) {
            long leftMs = sent.atMs() + TIMEOUT_MS - time.nowMs();
            receiveAfter(leftMs, new Http.Unknown("timeout"), sent, answeredAtMs);
          } else {
            worker.whenResumed(() -> receive(outcome, sent, answeredAtMs));
          }
        });
  }

  private void receiveAfter(long delayMs, Http.Outcome outcome, Sent sent, long answeredAtMs) {
    time.after(
        delayMs,
        worker::isAlive,
        () -> worker.whenResumed(() -> receive(outcome, sent, answeredAtMs)));
  }

  private void receive(Http.Outcome outcome, Sent sent, long answeredAtMs) {
    awaitingAnswer = false;
    int status = outcome instanceof Http.Answer answer ? answer.status() : 0;
    byte[] body = outcome instanceof Http.Answer answer ? answer.body() : Http.Response.EMPTY;
    switch (status) {
      case 200 -> {
        if (time.nowMs() - sent.atMs() <= TIMEOUT_MS
            && sent.incarnation() == worker.incarnation()) {
          worker.onHeartbeatAnswered(Json.parseOrEmpty(body), sent.atMs(), answeredAtMs);
        }
      }
      case 421 -> redirect(Json.parseOrEmpty(body).path("foreman").asText(""));
      default -> tryNextController();
    }
    sendIfDue();
  }

  private void redirect(String label) {
    int index = cluster.labels().indexOf(label);
    if (index >= 0 && index != targetIndex) {
      targetIndex = index;
      changed = true;
    } else {
      tryNextController();
    }
  }

  private void tryNextController() {
    targetIndex = (targetIndex + 1) % cluster.labels().size();
    time.after(
        RETRY_DELAY_MS,
        worker::isAlive,
        () -> {
          due = true;
          sendIfDue();
        });
  }
}
