package org.fieldtrestle.simulation;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.Consumer;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.controller.Controller;
import org.fieldtrestle.transport.EventLoopMeter;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.Reactor;

/** A process that runs the controller's production code. It can be killed, frozen and slowed. */
final class SimulatedController {
  /** The maximum drift of a controller's steady clock. */
  private static final double MAX_CLOCK_DRIFT = 0.0005;

  /** The maximum error of a controller's wall clock. */
  private static final long MAX_WALL_CLOCK_OFFSET_MS = 100;

  private static final double REPEATED_FRAME_SHARE = 0.05;
  private static final double LATE_FRAME_SHARE = 0.05;

  private final SimulatedCluster cluster;
  private final SimulatedTime time;
  private final String label;
  private final Controller controller;
  private boolean alive = true;

  /** Until when the process is frozen. Its clocks go on, and what reaches the process waits. */
  private long frozenUntilMs;

  /** The duration of each turn of the event loop. */
  private long turnMs;

  /** Until when the event loop is busy with the turns that are already queued. */
  private long busyUntilMs;

  /** Until when the messages that the controller sends are held back. */
  private long messagesHeldUntilMs;

  SimulatedController(SimulatedCluster cluster, String label) {
    this.cluster = cluster;
    this.time = cluster.time;
    this.label = label;
    Reactor reactor =
        time.process(
            this::isAlive,
            this::turn,
            time.random.nextDouble() * MAX_CLOCK_DRIFT,
            time.between(-MAX_WALL_CLOCK_OFFSET_MS, MAX_WALL_CLOCK_OFFSET_MS));
    this.controller =
        new Controller(
            ClusterLayout.settings(label, cluster.deployment()),
            OperatorSettings.DEFAULT,
            reactor,
            time.random,
            new SimulatedControllerCaller(cluster, this),
            this::sendFrame,
            new EventLoopMeter(reactor::nanoTime));
    reactor.execute(() -> controller.start(this::listen));
  }

  String label() {
    return label;
  }

  boolean isAlive() {
    return alive;
  }

  boolean isFrozen() {
    return time.nowMs() < frozenUntilMs;
  }

  /** Returns how long work that reaches the event loop now waits for its turn. */
  long lagMs() {
    return Math.max(0, busyUntilMs - time.nowMs());
  }

  /** Stops the process and returns whether it was alive. */
  boolean stop() {
    boolean wasAlive = alive;
    alive = false;
    return wasAlive;
  }

  void freeze(long durationMs) {
    frozenUntilMs = time.nowMs() + durationMs;
  }

  void slowDown(long newTurnMs) {
    turnMs = newTurnMs;
  }

  void holdMessages(long durationMs) {
    messagesHeldUntilMs = time.nowMs() + durationMs;
  }

  // ---- turns

  /** Runs work in the controller's event loop as soon as its turn comes. */
  void turn(Runnable work) {
    whenNotFrozen(
        () -> {
          if (turnMs == 0) {
            work.run();
            return;
          }
          busyUntilMs = Math.max(busyUntilMs, time.nowMs()) + turnMs;
          time.after(busyUntilMs - time.nowMs(), this::isAlive, () -> whenNotFrozen(work));
        });
  }

  private void whenNotFrozen(Runnable work) {
    long waitMs = frozenUntilMs - time.nowMs();
    if (waitMs > 0) {
      time.after(waitMs, this::isAlive, () -> whenNotFrozen(work));
    } else {
      work.run();
    }
  }

  // ---- messages

  /** Sends a message after a delay, or later if messages are held back at that time. */
  void sendAfter(long delayMs, Runnable message) {
    if (delayMs == MessageObserver.NO_DELAY) {
      send(message);
    } else {
      time.after(delayMs, this::isAlive, () -> send(message));
    }
  }

  private void send(Runnable message) {
    long waitMs = messagesHeldUntilMs - time.nowMs();
    if (waitMs > 0) {
      time.after(waitMs, this::isAlive, message);
    } else {
      message.run();
    }
  }

  private void listen() {
    cluster.network.serve(ClusterLayout.address(label), ClusterLayout.zone(label), this::receive);
    cluster.onListening(label);
  }

  private void receive(Http.Request request, Consumer<Http.Response> reply) {
    boolean heartbeat = request.path().equals("/hello");
    long delayMs = cluster.messageObserver().beforeRequest(label, request.path());
    Link link = heartbeat ? Link.WORKERS : Link.USERS;
    if (delayMs == MessageObserver.LOST || cluster.faults.isDisconnected(label, link)) {
      return;
    }
    Runnable handle = () -> turn(() -> handle(request, heartbeat, reply));
    if (delayMs == MessageObserver.NO_DELAY) {
      handle.run();
    } else {
      time.after(delayMs, this::isAlive, handle);
    }
  }

  private void handle(Http.Request request, boolean heartbeat, Consumer<Http.Response> reply) {
    controller.handle(
        request,
        response -> {
          if (heartbeat && response.status() == 200) {
            cluster.onHeartbeatAnswered(label);
          }
          send(() -> reply.accept(response));
        });
  }

  /** Handles a request that does not pass through the network. */
  void handle(String method, String path, byte[] body, Consumer<Http.Response> reply) {
    controller.handle(new Http.Request(method, path, Map.of(), body), reply);
  }

  private void sendFrame(String peerAddress, ByteBuffer frame) {
    if (!cluster.faults.isDisconnected(label, Link.PEERS)) {
      cluster.controller(ClusterLayout.labelOfPeer(peerAddress)).receiveFrame(frame);
    }
  }

  /** Receives a frame of another controller. Some frames arrive twice, and some arrive late. */
  private void receiveFrame(ByteBuffer frame) {
    ByteBuffer body = frame.duplicate();
    body.position(Integer.BYTES); // skips the length
    byte[] bytes = new byte[body.remaining()];
    body.get(bytes);
    if (cluster.faults.isDisconnected(label, Link.PEERS)) {
      return;
    }
    int copies = time.chance(REPEATED_FRAME_SHARE) ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      time.after(
          time.chance(LATE_FRAME_SHARE) ? time.between(500, 60_000) : time.between(1, 5),
          this::isAlive,
          () -> turn(() -> controller.peerFrameReceived(ByteBuffer.wrap(bytes))));
    }
  }
}
