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
import org.fieldtrestle.transport.SocketBudget.Use;

/** Serves HTTP/1.1, one request at a time on each connection. Used on one event loop only. */
public final class HttpServer {
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int MAX_INITIAL_LINE_BYTES = 4096;
  private static final int MAX_HEADER_BYTES = 8192;
  private static final int MAX_CHUNK_BYTES = 4096;

  /**
   * Connections that may wait to be accepted: after a restart all workers connect at once. Those
   * beyond it retry.
   */
  private static final int BACKLOG = 4096;

  /** Overdue connections are looked for this often in the time limit of a request. */
  private static final int CHECKS_PER_REQUEST_LIMIT = 4;

  private final EventLoopGroup group;
  private final Http.Handler handler;
  private final SocketBudget sockets;
  private final Predicate<String> expendablePaths;
  private final long requestMs;
  private final EventLoopMeter meter;
  private final InboundConnections connections;

  /**
   * Creates a server that does not listen yet.
   *
   * @param expendablePaths paths whose clients' connections are closed first when sockets are
   *     scarce
   * @param idleMs a connection without a request is closed after this time
   * @param requestMs a new connection, or a request that has begun, has to be complete within this
   * @param meter meters the reading of requests and the writing of responses
   */
  public HttpServer(
      EventLoopGroup group,
      Http.Handler handler,
      SocketBudget sockets,
      Predicate<String> expendablePaths,
      long idleMs,
      long requestMs,
      EventLoopMeter meter) {
    this.group = group;
    this.handler = handler;
    this.sockets = sockets;
    this.expendablePaths = expendablePaths;
    this.requestMs = requestMs;
    this.meter = meter;
    this.connections = new InboundConnections(sockets, idleMs, requestMs);
  }

  /** Listens, waits until that is possible and returns the port. */
  public int start(InetSocketAddress address) throws InterruptedException {
    try {
      return bind(address).get();
    } catch (ExecutionException e) {
      throw new IllegalStateException("cannot listen on " + address, e.getCause());
    }
  }

  /** Begins to listen; completes with the port, or with the failure. */
  @SuppressWarnings("FutureReturnValueIgnored") // addListener() returns the future listened to
  public CompletableFuture<Integer> bind(InetSocketAddress address) {
    CompletableFuture<Integer> bound = new CompletableFuture<>();
    bootstrap()
        .bind(address)
        .addListener(
            (ChannelFuture done) -> {
              if (done.isSuccess()) {
                closeOverduePeriodically(done.channel());
                bound.complete(((InetSocketAddress) done.channel().localAddress()).getPort());
              } else {
                bound.completeExceptionally(done.cause());
              }
            });
    return bound;
  }

  @SuppressWarnings("FutureReturnValueIgnored") // ends with the event loop
  private void closeOverduePeriodically(Channel channel) {
    long intervalMs = Math.max(1, requestMs / CHECKS_PER_REQUEST_LIMIT);
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
    @SuppressWarnings("FutureReturnValueIgnored") // a connection that is refused needs no care
    protected void initChannel(SocketChannel channel) {
      if (!sockets.makeRoom(Use.ORDINARY)) {
        channel.close();
        return;
      }
      connections.opened(channel);
      channel
          .pipeline()
          .addLast(new ReadHandler())
          .addLast(new HttpServerCodec(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
          .addLast(new HttpObjectAggregator(MAX_BODY_BYTES, true))
          .addLast(new HttpExchangeHandler(handler, connections, sockets, expendablePaths, meter));
    }
  }

  /** Notes the first byte of each request, and meters all that reading it causes. */
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
