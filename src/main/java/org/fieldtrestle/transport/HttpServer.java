package org.fieldtrestle.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.fieldtrestle.transport.SocketBudget.ConnectionPriority;

/**
 * Serves HTTP/1.1, one request at a time on each connection. The state is not thread-safe, so the
 * group must have a single event loop.
 */
public final class HttpServer {
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int MAX_INITIAL_LINE_BYTES = 4096;
  private static final int MAX_HEADER_BYTES = 8192;
  private static final int MAX_CHUNK_BYTES = 4096;

  /**
   * The number of connections that may wait to be accepted. It is large because all workers connect
   * at once after a restart. Connections beyond this number are retried by their clients.
   */
  private static final int BACKLOG = 4096;

  /** How often connections are checked against the time limits during one request timeout. */
  private static final int CHECKS_PER_REQUEST_TIMEOUT = 4;

  private final EventLoopGroup group;
  private final Http.Handler handler;
  private final SocketBudget sockets;
  private final Predicate<String> expendablePaths;
  private final long requestTimeoutMs;
  private final EventLoopMeter meter;
  private final InboundConnections connections;

  /**
   * Creates a server that does not listen yet.
   *
   * @param sockets the socket budget that all connections of this server count towards
   * @param expendablePaths whether a path is one whose connections are closed first when sockets
   *     are scarce
   * @param idleTimeoutMs the time in milliseconds after which a connection without a request is
   *     closed
   * @param requestTimeoutMs the time in milliseconds within which a request must be complete, from
   *     the opening of a new connection or from the first byte of a later request
   * @param meter measures the reading of requests and the writing of responses
   */
  public HttpServer(
      EventLoopGroup group,
      Http.Handler handler,
      SocketBudget sockets,
      Predicate<String> expendablePaths,
      long idleTimeoutMs,
      long requestTimeoutMs,
      EventLoopMeter meter) {
    this.group = group;
    this.handler = handler;
    this.sockets = sockets;
    this.expendablePaths = expendablePaths;
    this.requestTimeoutMs = requestTimeoutMs;
    this.meter = meter;
    this.connections = new InboundConnections(sockets, idleTimeoutMs, requestTimeoutMs);
  }

  /**
   * Binds the address, waits until the server listens, and returns the port.
   *
   * @throws IllegalStateException if the address cannot be bound
   */
  public int start(InetSocketAddress address) throws InterruptedException {
    try {
      return bind(address).get();
    } catch (ExecutionException e) {
      throw new IllegalStateException("cannot listen on " + address, e.getCause());
    }
  }

  /** Begins to listen. The returned future completes with the port or with the failure. */
  @SuppressWarnings("FutureReturnValueIgnored") // addListener() returns the bind future itself
  public CompletableFuture<Integer> bind(InetSocketAddress address) {
    CompletableFuture<Integer> bound = new CompletableFuture<>();
    bootstrap()
        .bind(address)
        .addListener(
            (ChannelFuture bindFuture) -> {
              if (bindFuture.isSuccess()) {
                closeOverduePeriodically(bindFuture.channel());
                bound.complete(((InetSocketAddress) bindFuture.channel().localAddress()).getPort());
              } else {
                bound.completeExceptionally(bindFuture.cause());
              }
            });
    return bound;
  }

  @SuppressWarnings("FutureReturnValueIgnored") // the task ends with the event loop
  private void closeOverduePeriodically(Channel channel) {
    long intervalMs = Math.max(1, requestTimeoutMs / CHECKS_PER_REQUEST_TIMEOUT);
    channel
        .eventLoop()
        .scheduleWithFixedDelay(
            connections::closeOverdue, intervalMs, intervalMs, TimeUnit.MILLISECONDS);
  }

  private ServerBootstrap bootstrap() {
    return NettyBootstraps.server(group, new Initializer())
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true);
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // a refused connection needs no further handling
    protected void initChannel(SocketChannel channel) {
      if (!sockets.makeRoom(ConnectionPriority.ORDINARY)) {
        channel.close();
        return;
      }
      connections.connectionOpened(channel);
      channel
          .pipeline()
          .addLast(new ReadHandler())
          .addLast(new HttpServerCodec(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
          .addLast(new HttpObjectAggregator(MAX_BODY_BYTES, true))
          .addLast(new HttpExchangeHandler(handler, connections, sockets, expendablePaths, meter));
    }
  }

  /**
   * Reports received bytes to {@link InboundConnections} and measures the reading and handling of
   * requests.
   */
  private final class ReadHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
      connections.bytesReceived(ctx.channel());
      EventLoopMeter.Activity outer = meter.begin(EventLoopMeter.Activity.HTTP_SERVER_READ);
      try {
        super.channelRead(ctx, message);
      } finally {
        meter.end(outer);
      }
    }
  }
}
