package org.fieldtrestle;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarFile;
import java.util.random.RandomGenerator;
import org.fieldtrestle.coordination.Controller;
import org.fieldtrestle.coordination.Tuning;
import org.fieldtrestle.protocol.PeerWire;
import org.fieldtrestle.protocol.Settings;
import org.fieldtrestle.protocol.SettingsFile;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.HttpClient;
import org.fieldtrestle.transport.HttpServer;
import org.fieldtrestle.transport.NettyReactor;
import org.fieldtrestle.transport.PeerNet;
import org.fieldtrestle.transport.Sockets;
import picocli.CommandLine;

/**
 * Run by the build only, to record the classes that a controller loads in an archive: with a small
 * share of a core, loading them anew takes seconds in which workers' leases run out.
 */
public final class WarmUp {
  private WarmUp() {}

  public static void main(String[] args)
      throws IOException, InterruptedException, Settings.Invalid, ClassNotFoundException {
    Main.prepare();
    try (JarFile jar = new JarFile(args[0])) {
      for (var entry : (Iterable<java.util.jar.JarEntry>) jar.stream()::iterator) {
        if (entry.getName().endsWith(".class")) {
          Class.forName(entry.getName().replace('/', '.').replaceAll("\\.class$", ""));
        }
      }
    }
    new CommandLine(new Main()).parseArgs("--config", Path.of("none").toString());
    String text;
    try (InputStream in = WarmUp.class.getResourceAsStream("/warm-up.toml")) {
      text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
    Settings settings = SettingsFile.parse(text);
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    NettyReactor reactor = new NettyReactor(group.next());
    Sockets sockets = new Sockets(100);
    HttpClient client = new HttpClient(group.next(), sockets, Set.of(), 10);
    PeerNet peers = new PeerNet(group, sockets, PeerWire.MAX_FRAME, 4, 1000, 1000);
    Controller controller =
        new Controller(
            settings,
            Tuning.DEFAULT,
            reactor,
            RandomGenerator.of("L64X128MixRandom"),
            client,
            peers);
    HttpServer server = new HttpServer(group, controller, sockets, path -> false, 1000, 1000);
    int port = server.start(new InetSocketAddress("127.0.0.1", 0));
    peers.start(new InetSocketAddress("127.0.0.1", 0), frame -> {});
    reactor.execute(controller::start);
    CountDownLatch answered = new CountDownLatch(3);
    for (String path : new String[] {"/ready", "/stats", "/v2/runs/job-1"}) {
      reactor.execute(
          () ->
              client.call(
                  "127.0.0.1:" + port,
                  "GET",
                  path,
                  Http.Response.EMPTY,
                  2000,
                  outcome -> answered.countDown()));
    }
    boolean all = answered.await(10, TimeUnit.SECONDS);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    System.exit(all ? 0 : 1);
  }
}
