package org.fieldtrestle.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/** A connection of the HTTP client with at most one call in progress. */
@SuppressWarnings(
    "FutureReturnValueIgnored") // channelInactive() is called when the connection closes
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
  private final HttpClient client;
  private final EventLoopMeter meter;
  private final String address;
  private Channel channel;
  private PendingCall currentCall;

  HttpConnection(HttpClient client, EventLoopMeter meter, String address) {
    this.client = client;
    this.meter = meter;
    this.address = address;
  }

  /** Sets the channel, which does not exist before connecting has begun. */
  void setChannel(Channel channel) {
    this.channel = channel;
  }

  Channel channel() {
    return channel;
  }

  String address() {
    return address;
  }

  void send(PendingCall call) {
    currentCall = call;
    channel.writeAndFlush(call.encodeAndMarkSent());
  }

  /** Closes the connection without reporting an outcome for its call. */
  void abandon() {
    currentCall = null;
    channel.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse message) {
    meter.run(EventLoopMeter.Activity.HTTP_CLIENT_READ, () -> read(ctx, message));
  }

  private void read(ChannelHandlerContext ctx, FullHttpResponse message) {
    PendingCall answeredCall = currentCall;
    currentCall = null;
    byte[] body = new byte[message.content().readableBytes()];
    message.content().readBytes(body);
    boolean reusable = answeredCall != null && HttpUtil.isKeepAlive(message);
    if (!reusable || !client.returnToPool(this)) {
      ctx.close();
    }
    if (answeredCall != null) {
      answeredCall.finish(new Http.Answer(message.status().code(), body));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    client.removeFromPool(this);
    if (currentCall != null) {
      PendingCall lostCall = currentCall;
      currentCall = null;
      lostCall.finish(new Http.Unknown("connection closed"));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
