package org.fieldtrestle.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Broken HTTP gets a named status or a closed connection, and the next request is served. */
class HttpServerTest {
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private int port;

  @BeforeEach
  void start() throws InterruptedException {
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
            3,
            60_000);
    port = server.start(new InetSocketAddress("127.0.0.1", 0));
  }

  @AfterEach
  void stop() {
    group.shutdownGracefully();
  }

  /** Sends bytes on a connection of its own and reads until the other side closes. */
  private String send(byte[] bytes) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      try {
        socket.getOutputStream().write(bytes);
        socket.shutdownOutput();
        InputStream in = socket.getInputStream();
        return new String(in.readAllBytes(), StandardCharsets.UTF_8);
      } catch (IOException e) {
        return ""; // closed on us
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
  void brokenRequestsAreRefusedAndTheNextIsServed() throws IOException {
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
  void noiseEndsNothing() throws IOException {
    SplittableRandom random = new SplittableRandom(5);
    for (int i = 0; i < 40; i++) {
      byte[] noise = new byte[random.nextInt(2000)];
      random.nextBytes(noise);
      send(noise);
    }
    assertServes();
  }

  @Test
  void connectionsBeyondTheLimitAreClosedAndOthersLive() throws IOException {
    try (Socket a = new Socket("127.0.0.1", port);
        Socket b = new Socket("127.0.0.1", port);
        Socket c = new Socket("127.0.0.1", port)) {
      for (Socket one : new Socket[] {a, b, c}) { // an answer shows that it was taken in
        one.getOutputStream()
            .write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        assertEquals('H', one.getInputStream().read());
      }
      try (Socket d = new Socket("127.0.0.1", port)) {
        int read;
        try {
          read = d.getInputStream().read();
        } catch (IOException e) {
          read = -1;
        }
        assertEquals(-1, read, "closed at once");
      }
    }
  }
}
