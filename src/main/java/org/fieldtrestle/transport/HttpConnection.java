package org.fieldtrestle.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/** A connection of the HTTP client, with one call at most at a time. */
@SuppressWarnings("FutureReturnValueIgnored") // channelInactive() sees each connection's end
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
  private final HttpClient client;
  private final EventLoopMeter meter;
  private final String address;
  private Channel channel;
  private PendingCall current;

  HttpConnection(HttpClient client, EventLoopMeter meter, String address) {
    this.client = client;
    this.meter = meter;
    this.address = address;
  }

  /** Sets the channel, which exists only once connecting has begun. */
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
    current = call;
    channel.writeAndFlush(call.toSend());
  }

  /** Closes the connection without an outcome for its call. */
  void abandon() {
    current = null;
    channel.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse message) {
    meter.run(EventLoopMeter.Activity.HTTP_CLIENT_READ, () -> read(ctx, message));
  }

  private void read(ChannelHandlerContext ctx, FullHttpResponse message) {
    PendingCall answered = current;
    current = null;
    byte[] body = new byte[message.content().readableBytes()];
    message.content().readBytes(body);
    boolean reusable = answered != null && HttpUtil.isKeepAlive(message);
    if (!reusable || !client.keepIdle(this)) {
      ctx.close();
    }
    if (answered != null) {
      answered.finish(new Http.Answer(message.status().code(), body));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    client.forget(this);
    if (current != null) {
      PendingCall lost = current;
      current = null;
      lost.finish(new Http.Unknown("connection closed"));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
