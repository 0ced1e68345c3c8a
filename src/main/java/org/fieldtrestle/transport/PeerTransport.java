package org.fieldtrestle.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fieldtrestle.transport.SocketBudget.Use;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Frames between controllers: each controller sends on connections that it has opened and reads on
 * those that others have opened. A frame that cannot be sent at once is dropped, as the next one
 * replaces it. Used on one event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // frames may be lost, and closeFuture() is watched
public final class PeerTransport implements PeerSender {
  private static final Logger LOG = LoggerFactory.getLogger(PeerTransport.class);

  /** Unsent bytes after which the connection of a peer that reads nothing is closed. */
  private static final int MAX_UNSENT_BYTES = 64 * 1024;

  private static final int LENGTH_FIELD_BYTES = 4;

  private final EventLoopGroup group;
  private final SocketBudget sockets;
  private final int maxFrameBytes;
  private final int maxInbound;
  private final long idleMs;
  private final long connectTimeoutMs;
  private final Map<String, Channel> outbound = new HashMap<>();
  private int inboundCount;

  /**
   * Creates a transport without connections.
   *
   * @param maxFrameBytes a longer frame ends its connection
   * @param maxInbound most connections that others may have opened
   * @param idleMs an inbound connection on which nothing arrives for so long is closed
   * @param connectTimeoutMs a connection that is not established by then is tried again
   */
  public PeerTransport(
      EventLoopGroup group,
      SocketBudget sockets,
      int maxFrameBytes,
      int maxInbound,
      long idleMs,
      long connectTimeoutMs) {
    this.group = group;
    this.sockets = sockets;
    this.maxFrameBytes = maxFrameBytes;
    this.maxInbound = maxInbound;
    this.idleMs = idleMs;
    this.connectTimeoutMs = connectTimeoutMs;
  }

  /**
   * Listens, and waits until that is possible.
   *
   * @param frames receives each frame without its length, on the event loop; the buffer is valid
   *     during the call only
   */
  public void start(InetSocketAddress address, Consumer<ByteBuffer> frames)
      throws InterruptedException {
    NettyBootstraps.server(group, new InboundInitializer(frames)).bind(address).sync();
  }

  @Override
  public void send(String address, ByteBuffer frame) {
    Channel channel = outbound.get(address);
    if (channel == null) {
      connect(address);
    } else if (channel.isActive()) {
      if (unsentBytes(channel) > MAX_UNSENT_BYTES) {
        channel.close();
      } else {
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
      }
    }
  }

  private void connect(String address) {
    if (!sockets.makeRoom(Use.ESSENTIAL)) {
      return;
    }
    ChannelFuture connecting =
        NettyBootstraps.client(group, connectTimeoutMs, new OutboundInitializer())
            .connect(SocketAddresses.parse(address));
    Channel channel = connecting.channel();
    sockets.register(channel);
    outbound.put(address, channel);
    channel.closeFuture().addListener(closed -> outbound.remove(address, channel));
  }

  private static long unsentBytes(Channel channel) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }

  private final class InboundInitializer extends ChannelInitializer<SocketChannel> {
    private final Consumer<ByteBuffer> frames;

    InboundInitializer(Consumer<ByteBuffer> frames) {
      this.frames = frames;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
      if (inboundCount >= maxInbound || !sockets.makeRoom(Use.ESSENTIAL)) {
        channel.close();
        return;
      }
      inboundCount++;
      sockets.register(channel);
      channel.closeFuture().addListener(closed -> inboundCount--);
      channel
          .pipeline()
          .addLast(new IdleStateHandler(idleMs, 0, 0, TimeUnit.MILLISECONDS))
          .addLast(
              new LengthFieldBasedFrameDecoder(
                  maxFrameBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
          .addLast(new FrameHandler(frames));
    }
  }

  /** What a peer sends on a connection that this controller has opened is dropped. */
  private static final class OutboundInitializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      channel.pipeline().addLast(new FrameHandler(frame -> {}));
    }
  }

  private static final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final Consumer<ByteBuffer> frames;

    FrameHandler(Consumer<ByteBuffer> frames) {
      this.frames = frames;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf message) {
      frames.accept(message.nioBuffer());
    }

    /** The only event is that of the idle handler. */
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
