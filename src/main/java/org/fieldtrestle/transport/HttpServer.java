package org.fieldtrestle.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
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
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves HTTP/1.1, one request at a time on each connection. */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private static final int MAX_BODY = 64 * 1024;
  private static final int MAX_LINE = 4096;
  private static final int MAX_HEADERS = 8192;

  private final EventLoopGroup group;
  private final Http.Handler handler;
  private final int maxConnections;
  private final long idleMs;
  private int open;

  /**
   * @param idleMs a connection on which nothing arrives for so long is closed, half-open ones too
   */
  public HttpServer(EventLoopGroup group, Http.Handler handler, int maxConnections, long idleMs) {
    this.group = group;
    this.handler = handler;
    this.maxConnections = maxConnections;
    this.idleMs = idleMs;
  }

  /** Binds and returns the port it got. */
  public int start(InetSocketAddress address) throws InterruptedException {
    Channel channel =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 512)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    if (open >= maxConnections) {
                      ch.close();
                      return;
                    }
                    open++;
                    ch.closeFuture().addListener(f -> open--);
                    ch.pipeline()
                        .addLast(new IdleStateHandler(idleMs, 0, 0, TimeUnit.MILLISECONDS))
                        .addLast(new HttpServerCodec(MAX_LINE, MAX_HEADERS, MAX_LINE))
                        .addLast(new HttpObjectAggregator(MAX_BODY, true))
                        .addLast(new Exchange());
                  }
                })
            .bind(address)
            .sync()
            .channel();
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  private final class Exchange extends SimpleChannelInboundHandler<FullHttpRequest> {
    private boolean busy;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
      if (busy) { // pipelining is outside the protocol
        ctx.close();
        return;
      }
      if (message.decoderResult().isFailure()) {
        send(ctx, false, new Http.Response(400, Http.Response.EMPTY));
        return;
      }
      busy = true;
      boolean keep = HttpUtil.isKeepAlive(message);
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
        ctx.writeAndFlush(out);
      } else {
        out.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        ctx.writeAndFlush(out).addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (!busy) {
        ctx.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("connection {} dropped: {}", ctx.channel().remoteAddress(), cause.toString());
      ctx.close();
    }
  }
}
