package org.fieldtrestle.transport;

import java.util.Map;
import java.util.function.Consumer;

/** HTTP as the rest of the program sees it: plain values, no library types. */
// Bodies are arrays, as copies would cost processor time; none of these values is ever compared.
@SuppressWarnings("ArrayRecordComponent")
public final class Http {
  private Http() {}

  /**
   * A request to this process.
   *
   * @param path the path without the query
   * @param query the first value of each query parameter
   */
  public record Request(String method, String path, Map<String, String> query, byte[] body) {}

  /**
   * A response of this process.
   *
   * @param retryAfterS value of the {@code Retry-After} header in seconds; 0 leaves the header out
   * @param closeConnection whether to close the connection, so that the client comes back on
   *     another one, maybe to another controller
   */
  public record Response(int status, byte[] body, int retryAfterS, boolean closeConnection) {
    /** An empty body. */
    public static final byte[] EMPTY = {};

    /** A response that keeps the connection. */
    public Response(int status, byte[] body, int retryAfterS) {
      this(status, body, retryAfterS, false);
    }

    /** A response that keeps the connection, without {@code Retry-After}. */
    public Response(int status, byte[] body) {
      this(status, body, 0);
    }
  }

  /** The outcome of a call that this process made. */
  public sealed interface Outcome {}

  /** The other side answered. */
  public record Answer(int status, byte[] body) implements Outcome {}

  /** The request did not leave this process, so it can never take effect. */
  public record NotSent(String reason) implements Outcome {}

  /** The request may have been executed, or may be executed later. */
  public record Unknown(String reason) implements Outcome {}

  /** Handles requests. */
  public interface Handler {
    /** Handles a request; {@code reply} has to be called once, now or later. */
    void handle(Request request, Consumer<Response> reply);
  }

  /** Makes calls. */
  public interface Caller {
    /**
     * Makes a call.
     *
     * @param address host and port
     * @param timeoutMs after this time the call ends with {@link NotSent} or {@link Unknown}
     * @param done called once with the outcome, on the caller's event loop
     */
    void call(
        String address,
        String method,
        String path,
        byte[] body,
        long timeoutMs,
        Consumer<Outcome> done);
  }
}
