package review;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP and JSON for the stand-ins. All addresses are loopback addresses. */
final class Web {
  static final ObjectMapper JSON = new ObjectMapper();
  static final String HOST = "127.0.0.1";

  private Web() {}

  /** An answer. A status of 0 stands for no answer. */
  record Answer(int status, JsonNode body) {}

  /** Handles one request; {@code null} closes the connection without an answer. */
  interface Handler {
    Answer handle(String method, String path, Map<String, String> query, JsonNode body)
        throws Exception;
  }

  static ObjectNode object() {
    return JSON.createObjectNode();
  }

  static Answer answer(int status) {
    return new Answer(status, object());
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      return socket.getLocalPort();
    }
  }

  /** Serves on a free port; returns the server, whose threads are daemons. */
  static HttpServer serve(Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(HOST, 0), 256);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", exchange -> handle(exchange, handler));
    server.start();
    return server;
  }

  static String address(HttpServer server) {
    return HOST + ":" + server.getAddress().getPort();
  }

  private static void handle(HttpExchange exchange, Handler handler) throws IOException {
    byte[] request = exchange.getRequestBody().readAllBytes();
    Answer answer;
    try {
      answer =
          handler.handle(
              exchange.getRequestMethod(),
              exchange.getRequestURI().getPath(),
              query(exchange.getRequestURI().getQuery()),
              request.length == 0 ? object() : JSON.readTree(request));
    } catch (JsonProcessingException e) {
      answer = answer(400);
    } catch (Exception e) {
      e.printStackTrace();
      answer = answer(500);
    }
    if (answer == null) {
      exchange.close();
      return;
    }
    byte[] body = JSON.writeValueAsBytes(answer.body());
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(answer.status(), body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  private static Map<String, String> query(String text) {
    Map<String, String> query = new HashMap<>();
    for (String pair : text == null ? new String[0] : text.split("&")) {
      int equals = pair.indexOf('=');
      query.put(pair.substring(0, equals), pair.substring(equals + 1));
    }
    return query;
  }

  static HttpClient client() {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofMillis(500))
        .build();
  }

  static Answer call(
      HttpClient client, String address, String method, String path, JsonNode body, long timeoutMs)
      throws InterruptedException {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + address + path))
              .timeout(Duration.ofMillis(timeoutMs))
              .method(
                  method,
                  body == null
                      ? HttpRequest.BodyPublishers.noBody()
                      : HttpRequest.BodyPublishers.ofString(body.toString()))
              .build();
      HttpResponse<byte[]> response =
          client.send(request, HttpResponse.BodyHandlers.ofByteArray());
      String text = new String(response.body(), StandardCharsets.UTF_8);
      return new Answer(response.statusCode(), text.isEmpty() ? object() : JSON.readTree(text));
    } catch (IOException e) {
      return new Answer(0, object().put("error", String.valueOf(e.getMessage())));
    }
  }
}
