package org.fieldtrestle.simulation;

import java.util.function.Consumer;
import org.fieldtrestle.transport.Http;

/** Sends the requests of one controller, subject to the faults of its links. */
final class SimulatedControllerCaller implements Http.Caller {
  private static final long REFUSAL_DELAY_MS = 2;
  private static final Http.Outcome TIMED_OUT = new Http.Unknown("timeout");

  private final SimulatedCluster cluster;
  private final SimulatedTime time;
  private final SimulatedController controller;

  SimulatedControllerCaller(SimulatedCluster cluster, SimulatedController controller) {
    this.cluster = cluster;
    this.time = cluster.time;
    this.controller = controller;
  }

  @Override
  public void call(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<Http.Outcome> done) {
    String label = controller.label();
    Link link = linkTo(address);
    if (link == Link.STORE && cluster.faults.remainingStoreRefusalMs(label) > 0) {
      complete(REFUSAL_DELAY_MS, new Http.Answer(503, Http.Response.EMPTY), done);
      return;
    }
    if (cluster.faults.isDisconnected(label, link)) {
      complete(timeoutMs, time.chance(0.5) ? new Http.NotSent("timeout") : TIMED_OUT, done);
      return;
    }
    long delayMs = cluster.messageObserver().beforeSending(label, link, path, body);
    if (delayMs == MessageObserver.LOST) {
      complete(timeoutMs, TIMED_OUT, done);
      return;
    }
    long timeoutAtMs = time.now() + timeoutMs;
    controller.sendAfter(
        delayMs,
        () ->
            cluster.network.call(
                ClusterLayout.zone(label),
                controller::isAlive,
                address,
                method,
                path,
                body,
                timeoutMs,
                outcome -> receive(link, path, body, outcome, timeoutAtMs, done)));
  }

  private static Link linkTo(String address) {
    return switch (address) {
      case ClusterLayout.STORE_ADDRESS -> Link.STORE;
      case ClusterLayout.CLOUD_ADDRESS -> Link.CLOUD;
      default -> Link.WORKERS;
    };
  }

  private void receive(
      Link link,
      String path,
      byte[] body,
      Http.Outcome outcome,
      long timeoutAtMs,
      Consumer<Http.Outcome> done) {
    String label = controller.label();
    // While the store refuses requests, open watches wait, as they do in an outage.
    long refusedMs = path.startsWith("/watch") ? cluster.faults.remainingStoreRefusalMs(label) : 0;
    long delayMs = cluster.messageObserver().beforeAnswer(label, link, path, body);
    if (link == Link.STORE && delayMs == MessageObserver.NO_DELAY) {
      delayMs = cluster.storeAnswerDelays().delayMs(label, path, body);
    }
    boolean lost = delayMs == MessageObserver.LOST;
    Http.Outcome received = lost ? TIMED_OUT : outcome;
    time.after(
        refusedMs + (lost ? timeoutAtMs - time.now() : delayMs),
        controller::isAlive,
        () -> controller.turn(() -> done.accept(received)));
  }

  private void complete(long afterMs, Http.Outcome outcome, Consumer<Http.Outcome> done) {
    time.after(afterMs, controller::isAlive, () -> done.accept(outcome));
  }
}
