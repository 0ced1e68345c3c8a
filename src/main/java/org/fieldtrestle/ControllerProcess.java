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

/** A controller with its event loop, its HTTP client and server, and its peer transport. */
final class ControllerProcess {
  /**
   * The limit on connections for commands to workers is the number of all sockets divided by this.
   */
  private static final int WORKER_CALLS_DIVISOR = 5;

  /**
   * The number of inbound connections for each other controller. It is more than one, because the
   * old connections of a restarted controller may still be open.
   */
  private static final int MAX_INBOUND_PER_PEER = 8;

  /** The time after which an idle connection is closed, in worker leases. */
  private static final int IDLE_TIMEOUT_LEASES = 2;

  /** A request must be complete within the worker lease divided by this. */
  private static final int REQUEST_TIMEOUT_LEASE_DIVISOR = 2;

  private static final long SHUTDOWN_TIMEOUT_S = 1;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final NettyReactor reactor = new NettyReactor(group.next());
  private final PeerTransport peerTransport;
  private final Controller controller;
  private final HttpServer server;

  ControllerProcess(Settings settings, OperatorSettings operatorSettings) {
    EventLoopMeter meter = new EventLoopMeter(System::nanoTime);
    int maxConnections = settings.processLimits().maxConnections();
    SocketBudget sockets = new SocketBudget(maxConnections);
    long idleTimeoutMs = settings.workerLeaseMs() * IDLE_TIMEOUT_LEASES;
    HttpClient client =
        new HttpClient(
            group.next(),
            sockets,
            new HashSet<>(List.of(settings.keyValueStoreAddress(), settings.cloudAddress())),
            maxConnections / WORKER_CALLS_DIVISOR,
            meter);
    peerTransport =
        new PeerTransport(
            group,
            sockets,
            PeerProtocol.MAX_FRAME_BYTES,
            MAX_INBOUND_PER_PEER * (settings.peers().size() + 1),
            idleTimeoutMs,
            settings.heartbeatIntervalsMs(1));
    controller =
        new Controller(
            settings,
            operatorSettings,
            reactor,
            new SplittableRandom(),
            client,
            peerTransport,
            meter);
    server =
        new HttpServer(
            group,
            controller,
            sockets,
            WorkerProtocol.HEARTBEAT_PATH::equals,
            idleTimeoutMs,
            settings.workerLeaseMs() / REQUEST_TIMEOUT_LEASE_DIVISOR,
            meter);
  }

  /**
   * Starts the controller. When it begins to listen for users and workers is described at {@link
   * Controller#start}.
   *
   * @return a future that completes with the port for users and workers, or with the failure to
   *     listen
   */
  CompletableFuture<Integer> start(InetSocketAddress userAddress, InetSocketAddress peerAddress)
      throws InterruptedException {
    peerTransport.start(peerAddress, this::receiveFrame);
    CompletableFuture<Integer> boundPort = new CompletableFuture<>();
    reactor.execute(() -> controller.start(() -> listen(userAddress, boundPort)));
    return boundPort;
  }

  @SuppressWarnings("FutureReturnValueIgnored") // whenComplete() passes on both outcomes
  private void listen(InetSocketAddress userAddress, CompletableFuture<Integer> boundPort) {
    server
        .bind(userAddress)
        .whenComplete(
            (port, failure) -> {
              if (failure == null) {
                boundPort.complete(port);
              } else {
                boundPort.completeExceptionally(failure);
              }
            });
  }

  private void receiveFrame(ByteBuffer received) {
    ByteBuffer copy = ByteBuffer.allocate(received.remaining()).put(received).flip();
    controller.peerFrameReceived(copy);
  }

  /** Waits until the controller has stopped. */
  void awaitTermination() throws InterruptedException {
    group.terminationFuture().sync();
  }

  /** Stops the controller immediately, without notifying other controllers. */
  void stop() throws InterruptedException {
    group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS).sync();
  }
}
