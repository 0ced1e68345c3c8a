package org.fieldtrestle.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Frames between controllers: each sends on connections that it opened itself and reads on those
 * that others opened. What cannot be sent now is dropped, as the next frame replaces it.
 */
public final class PeerTransport implements PeerSender {
  private static final Logger LOG = LoggerFactory.getLogger(PeerTransport.class);

  /** Unsent bytes after which a peer that reads nothing gets no more. */
  private static final int MAX_UNSENT = 64 * 1024;

  private final EventLoopGroup group;
  private final int maxFrame;
  private final SocketBudget sockets;
  private final int maxInbound;
  private final long idleMs;
  private final long connectMs;
  private final Map<String, Channel> outbound = new HashMap<>();
  private int inbound;

  /**
   * @param idleMs an incoming connection on which nothing arrives for so long is closed
   * @param connectMs a connection that is not there by then is tried anew
   */
  public PeerTransport(
      EventLoopGroup group,
      SocketBudget sockets,
      int maxFrame,
      int maxInbound,
      long idleMs,
      long connectMs) {
    this.group = group;
    this.sockets = sockets;
    this.maxFrame = maxFrame;
    this.maxInbound = maxInbound;
    this.idleMs = idleMs;
    this.connectMs = connectMs;
  }

  /** Binds; every frame that arrives is handed on without its length. */
  public void start(InetSocketAddress address, Consumer<ByteBuffer> frames)
      throws InterruptedException {
    new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel ch) {
                if (inbound >= maxInbound || !sockets.free(true)) {
                  ch.close();
                  return;
                }
                inbound++;
                sockets.opened(ch);
                ch.closeFuture().addListener(f -> inbound--);
                ch.pipeline()
                    .addLast(new IdleStateHandler(idleMs, 0, 0, TimeUnit.MILLISECONDS))
                    .addLast(new LengthFieldBasedFrameDecoder(maxFrame, 0, 4, 0, 4))
                    .addLast(new Reader(frames));
              }
            })
        .bind(address)
        .sync();
  }

  @Override
  public void send(String address, ByteBuffer frame) {
    Channel channel = outbound.get(address);
    if (channel == null) {
      if (!sockets.free(true)) {
        return;
      }
      ChannelFuture connecting =
          new Bootstrap()
              .group(group)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.TCP_NODELAY, true)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectMs)
              .handler(
                  new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                      ch.pipeline().addLast(new Reader(f -> {}));
                    }
                  })
              .connect(HttpClient.socket(address));
      Channel fresh = connecting.channel();
      sockets.opened(fresh);
      outbound.put(address, fresh);
      fresh.closeFuture().addListener(f -> outbound.remove(address, fresh));
    } else if (channel.isActive()) {
      if (channel.unsafe().outboundBuffer() != null
          && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_UNSENT) {
        channel.close();
      } else {
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
      }
    }
  }

  private static final class Reader extends SimpleChannelInboundHandler<ByteBuf> {
    private final Consumer<ByteBuffer> frames;

    Reader(Consumer<ByteBuffer> frames) {
      this.frames = frames;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf message) {
      frames.accept(message.nioBuffer());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      ctx.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("peer connection {} dropped: {}", ctx.channel().remoteAddress(), cause.toString());
      ctx.close();
    }
  }
}
