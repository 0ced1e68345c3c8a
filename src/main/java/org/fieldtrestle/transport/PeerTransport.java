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
import org.fieldtrestle.transport.SocketBudget.ConnectionPriority;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Transports frames between controllers. Each controller sends on the connections that it has
 * opened and reads from those that other controllers have opened. A frame that cannot be sent
 * immediately is dropped, because the next frame replaces it. The state is not thread-safe, so the
 * group must have a single event loop, and frames must be sent on it.
 */
@SuppressWarnings("FutureReturnValueIgnored") // frames may be lost; listeners observe closing
public final class PeerTransport implements PeerSender {
  private static final Logger LOG = LoggerFactory.getLogger(PeerTransport.class);

  /**
   * The number of unsent bytes above which a connection is closed, because the peer does not read.
   */
  private static final int MAX_UNSENT_BYTES = 64 * 1024;

  private static final int LENGTH_FIELD_BYTES = 4;

  private final EventLoopGroup group;
  private final SocketBudget sockets;
  private final int maxFrameBytes;
  private final int maxInboundConnections;
  private final long idleTimeoutMs;
  private final long connectTimeoutMs;
  private final Map<String, Channel> outboundByAddress = new HashMap<>();
  private int inboundConnectionCount;

  /**
   * Creates a transport without connections.
   *
   * @param group the group of the single event loop
   * @param sockets the socket budget that all connections of this transport count towards
   * @param maxFrameBytes the largest frame length in bytes; a longer frame closes its connection
   * @param maxInboundConnections the largest number of connections opened by other controllers
   * @param idleTimeoutMs the time in milliseconds after which an inbound connection is closed if
   *     nothing arrives on it
   * @param connectTimeoutMs the time in milliseconds after which an attempt to connect fails; a
   *     later frame to the same address starts the next attempt
   */
  public PeerTransport(
      EventLoopGroup group,
      SocketBudget sockets,
      int maxFrameBytes,
      int maxInboundConnections,
      long idleTimeoutMs,
      long connectTimeoutMs) {
    this.group = group;
    this.sockets = sockets;
    this.maxFrameBytes = maxFrameBytes;
    this.maxInboundConnections = maxInboundConnections;
    this.idleTimeoutMs = idleTimeoutMs;
    this.connectTimeoutMs = connectTimeoutMs;
  }

  /**
   * Binds the address and waits until this transport listens on it.
   *
   * @param frameReceiver receives each frame without its length field, on the event loop; the
   *     buffer is valid only during the call
   */
  public void start(InetSocketAddress address, Consumer<ByteBuffer> frameReceiver)
      throws InterruptedException {
    NettyBootstraps.server(group, new InboundInitializer(frameReceiver)).bind(address).sync();
  }

  @Override
  public void send(String address, ByteBuffer frame) {
    Channel channel = outboundByAddress.get(address);
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
    if (!sockets.makeRoom(ConnectionPriority.ESSENTIAL)) {
      return;
    }
    ChannelFuture connecting =
        NettyBootstraps.client(group, connectTimeoutMs, new OutboundInitializer())
            .connect(SocketAddresses.parse(address));
    Channel channel = connecting.channel();
    sockets.register(channel);
    outboundByAddress.put(address, channel);
    channel.closeFuture().addListener(closed -> outboundByAddress.remove(address, channel));
  }

  private static long unsentBytes(Channel channel) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }

  private final class InboundInitializer extends ChannelInitializer<SocketChannel> {
    private final Consumer<ByteBuffer> frameReceiver;

    InboundInitializer(Consumer<ByteBuffer> frameReceiver) {
      this.frameReceiver = frameReceiver;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
      if (inboundConnectionCount >= maxInboundConnections
          || !sockets.makeRoom(ConnectionPriority.ESSENTIAL)) {
        channel.close();
        return;
      }
      inboundConnectionCount++;
      sockets.register(channel);
      channel.closeFuture().addListener(closed -> inboundConnectionCount--);
      channel
          .pipeline()
          .addLast(new IdleStateHandler(idleTimeoutMs, 0, 0, TimeUnit.MILLISECONDS))
          .addLast(
              new LengthFieldBasedFrameDecoder(
                  maxFrameBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
          .addLast(new FrameHandler(frameReceiver));
    }
  }

  /** Discards all data that a peer sends on a connection that this controller has opened. */
  private static final class OutboundInitializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      channel.pipeline().addLast(new FrameHandler(frame -> {}));
    }
  }

  private static final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final Consumer<ByteBuffer> frameReceiver;

    FrameHandler(Consumer<ByteBuffer> frameReceiver) {
      this.frameReceiver = frameReceiver;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf message) {
      frameReceiver.accept(message.nioBuffer());
    }

    /** Closes an idle connection; the idle handler is the only source of such events. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      ctx.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug(
          "closing peer connection {} after an error: {}",
          ctx.channel().remoteAddress(),
          cause.toString());
      ctx.close();
    }
  }
}
