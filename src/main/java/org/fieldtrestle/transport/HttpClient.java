package org.fieldtrestle.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Calls others over kept connections, one request at a time on each. Lives on one event loop. */
public final class HttpClient implements Http.Caller {
  /**
   * The largest response that is taken, a few pages of the state service: a watch answers without
   * any limit, and reading what is larger would need more memory than a process has. The caller
   * sees a closed connection.
   */
  public static final int MAX_RESPONSE = 4 * 1024 * 1024;

  private static final int IDLE_KEPT = 4;

  private final EventLoop loop;
  private final Map<String, ArrayDeque<Line>> idle = new HashMap<>();

  private final SocketBudget sockets;
  private final Set<String> needed;
  private final int maxOthers;
  private final EventLoopMeter meter;

  /** Connections to others than those we depend on. */
  private int others;

  /**
   * @param needed addresses of those we depend on: they never wait for a socket that others hold
   * @param maxOthers most connections to all others: machines behind a cut hold theirs for long
   * @param meter what writing requests and reading answers costs is counted here
   */
  public HttpClient(
      EventLoop loop,
      SocketBudget sockets,
      Set<String> needed,
      int maxOthers,
      EventLoopMeter meter) {
    this.meter = meter;
    this.loop = loop;
    this.sockets = sockets;
    this.needed = needed;
    this.maxOthers = maxOthers;
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
        EventLoopMeter.Work.HTTP_CLIENT_WRITE,
        () -> call(address, new Pending(method, path, body, done), timeoutMs));
  }

  private void call(String address, Pending pending, long timeoutMs) {
    ArrayDeque<Line> kept = idle.get(address);
    Line line = null;
    while (kept != null && line == null && !kept.isEmpty()) {
      Line candidate = kept.pollLast();
      sockets.busy(candidate.channel);
      line = candidate.channel.isActive() ? candidate : null;
    }
    if (line != null) {
      pending.limit(timeoutMs, line);
      line.send(address, pending);
      return;
    }
    boolean dependedOn = needed.contains(address);
    if (!dependedOn && !roomForOthers() || !sockets.free(dependedOn)) {
      loop.execute(() -> pending.finish(new Http.NotSent("no free socket")));
      return;
    }
    connect(address, pending, timeoutMs);
  }

  private boolean roomForOthers() {
    while (others >= maxOthers) {
      if (!sockets.closeIdleCall()) {
        return false;
      }
    }
    return true;
  }

  private void forget(Line line) {
    ArrayDeque<Line> kept = idle.get(line.address);
    if (kept != null) {
      kept.remove(line);
      if (kept.isEmpty()) {
        idle.remove(line.address);
      }
    }
  }

  private void connect(String address, Pending pending, long timeoutMs) {
    boolean other = !needed.contains(address);
    others += other ? 1 : 0;
    Line fresh = new Line(address);
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.min(timeoutMs, 60_000))
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    ch.pipeline()
                        .addLast(new HttpClientCodec(4096, 8192, 8192, false, false))
                        .addLast(new HttpObjectAggregator(MAX_RESPONSE))
                        .addLast(fresh);
                  }
                })
            .connect(socket(address));
    fresh.channel = connecting.channel();
    sockets.opened(fresh.channel);
    fresh.channel.closeFuture().addListener(f -> others -= other ? 1 : 0);
    pending.limit(timeoutMs, fresh);
    connecting.addListener(
        f -> {
          if (!f.isSuccess()) {
            fresh.channel.close();
            pending.finish(new Http.NotSent("connect: " + f.cause().getMessage()));
          } else if (pending.over) {
            fresh.channel.close();
          } else {
            fresh.send(address, pending);
          }
        });
  }

  public static InetSocketAddress socket(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  private final class Pending {
    final String method;
    final String path;
    final byte[] body;
    final Consumer<Http.Outcome> done;
    ScheduledFuture<?> timer;
    boolean written;
    boolean over;

    Pending(String method, String path, byte[] body, Consumer<Http.Outcome> done) {
      this.method = method;
      this.path = path;
      this.body = body;
      this.done = done;
    }

    void limit(long timeoutMs, Line line) {
      timer =
          loop.schedule(
              () -> {
                line.current = null;
                line.channel.close();
                finish(written ? new Http.Unknown("timeout") : new Http.NotSent("timeout"));
              },
              timeoutMs,
              TimeUnit.MILLISECONDS);
    }

    void finish(Http.Outcome outcome) {
      if (!over) {
        over = true;
        if (timer != null) {
          timer.cancel(false);
        }
        done.accept(outcome);
      }
    }
  }

  private final class Line extends SimpleChannelInboundHandler<FullHttpResponse> {
    final String address;
    Channel channel;
    Pending current;

    Line(String address) {
      this.address = address;
    }

    void send(String host, Pending pending) {
      current = pending;
      pending.written = true;
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(pending.method),
              pending.path,
              Unpooled.wrappedBuffer(pending.body));
      request.headers().set(HttpHeaderNames.HOST, host);
      if (pending.body.length > 0) {
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
      }
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, pending.body.length);
      channel.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse message) {
      meter.run(EventLoopMeter.Work.HTTP_CLIENT_READ, () -> read(ctx, message));
    }

    private void read(ChannelHandlerContext ctx, FullHttpResponse message) {
      Pending answered = current;
      current = null;
      byte[] body = new byte[message.content().readableBytes()];
      message.content().readBytes(body);
      if (answered == null || !HttpUtil.isKeepAlive(message)) {
        ctx.close();
      } else {
        ArrayDeque<Line> kept = idle.computeIfAbsent(address, a -> new ArrayDeque<>());
        if (kept.size() < IDLE_KEPT) {
          kept.addLast(this);
          if (!needed.contains(address)) {
            sockets.idle(channel, true);
          }
        } else {
          ctx.close();
        }
      }
      if (answered != null) {
        answered.finish(new Http.Answer(message.status().code(), body));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      forget(this);
      if (current != null) {
        Pending lost = current;
        current = null;
        lost.finish(new Http.Unknown("connection closed"));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
