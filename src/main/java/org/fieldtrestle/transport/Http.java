package org.fieldtrestle.transport;

import java.util.Map;
import java.util.function.Consumer;

/**
 * The HTTP types that the rest of the program uses. They are plain values, independent of the HTTP
 * library.
 */
// Bodies are arrays to avoid the cost of copying; none of these records is ever compared.
@SuppressWarnings("ArrayRecordComponent")
public final class Http {
  private Http() {}

  /**
   * A request that this process received.
   *
   * @param path the path without the query
   * @param query the first value of each query parameter
   */
  public record Request(String method, String path, Map<String, String> query, byte[] body) {}

  /**
   * A response that this process sends.
   *
   * @param retryAfterS the value of the {@code Retry-After} header in seconds; 0 omits the header
   * @param closeConnection whether to close the connection after the response, so that the client
   *     opens a new one, which may lead to another controller
   */
  public record Response(int status, byte[] body, int retryAfterS, boolean closeConnection) {
    /** An empty body. */
    public static final byte[] EMPTY = {};

    /** Creates a response that keeps the connection open. */
    public Response(int status, byte[] body, int retryAfterS) {
      this(status, body, retryAfterS, false);
    }

    /** Creates a response that keeps the connection open and has no {@code Retry-After} header. */
    public Response(int status, byte[] body) {
      this(status, body, 0);
    }
  }

  /** The outcome of an HTTP call that this process made. */
  public sealed interface Outcome {}

  /** The called service answered. */
  public record Answer(int status, byte[] body) implements Outcome {}

  /** The request never left this process, so the called service cannot execute it, now or later. */
  public record NotSent(String reason) implements Outcome {}

  /**
   * No answer was received; the called service may have executed the request or may still do so.
   */
  public record Unknown(String reason) implements Outcome {}

  /** Handles the requests that this process receives. */
  public interface Handler {
    /**
     * Handles a request.
     *
     * @param reply must be called exactly once with the response, during this call or later
     */
    void handle(Request request, Consumer<Response> reply);
  }

  /** Makes HTTP calls to other services. */
  public interface Caller {
    /**
     * Makes a call.
     *
     * @param address host and port of the called service
     * @param timeoutMs the time in milliseconds after which an unanswered call ends with {@link
     *     NotSent} or {@link Unknown}
     * @param callback called exactly once with the outcome, on the event loop of this caller
     */
    void call(
        String address,
        String method,
        String path,
        byte[] body,
        long timeoutMs,
        Consumer<Outcome> callback);
  }
}
