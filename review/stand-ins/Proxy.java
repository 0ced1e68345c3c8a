package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.ToLongFunction;

/** Forwards TCP connections of a loopback port to another one. Can hold answers and keeps requests. */
final class Proxy {
  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final List<byte[]> requests = new CopyOnWriteArrayList<>();

  /** Returns for how many milliseconds a part of an answer is held, given its text. */
  private volatile ToLongFunction<String> holdMs = text -> 0;

  Proxy(String targetAddress) throws IOException {
    int colon = targetAddress.indexOf(':');
    target =
        new InetSocketAddress(
            targetAddress.substring(0, colon), Integer.parseInt(targetAddress.substring(colon + 1)));
    listener = new ServerSocket(0, 256, InetAddress.getByName(Web.HOST));
    start(this::accept);
  }

  String address() {
    return Web.HOST + ":" + listener.getLocalPort();
  }

  void holdAnswers(ToLongFunction<String> hold) {
    holdMs = hold;
  }

  /** Returns the first request so far that contains a text; {@code null} if there is none. */
  byte[] requestWith(String text) {
    for (byte[] request : requests) {
      if (new String(request, StandardCharsets.UTF_8).contains(text)) {
        return request;
      }
    }
    return null;
  }

  /** Delivers a request once more, on a connection of its own; returns the answer's first line. */
  String repeat(byte[] request) throws IOException {
    try (Socket socket = new Socket(target.getAddress(), target.getPort())) {
      socket.setSoTimeout(2000);
      socket.getOutputStream().write(request);
      socket.getOutputStream().flush();
      byte[] answer = new byte[4096];
      int length = socket.getInputStream().read(answer);
      return new String(answer, 0, Math.max(0, length), StandardCharsets.UTF_8).split("\r\n")[0];
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (true) {
      try {
        Socket client = listener.accept();
        start(() -> forward(client));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void forward(Socket client) {
    try {
      client.setTcpNoDelay(true);
      Socket server = new Socket();
      try {
        server.connect(target, 1000);
      } catch (IOException e) {
        client.setSoLinger(true, 0);
        client.close();
        return;
      }
      server.setTcpNoDelay(true);
      start(() -> copyRequests(client, server));
      copyAnswers(server, client);
    } catch (IOException e) {
      // The other side learns of it by the end of its connection.
    }
  }

  private void copyRequests(Socket client, Socket server) {
    try (client;
        server) {
      InputStream in = client.getInputStream();
      OutputStream out = server.getOutputStream();
      StringBuilder request = new StringBuilder();
      byte[] buffer = new byte[65_536];
      for (int length = in.read(buffer); length > 0; length = in.read(buffer)) {
        request.append(new String(buffer, 0, length, StandardCharsets.ISO_8859_1));
        keepIfComplete(request);
        out.write(buffer, 0, length);
        out.flush();
      }
    } catch (IOException e) {
      // closed
    }
  }

  private void keepIfComplete(StringBuilder request) {
    int end = request.indexOf("\r\n\r\n");
    if (end < 0) {
      return;
    }
    int bodyLength = 0;
    for (String line : request.substring(0, end).split("\r\n")) {
      if (line.toLowerCase().startsWith("content-length:")) {
        bodyLength = Integer.parseInt(line.substring("content-length:".length()).trim());
      }
    }
    int total = end + 4 + bodyLength;
    if (request.length() >= total) {
      requests.add(request.substring(0, total).getBytes(StandardCharsets.ISO_8859_1));
      request.delete(0, total);
    }
  }

  private void copyAnswers(Socket server, Socket client) throws IOException {
    try (client;
        server) {
      InputStream in = server.getInputStream();
      OutputStream out = client.getOutputStream();
      byte[] buffer = new byte[65_536];
      for (int length = in.read(buffer); length > 0; length = in.read(buffer)) {
        long waitMs = holdMs.applyAsLong(new String(buffer, 0, length, StandardCharsets.UTF_8));
        if (waitMs > 0) {
          Thread.sleep(waitMs);
        }
        out.write(buffer, 0, length);
        out.flush();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
