package org.fieldtrestle.transport;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.fieldtrestle.transport.SocketBudget.Use;

/**
 * Makes HTTP/1.1 calls over pooled connections, one call at a time on each. Used on one event loop
 * only.
 */
public final class HttpClient implements Http.Caller {
  /**
   * The largest response in bytes, a few pages of the key-value store; a larger one, as an
   * unlimited watch may give, would need more memory than the process has. The caller sees a closed
   * connection.
   */
  public static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

  private static final int MAX_INITIAL_LINE_BYTES = 4096;
  private static final int MAX_HEADER_BYTES = 8192;
  private static final int MAX_CHUNK_BYTES = 8192;
  private static final int MAX_IDLE_PER_ADDRESS = 4;
  private static final long MAX_CONNECT_TIMEOUT_MS = 60_000;

  private final EventLoop loop;
  private final SocketBudget sockets;
  private final Set<String> essentialAddresses;
  private final int maxOrdinary;
  private final EventLoopMeter meter;

  /** Idle connections by address, the longest idle first. */
  private final Map<String, ArrayDeque<HttpConnection>> idle = new HashMap<>();

  /** Open connections to other than essential addresses. */
  private int ordinaryCount;

  /**
   * Creates a client without connections.
   *
   * @param essentialAddresses calls to these never wait for a socket that others use
   * @param maxOrdinary most connections to all other addresses together, as those to unreachable
   *     machines stay open for long
   * @param meter meters the writing of requests and the handling of answers
   */
  public HttpClient(
      EventLoop loop,
      SocketBudget sockets,
      Set<String> essentialAddresses,
      int maxOrdinary,
      EventLoopMeter meter) {
    this.loop = loop;
    this.sockets = sockets;
    this.essentialAddresses = essentialAddresses;
    this.maxOrdinary = maxOrdinary;
    this.meter = meter;
  }

  @Override
  public void call(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<Http.Outcome> done) {
    meter.run(
        EventLoopMeter.Activity.HTTP_CLIENT_WRITE,
        () -> call(new PendingCall(address, method, path, body, done), timeoutMs));
  }

  private void call(PendingCall call, long timeoutMs) {
    HttpConnection connection = takeIdle(call.address());
    if (connection != null) {
      call.startTimeout(loop, timeoutMs, connection);
      connection.send(call);
    } else if (hasRoomFor(call.address())) {
      connect(call, timeoutMs);
    } else {
      loop.execute(() -> call.finish(new Http.NotSent("no free socket")));
    }
  }

  /** Takes the connection out of the pool that was idle the shortest; null if there is none. */
  private HttpConnection takeIdle(String address) {
    ArrayDeque<HttpConnection> connections = idle.get(address);
    while (connections != null && !connections.isEmpty()) {
      HttpConnection connection = connections.pollLast();
      sockets.markBusy(connection.channel());
      if (connection.channel().isActive()) {
        return connection;
      }
    }
    return null;
  }

  private boolean hasRoomFor(String address) {
    return isEssential(address)
        ? sockets.makeRoom(Use.ESSENTIAL)
        : makeRoomForOrdinary() && sockets.makeRoom(Use.ORDINARY);
  }

  private boolean makeRoomForOrdinary() {
    while (ordinaryCount >= maxOrdinary) {
      if (!sockets.closeIdleOutbound()) {
        return false;
      }
    }
    return true;
  }

  private boolean isEssential(String address) {
    return essentialAddresses.contains(address);
  }

  @SuppressWarnings("FutureReturnValueIgnored") // futures are listened to, or the end is seen
  private void connect(PendingCall call, long timeoutMs) {
    HttpConnection connection = new HttpConnection(this, meter, call.address());
    int ordinary = isEssential(call.address()) ? 0 : 1;
    ordinaryCount += ordinary;
    ChannelFuture connecting =
        NettyBootstraps.client(
                loop, Math.min(timeoutMs, MAX_CONNECT_TIMEOUT_MS), new Initializer(connection))
            .connect(SocketAddresses.parse(call.address()));
    connection.setChannel(connecting.channel());
    sockets.register(connecting.channel());
    connecting.channel().closeFuture().addListener(closed -> ordinaryCount -= ordinary);
    call.startTimeout(loop, timeoutMs, connection);
    connecting.addListener(
        connected -> {
          if (!connected.isSuccess()) {
            connecting.channel().close();
            call.finish(new Http.NotSent("connect: " + connected.cause().getMessage()));
          } else if (call.isFinished()) {
            connecting.channel().close();
          } else {
            connection.send(call);
          }
        });
  }

  /** Puts a connection into the pool; false if there are enough idle ones to its address. */
  boolean keepIdle(HttpConnection connection) {
    ArrayDeque<HttpConnection> connections =
        idle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>());
    if (connections.size() >= MAX_IDLE_PER_ADDRESS) {
      return false;
    }
    connections.addLast(connection);
    if (!isEssential(connection.address())) {
      sockets.markIdleOutbound(connection.channel());
    }
    return true;
  }

  /** Removes a closed connection from the pool. */
  void forget(HttpConnection connection) {
    ArrayDeque<HttpConnection> connections = idle.get(connection.address());
    if (connections != null) {
      connections.remove(connection);
      if (connections.isEmpty()) {
        idle.remove(connection.address());
      }
    }
  }

  private static final class Initializer extends ChannelInitializer<SocketChannel> {
    private final HttpConnection connection;

    Initializer(HttpConnection connection) {
      this.connection = connection;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
      HttpDecoderConfig config =
          new HttpDecoderConfig()
              .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
              .setMaxHeaderSize(MAX_HEADER_BYTES)
              .setMaxChunkSize(MAX_CHUNK_BYTES)
              .setValidateHeaders(false);
      channel
          .pipeline()
          .addLast(new HttpClientCodec(config, false, false))
          .addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES))
          .addLast(connection);
    }
  }
}
