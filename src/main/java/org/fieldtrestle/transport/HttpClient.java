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
import org.fieldtrestle.transport.SocketBudget.ConnectionPriority;

/**
 * Makes HTTP/1.1 calls over pooled connections, with at most one call in progress on each. Not
 * thread-safe: calls must be made on the client's event loop.
 */
public final class HttpClient implements Http.Caller {
  /**
   * The size of the largest accepted response body in bytes, which is a few pages of the key-value
   * store. A larger response, which an unlimited watch may return, would need more memory than the
   * process has. A call whose response is too large ends as if the connection had been closed.
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
  private final int maxOrdinaryConnections;
  private final EventLoopMeter meter;

  /** Idle connections by address; the one that has been idle longest is first in each queue. */
  private final Map<String, ArrayDeque<HttpConnection>> idleConnections = new HashMap<>();

  /** The number of open connections to addresses that are not essential. */
  private int ordinaryConnectionCount;

  /**
   * Creates a client without connections.
   *
   * @param sockets the socket budget that all connections of this client count towards
   * @param essentialAddresses addresses whose connections may use the reserved sockets and are
   *     never closed to make room, so that calls to them need not wait for sockets in other use
   * @param maxOrdinaryConnections the largest number of connections to all other addresses
   *     together; it is limited because connections to unreachable machines stay open for long
   * @param meter measures the writing of requests and the handling of responses
   */
  public HttpClient(
      EventLoop loop,
      SocketBudget sockets,
      Set<String> essentialAddresses,
      int maxOrdinaryConnections,
      EventLoopMeter meter) {
    this.loop = loop;
    this.sockets = sockets;
    this.essentialAddresses = essentialAddresses;
    this.maxOrdinaryConnections = maxOrdinaryConnections;
    this.meter = meter;
  }

  @Override
  public void call(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<Http.Outcome> callback) {
    meter.run(
        EventLoopMeter.Activity.HTTP_CLIENT_WRITE,
        () -> call(new PendingCall(address, method, path, body, callback), timeoutMs));
  }

  private void call(PendingCall call, long timeoutMs) {
    HttpConnection connection = takeFromPool(call.address());
    if (connection != null) {
      call.startTimeout(loop, timeoutMs, connection);
      connection.send(call);
    } else if (makeRoomFor(call.address())) {
      connect(call, timeoutMs);
    } else {
      loop.execute(() -> call.finish(new Http.NotSent("no free socket")));
    }
  }

  /**
   * Takes the most recently used idle connection from the pool; returns {@code null} if there is
   * none.
   */
  private HttpConnection takeFromPool(String address) {
    ArrayDeque<HttpConnection> connections = idleConnections.get(address);
    while (connections != null && !connections.isEmpty()) {
      HttpConnection connection = connections.pollLast();
      sockets.markBusy(connection.channel());
      if (connection.channel().isActive()) {
        return connection;
      }
    }
    return null;
  }

  private boolean makeRoomFor(String address) {
    return isEssential(address)
        ? sockets.makeRoom(ConnectionPriority.ESSENTIAL)
        : makeRoomForOrdinary() && sockets.makeRoom(ConnectionPriority.ORDINARY);
  }

  private boolean makeRoomForOrdinary() {
    while (ordinaryConnectionCount >= maxOrdinaryConnections) {
      if (!sockets.closeIdleOutbound()) {
        return false;
      }
    }
    return true;
  }

  private boolean isEssential(String address) {
    return essentialAddresses.contains(address);
  }

  @SuppressWarnings("FutureReturnValueIgnored") // listeners observe connecting and closing
  private void connect(PendingCall call, long timeoutMs) {
    HttpConnection connection = new HttpConnection(this, meter, call.address());
    int ordinaryIncrement = isEssential(call.address()) ? 0 : 1;
    ordinaryConnectionCount += ordinaryIncrement;
    ChannelFuture connecting =
        NettyBootstraps.client(
                loop, Math.min(timeoutMs, MAX_CONNECT_TIMEOUT_MS), new Initializer(connection))
            .connect(SocketAddresses.parse(call.address()));
    connection.setChannel(connecting.channel());
    sockets.register(connecting.channel());
    connecting
        .channel()
        .closeFuture()
        .addListener(closed -> ordinaryConnectionCount -= ordinaryIncrement);
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

  /**
   * Puts a connection into the pool.
   *
   * @return {@code false} if the pool has enough idle connections to the address already
   */
  boolean returnToPool(HttpConnection connection) {
    ArrayDeque<HttpConnection> connections =
        idleConnections.computeIfAbsent(connection.address(), address -> new ArrayDeque<>());
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
  void removeFromPool(HttpConnection connection) {
    ArrayDeque<HttpConnection> connections = idleConnections.get(connection.address());
    if (connections != null) {
      connections.remove(connection);
      if (connections.isEmpty()) {
        idleConnections.remove(connection.address());
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
