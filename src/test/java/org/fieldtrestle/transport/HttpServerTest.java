package org.fieldtrestle.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import org.fieldtrestle.transport.SocketBudget.ConnectionPriority;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that malformed HTTP is answered by an error status or a closed connection, that the next
 * request is served, and that connections are limited in number and time.
 */
class HttpServerTest {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private int port;

  @BeforeEach
  void start() throws InterruptedException {
    port = serve(60_000);
  }

  private int serve(long requestTimeoutMs) throws InterruptedException {
    HttpServer server =
        new HttpServer(
            group,
            (request, reply) -> {
              if (request.path().equals("/fails")) {
                throw new IllegalStateException("on purpose");
              }
              reply.accept(
                  new Http.Response(
                      200, ("got " + request.body().length).getBytes(StandardCharsets.UTF_8)));
            },
            new SocketBudget(6), // four of them are for users and workers
            path -> path.equals("/often"),
            60_000,
            requestTimeoutMs,
            new EventLoopMeter(System::nanoTime));
    return server.start(new InetSocketAddress(LOOPBACK, 0));
  }

  @AfterEach
  void stop() {
    Future<?> unused = group.shutdownGracefully(); // waiting would take seconds in each test
  }

  /** Sends bytes on a new connection and reads until the server closes it. */
  private String send(byte[] bytes) throws IOException {
    try (Socket socket = new Socket(LOOPBACK, port)) {
      try {
        socket.getOutputStream().write(bytes);
        socket.shutdownOutput();
        InputStream in = socket.getInputStream();
        return new String(in.readAllBytes(), StandardCharsets.UTF_8);
      } catch (IOException e) {
        return ""; // the server has closed the connection
      }
    }
  }

  private String send(String text) throws IOException {
    return send(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private void assertServes() throws IOException {
    String answer =
        send("POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc");
    assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
    assertTrue(answer.endsWith("got 3"), answer);
  }

  @Test
  void malformedRequestsAreRefusedAndTheNextIsServed() throws IOException {
    assertTrue(send("nonsense\r\n\r\n").startsWith("HTTP/1.1 400"));
    assertServes();
    String large = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n";
    assertTrue(send(large).startsWith("HTTP/1.1 413"), "a body over 64 KiB");
    assertServes();
    send("GET /" + "a".repeat(10_000) + " HTTP/1.1\r\n\r\n");
    assertServes();
    send("GET /x HTTP/1.1\r\nA: " + "b".repeat(20_000) + "\r\n\r\n");
    assertServes();
    String fails = send("GET /fails HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    assertTrue(fails.startsWith("HTTP/1.1 500"), fails);
    assertServes();
  }

  @Test
  void randomBytesLeaveTheServerRunning() throws IOException {
    SplittableRandom random = new SplittableRandom(5);
    for (int i = 0; i < 40; i++) {
      byte[] noise = new byte[random.nextInt(2000)];
      random.nextBytes(noise);
      send(noise);
    }
    assertServes();
  }

  private static void sendRequest(Socket socket, String path) throws IOException {
    socket
        .getOutputStream()
        .write(
            ("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
  }

  private static String readAnswer(Socket socket) throws IOException {
    StringBuilder all = new StringBuilder();
    while (all.indexOf("got 0") < 0) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        return all + "closed";
      }
      all.append((char) next);
    }
    return all.toString();
  }

  private static int readEnd(Socket socket) {
    try {
      return socket.getInputStream().read();
    } catch (IOException e) {
      return -1;
    }
  }

  @Test
  void longestIdleConnectionIsClosedForANewOne() throws IOException {
    try (Socket a = new Socket(LOOPBACK, port);
        Socket b = new Socket(LOOPBACK, port);
        Socket c = new Socket(LOOPBACK, port);
        Socket d = new Socket(LOOPBACK, port)) {
      for (Socket socket : new Socket[] {a, b, c, d}) {
        sendRequest(socket, "/x");
        assertTrue(readAnswer(socket).startsWith("HTTP/1.1 200"));
      }
      try (Socket e = new Socket(LOOPBACK, port)) {
        sendRequest(e, "/x");
        assertTrue(
            readAnswer(e).startsWith("HTTP/1.1 200"), "served though all sockets were in use");
        assertEquals(-1, readEnd(a), "the connection that was idle longest is closed");
        sendRequest(b, "/x");
        assertTrue(readAnswer(b).startsWith("HTTP/1.1 200"), "the other connections stay open");
      }
    }
  }

  @Test
  void unfinishedRequestsAreBoundedInNumberAndTime() throws Exception {
    try (Socket a = new Socket(LOOPBACK, port);
        Socket b = new Socket(LOOPBACK, port);
        Socket c = new Socket(LOOPBACK, port);
        Socket d = new Socket(LOOPBACK, port)) {
      for (Socket socket : new Socket[] {a, b, c, d}) { // each has begun its next request
        sendRequest(socket, "/x");
        readAnswer(socket);
        socket.getOutputStream().write("GET /x".getBytes(StandardCharsets.US_ASCII));
      }
      try (Socket e = new Socket(LOOPBACK, port)) {
        assertEquals(-1, readEnd(e), "no connection is idle and no socket is free");
      }
    }
    int shortTimeoutPort = serve(300);
    try (Socket silent = new Socket(LOOPBACK, shortTimeoutPort);
        Socket unfinished = new Socket(LOOPBACK, shortTimeoutPort)) {
      unfinished
          .getOutputStream()
          .write("GET /x HTTP/1.1\r\nHo".getBytes(StandardCharsets.US_ASCII));
      assertEquals(-1, readEnd(silent), "the client never sends a request");
      assertEquals(-1, readEnd(unfinished), "the client never completes its request");
    }
    assertServes();
  }

  @Test
  void connectionsCloseAfterTheResponseNearTheLimit() throws Exception {
    EmbeddedChannel[] open = new EmbeddedChannel[95];
    SocketBudget sockets = new SocketBudget(100); // 96 of them are for connections
    for (int i = 0; i < open.length; i++) {
      assertEquals(i > 76, sockets.mustCloseAfterResponse(true), "expendable connections, at " + i);
      assertEquals(i > 86, sockets.mustCloseAfterResponse(false), "all connections, at " + i);
      assertEquals(
          i < 92, sockets.makeRoom(ConnectionPriority.ORDINARY), "for users and workers, at " + i);
      assertTrue(
          sockets.makeRoom(ConnectionPriority.ESSENTIAL), "for essential connections, at " + i);
      open[i] = new EmbeddedChannel();
      sockets.register(open[i]);
    }
    sockets.markIdleInbound(open[3]);
    sockets.markIdleOutbound(open[50]);
    assertTrue(
        sockets.makeRoom(ConnectionPriority.ORDINARY) || !open[50].isOpen(),
        "an idle outbound connection is closed first");
    assertTrue(
        !open[50].isOpen() && !open[3].isOpen(), "then an idle inbound connection is closed");
    assertEquals(93, sockets.openCount());
  }
}
