package org.fieldtrestle;

import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.controller.Controller;
import org.fieldtrestle.protocol.PeerProtocol;
import org.fieldtrestle.protocol.WorkerProtocol;
import org.fieldtrestle.transport.EventLoopMeter;
import org.fieldtrestle.transport.HttpClient;
import org.fieldtrestle.transport.HttpServer;
import org.fieldtrestle.transport.NettyReactor;
import org.fieldtrestle.transport.PeerTransport;
import org.fieldtrestle.transport.SocketBudget;

/** A controller with its event loop and its connections to everybody else. */
final class ControllerProcess {
  /** Share of all sockets that direct commands to workers may take. */
  private static final int WORKER_CALLS_DIVISOR = 5;

  /** Connections from each other controller: it may have come back while old ones linger. */
  private static final int INBOUND_PER_PEER = 8;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final NettyReactor reactor = new NettyReactor(group.next());
  private final PeerTransport peers;
  private final Controller controller;
  private final HttpServer server;

  ControllerProcess(Settings settings, OperatorSettings tuning) {
    EventLoopMeter meter = new EventLoopMeter(System::nanoTime);
    SocketBudget sockets = new SocketBudget(settings.limits().maxConnections());
    long idleMs = settings.workerLeaseMs() * 2;
    HttpClient client =
        new HttpClient(
            group.next(),
            sockets,
            new HashSet<>(List.of(settings.stateAddress(), settings.cloudAddress())),
            settings.limits().maxConnections() / WORKER_CALLS_DIVISOR,
            meter);
    peers =
        new PeerTransport(
            group,
            sockets,
            PeerProtocol.MAX_FRAME_BYTES,
            INBOUND_PER_PEER * (settings.peers().size() + 1),
            idleMs,
            Math.round(settings.workers().heartbeatIntervalS() * 1000));
    controller =
        new Controller(settings, tuning, reactor, new SplittableRandom(), client, peers, meter);
    server =
        new HttpServer(
            group,
            controller,
            sockets,
            WorkerProtocol.HEARTBEAT_PATH::equals,
            idleMs,
            settings.workerLeaseMs() / 2,
            meter);
  }

  /**
   * Begins to act, and listens for users and workers once it does.
   *
   * @return completes with the port for users and workers, or with why it cannot listen
   */
  CompletableFuture<Integer> start(InetSocketAddress front, InetSocketAddress internal)
      throws InterruptedException {
    peers.start(internal, this::frame);
    CompletableFuture<Integer> listening = new CompletableFuture<>();
    reactor.execute(() -> controller.start(() -> listen(front, listening)));
    return listening;
  }

  private void listen(InetSocketAddress front, CompletableFuture<Integer> listening) {
    server
        .bind(front)
        .whenComplete(
            (port, failure) -> {
              if (failure == null) {
                listening.complete(port);
              } else {
                listening.completeExceptionally(failure);
              }
            });
  }

  private void frame(ByteBuffer received) {
    ByteBuffer copy = ByteBuffer.allocate(received.remaining()).put(received).flip();
    controller.frame(copy);
  }

  /** Waits for as long as the controller runs. */
  void await() throws InterruptedException {
    group.terminationFuture().sync();
  }

  /** Ends the controller at once. */
  void stop() throws InterruptedException {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }
}
