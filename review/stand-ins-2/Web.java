import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP and JSON of all stand-ins, on 127.0.0.1 alone. */
final class Web {
  static final ObjectMapper JSON = new ObjectMapper();
  static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(4))
          .executor(THREADS)
          .build();

  private static final int LOWEST_PORT = 12_000;
  private static final int PORTS = 18_000;
  private static final SecureRandom RANDOM = new SecureRandom();
  private static final Set<Integer> GIVEN_PORTS = new HashSet<>();

  private Web() {}

  /** An answer; status 0 stands for none. */
  record Answer(int status, JsonNode body) {
    static final Answer NONE = new Answer(0, JSON.createObjectNode());
  }

  /** Handles a request; returns null to close the connection without an answer. */
  interface Handler {
    Answer handle(String method, String path, Map<String, String> query, JsonNode body)
        throws Exception;
  }

  /**
   * Returns a free port for a process to listen on. It lies below the ports that the system gives
   * to connections, so that none of them takes it before the process has started.
   */
  static synchronized int freePort() throws IOException {
    for (int tries = 0; tries < 1000; tries++) {
      int port = LOWEST_PORT + RANDOM.nextInt(PORTS);
      if (GIVEN_PORTS.add(port)) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
          return socket.getLocalPort();
        } catch (BindException e) {
          // Another process has it.
        }
      }
    }
    throw new IOException("no free port");
  }

  static HttpServer serve(Handler handler) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> handle(exchange, handler));
    server.start();
    return server;
  }

  static String address(HttpServer server) {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private static void handle(HttpExchange exchange, Handler handler) {
    try (exchange) {
      byte[] sent = exchange.getRequestBody().readAllBytes();
      JsonNode body = sent.length == 0 ? JSON.createObjectNode() : JSON.readTree(sent);
      URI uri = exchange.getRequestURI();
      Answer answer =
          handler.handle(exchange.getRequestMethod(), uri.getPath(), query(uri), body);
      if (answer == null) {
        return;
      }
      byte[] bytes = JSON.writeValueAsBytes(answer.body());
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(answer.status(), bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (IOException e) {
      // The caller has gone.
    } catch (Exception e) {
      e.printStackTrace();
    }
  }

  private static Map<String, String> query(URI uri) {
    Map<String, String> query = new TreeMap<>();
    if (uri.getRawQuery() != null) {
      for (String part : uri.getRawQuery().split("&")) {
        int equals = part.indexOf('=');
        query.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  /** Calls a server; an answer that does not come in time or a lost connection is status 0. */
  static Answer call(String method, String address, String path, JsonNode body, long timeoutMs) {
    try {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(URI.create("http://" + address + path))
              .timeout(Duration.ofMillis(timeoutMs));
      if (body == null) {
        request.method(method, HttpRequest.BodyPublishers.noBody());
      } else {
        request
            .header("Content-Type", "application/json")
            .method(method, HttpRequest.BodyPublishers.ofByteArray(JSON.writeValueAsBytes(body)));
      }
      HttpResponse<byte[]> response =
          CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
      byte[] bytes = response.body();
      JsonNode json = bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes);
      return new Answer(response.statusCode(), json);
    } catch (IOException e) {
      return Answer.NONE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Answer.NONE;
    }
  }
}
