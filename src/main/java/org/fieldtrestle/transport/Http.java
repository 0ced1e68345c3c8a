package org.fieldtrestle.transport;

import java.util.Map;
import java.util.function.Consumer;

/** What the rest of the service sees of HTTP: plain values, no library types. */
public final class Http {
  private Http() {}

  /** A request as it came in; {@code path} is without the query. */
  public record Request(String method, String path, Map<String, String> query, byte[] body) {}

  /**
   * An answer; {@code retryAfterS} of 0 leaves the header out. With {@code close} the connection
   * ends with it, so that whoever asked comes back on another, maybe to another node.
   */
  public record Response(int status, byte[] body, int retryAfterS, boolean close) {
    public static final byte[] EMPTY = {};

    public Response(int status, byte[] body, int retryAfterS) {
      this(status, body, retryAfterS, false);
    }

    public Response(int status, byte[] body) {
      this(status, body, 0);
    }
  }

  /** What became of a call that we made. */
  public sealed interface Outcome {}

  /** The other side answered. */
  public record Answer(int status, byte[] body) implements Outcome {}

  /** The request cannot have left this process, so it can never take effect. */
  public record NotSent(String reason) implements Outcome {}

  /** The request may have been executed, or may yet be executed later. */
  public record Unknown(String reason) implements Outcome {}

  /** Takes requests; the answer may be given at once or later, but only once. */
  public interface Handler {
    void handle(Request request, Consumer<Response> reply);
  }

  /** Makes calls. */
  public interface Caller {
    void call(
        String address,
        String method,
        String path,
        byte[] body,
        long timeoutMs,
        Consumer<Outcome> done);
  }
}
