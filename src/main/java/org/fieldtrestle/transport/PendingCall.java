package org.fieldtrestle.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An HTTP call and its progress until its outcome is reported. Not thread-safe: used only on the
 * client's event loop.
 */
final class PendingCall {
  private enum State {
    NOT_SENT,
    SENT,
    FINISHED
  }

  private final String address;
  private final String method;
  private final String path;
  private final byte[] body;
  private final Consumer<Http.Outcome> callback;
  private State state = State.NOT_SENT;
  private ScheduledFuture<?> timeout;

  PendingCall(
      String address, String method, String path, byte[] body, Consumer<Http.Outcome> callback) {
    this.address = address;
    this.method = method;
    this.path = path;
    this.body = body;
    this.callback = callback;
  }

  String address() {
    return address;
  }

  boolean isFinished() {
    return state == State.FINISHED;
  }

  /** Starts the timeout, after which an unfinished call ends and its connection is closed. */
  void startTimeout(EventLoop loop, long timeoutMs, HttpConnection connection) {
    timeout =
        loop.schedule(
            () -> {
              connection.abandon();
              finish(
                  state == State.SENT ? new Http.Unknown("timeout") : new Http.NotSent("timeout"));
            },
            timeoutMs,
            TimeUnit.MILLISECONDS);
  }

  /** Returns the encoded request and marks the call as sent. */
  FullHttpRequest encodeAndMarkSent() {
    state = State.SENT;
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), path, Unpooled.wrappedBuffer(body));
    request.headers().set(HttpHeaderNames.HOST, address);
    if (body.length > 0) {
      request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    }
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    return request;
  }

  /** Reports the outcome to the callback, unless an outcome has been reported already. */
  void finish(Http.Outcome outcome) {
    if (state == State.FINISHED) {
      return;
    }
    state = State.FINISHED;
    if (timeout != null) {
      timeout.cancel(false);
    }
    callback.accept(outcome);
  }
}
