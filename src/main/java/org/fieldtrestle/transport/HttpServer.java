package org.fieldtrestle.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves HTTP/1.1, one request at a time on each connection. */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private static final int MAX_BODY = 64 * 1024;
  private static final int MAX_LINE = 4096;
  private static final int MAX_HEADERS = 8192;

  /**
   * Connections that may wait to be accepted, as after a restart all workers come at once; those
   * beyond it come again.
   */
  private static final int MAX_NOT_ACCEPTED = 4096;

  /**
   * How many times in the time that a request may take to arrive connections are looked through.
   */
  private static final int LOOKS = 4;

  private final EventLoopGroup group;
  private final Http.Handler handler;
  private final SocketBudget sockets;
  private final Predicate<String> doesWithout;
  private final long idleMs;
  private final long requestMs;
  private final EventLoopMeter meter;

  /** Connections that owe us the rest of a request, and since when, the longest first. */
  private final Map<Channel, Long> owing = new LinkedHashMap<>();

  /** Connections that have been answered and may ask again, and since when, the longest first. */
  private final Map<Channel, Long> kept = new LinkedHashMap<>();

  /**
   * @param doesWithout paths of those whose connections end first when sockets get scarce
   * @param idleMs a kept connection on which nothing arrives for so long is closed
   * @param requestMs a new connection, or a request that has begun, has to be whole within this
   * @param meter what reading requests and writing answers costs is counted here
   */
  public HttpServer(
      EventLoopGroup group,
      Http.Handler handler,
      SocketBudget sockets,
      Predicate<String> doesWithout,
      long idleMs,
      long requestMs,
      EventLoopMeter meter) {
    this.meter = meter;
    this.group = group;
    this.handler = handler;
    this.sockets = sockets;
    this.doesWithout = doesWithout;
    this.idleMs = idleMs;
    this.requestMs = requestMs;
  }

  /** Binds and returns the port it got. */
  public int start(InetSocketAddress address) throws InterruptedException {
    try {
      return bind(address).get();
    } catch (ExecutionException e) {
      throw new IllegalStateException("cannot listen on " + address, e.getCause());
    }
  }

  /** Begins to listen; completes with the port, or with why that failed. */
  public CompletableFuture<Integer> bind(InetSocketAddress address) {
    CompletableFuture<Integer> bound = new CompletableFuture<>();
    bootstrap()
        .bind(address)
        .addListener(
            (ChannelFuture done) -> {
              if (done.isSuccess()) {
                closeOverdueRegularly(done.channel());
                bound.complete(((InetSocketAddress) done.channel().localAddress()).getPort());
              } else {
                bound.completeExceptionally(done.cause());
              }
            });
    return bound;
  }

  private void closeOverdueRegularly(Channel channel) {
    long each = Math.max(1, requestMs / LOOKS);
    channel
        .eventLoop()
        .scheduleWithFixedDelay(this::closeOverdue, each, each, TimeUnit.MILLISECONDS);
  }

  private ServerBootstrap bootstrap() {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        // After a restart all workers come at once; what is not taken in time comes again.
        .option(ChannelOption.SO_BACKLOG, 4096)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel ch) {
                if (!sockets.free(false)) {
                  ch.close();
                  return;
                }
                sockets.opened(ch);
                owing.put(ch, now());
                ch.closeFuture()
                    .addListener(
                        closed -> {
                          owing.remove(ch);
                          kept.remove(ch);
                        });
                ch.pipeline()
                    .addLast(new Begin())
                    .addLast(new HttpServerCodec(MAX_LINE, MAX_HEADERS, MAX_LINE))
                    .addLast(new HttpObjectAggregator(MAX_BODY, true))
                    .addLast(new Exchange());
              }
            });
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  /** Whoever never finishes a request, or never sends one, holds no socket for long. */
  private void closeOverdue() {
    closeOlder(owing, now() - requestMs);
    closeOlder(kept, now() - idleMs);
  }

  private static void closeOlder(Map<Channel, Long> since, long than) {
    while (!since.isEmpty()) {
      Map.Entry<Channel, Long> oldest = since.entrySet().iterator().next();
      if (oldest.getValue() > than) {
        return;
      }
      Channel channel = oldest.getKey();
      since.remove(channel);
      channel.close();
    }
  }

  /** Sees when the first byte of a request arrives on a kept connection. */
  private final class Begin extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
      if (kept.remove(ctx.channel()) != null) {
        sockets.busy(ctx.channel());
        owing.put(ctx.channel(), now());
      }
      int outer = meter.begin(EventLoopMeter.Work.HTTP_SERVER_READ);
      try {
        super.channelRead(ctx, message);
      } finally {
        meter.end(outer);
      }
    }
  }

  private final class Exchange extends SimpleChannelInboundHandler<FullHttpRequest> {
    private boolean busy;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
      if (busy || !ctx.channel().isWritable()) {
        // Pipelining is outside the protocol, and answers that nobody reads would pile up.
        ctx.close();
        return;
      }
      if (message.decoderResult().isFailure()) {
        send(ctx, false, new Http.Response(400, Http.Response.EMPTY));
        return;
      }
      busy = true;
      owing.remove(ctx.channel());
      byte[] body = new byte[message.content().readableBytes()];
      message.content().readBytes(body);
      String path;
      Map<String, String> query = new LinkedHashMap<>();
      try {
        QueryStringDecoder uri = new QueryStringDecoder(message.uri());
        path = uri.path();
        uri.parameters().forEach((k, v) -> query.put(k, v.get(0)));
      } catch (IllegalArgumentException e) {
        send(ctx, false, new Http.Response(400, Http.Response.EMPTY));
        return;
      }
      boolean keep =
          HttpUtil.isKeepAlive(message) && !sockets.endsWithAnswer(doesWithout.test(path));
      try {
        handler.handle(
            new Http.Request(message.method().name(), path, query, body),
            response -> {
              if (ctx.executor().inEventLoop()) {
                send(ctx, keep, response);
              } else {
                ctx.executor().execute(() -> send(ctx, keep, response));
              }
            });
      } catch (RuntimeException e) {
        LOG.error("request {} {} failed", message.method(), path, e);
        send(ctx, keep, new Http.Response(500, Http.Response.EMPTY));
      }
    }

    private void send(ChannelHandlerContext ctx, boolean keep, Http.Response response) {
      meter.run(EventLoopMeter.Work.HTTP_SERVER_WRITE, () -> write(ctx, keep, response));
    }

    private void write(ChannelHandlerContext ctx, boolean keep, Http.Response response) {
      busy = false;
      if (!ctx.channel().isActive()) {
        return;
      }
      DefaultFullHttpResponse out =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(response.status()),
              Unpooled.wrappedBuffer(response.body()));
      out.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
      if (response.body().length > 0) {
        out.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
      }
      if (response.retryAfterS() > 0) {
        out.headers().set(HttpHeaderNames.RETRY_AFTER, response.retryAfterS());
      }
      if (keep && !response.close()) {
        kept.put(ctx.channel(), now());
        sockets.idle(ctx.channel(), false);
        ctx.writeAndFlush(out);
      } else {
        out.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        owing.put(ctx.channel(), now()); // until it is gone
        ctx.writeAndFlush(out).addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("connection {} dropped: {}", ctx.channel().remoteAddress(), cause.toString());
      ctx.close();
    }
  }
}
