package org.fieldtrestle.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles the requests on one connection of the HTTP server, one at a time. */
@SuppressWarnings(
    "FutureReturnValueIgnored") // InboundConnections listens for the close of each connection
final class HttpExchangeHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final Logger LOG = LoggerFactory.getLogger(HttpExchangeHandler.class);
  private static final Http.Response BAD_REQUEST = new Http.Response(400, Http.Response.EMPTY);
  private static final Http.Response INTERNAL_ERROR = new Http.Response(500, Http.Response.EMPTY);

  private final Http.Handler handler;
  private final InboundConnections connections;
  private final SocketBudget sockets;
  private final Predicate<String> expendablePaths;
  private final EventLoopMeter meter;
  private boolean requestInProgress;

  HttpExchangeHandler(
      Http.Handler handler,
      InboundConnections connections,
      SocketBudget sockets,
      Predicate<String> expendablePaths,
      EventLoopMeter meter) {
    this.handler = handler;
    this.connections = connections;
    this.sockets = sockets;
    this.expendablePaths = expendablePaths;
    this.meter = meter;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
    if (requestInProgress || !ctx.channel().isWritable()) {
      // Pipelined requests are not supported, and the responses that a client does not read would
      // accumulate in memory.
      ctx.close();
      return;
    }
    if (message.decoderResult().isFailure()) {
      send(ctx, false, BAD_REQUEST);
      return;
    }
    requestInProgress = true;
    connections.requestReceived(ctx.channel());
    Http.Request request;
    try {
      request = read(message);
    } catch (IllegalArgumentException e) { // thrown by QueryStringDecoder
      send(ctx, false, BAD_REQUEST);
      return;
    }
    handle(ctx, request, mayKeepConnection(message, request.path()));
  }

  private static Http.Request read(FullHttpRequest message) {
    byte[] body = new byte[message.content().readableBytes()];
    message.content().readBytes(body);
    QueryStringDecoder uri = new QueryStringDecoder(message.uri());
    Map<String, String> query = new LinkedHashMap<>();
    String path = uri.path();
    uri.parameters().forEach((name, values) -> query.put(name, values.get(0)));
    return new Http.Request(message.method().name(), path, query, body);
  }

  private boolean mayKeepConnection(FullHttpRequest message, String path) {
    return HttpUtil.isKeepAlive(message)
        && !sockets.mustCloseAfterResponse(expendablePaths.test(path));
  }

  private void handle(ChannelHandlerContext ctx, Http.Request request, boolean keepAlive) {
    try {
      handler.handle(
          request,
          response -> {
            if (ctx.executor().inEventLoop()) {
              send(ctx, keepAlive, response);
            } else {
              ctx.executor().execute(() -> send(ctx, keepAlive, response));
            }
          });
    } catch (RuntimeException e) {
      LOG.atError()
          .setCause(e)
          .addKeyValue("method", request.method())
          .addKeyValue("path", request.path())
          .log("request failed");
      send(ctx, keepAlive, INTERNAL_ERROR);
    }
  }

  private void send(ChannelHandlerContext ctx, boolean keepAlive, Http.Response response) {
    meter.run(EventLoopMeter.Activity.HTTP_SERVER_WRITE, () -> write(ctx, keepAlive, response));
  }

  private void write(ChannelHandlerContext ctx, boolean keepAlive, Http.Response response) {
    requestInProgress = false;
    if (!ctx.channel().isActive()) {
      return;
    }
    DefaultFullHttpResponse message = encode(response);
    if (keepAlive && !response.closeConnection()) {
      connections.respondedWithKeepAlive(ctx.channel());
      ctx.writeAndFlush(message);
    } else {
      message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      connections.respondedWithClose(ctx.channel());
      ctx.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE);
    }
  }

  private static DefaultFullHttpResponse encode(Http.Response response) {
    DefaultFullHttpResponse message =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(response.status()),
            Unpooled.wrappedBuffer(response.body()));
    message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
    if (response.body().length > 0) {
      message.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    }
    if (response.retryAfterS() > 0) {
      message.headers().set(HttpHeaderNames.RETRY_AFTER, response.retryAfterS());
    }
    return message;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    LOG.debug(
        "closing connection from {} after an error: {}",
        ctx.channel().remoteAddress(),
        cause.toString());
    ctx.close();
  }
}
