package org.fieldtrestle;

import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.random.RandomGenerator;
import org.fieldtrestle.coordination.Controller;
import org.fieldtrestle.coordination.OperatorFile;
import org.fieldtrestle.coordination.Tuning;
import org.fieldtrestle.protocol.PeerWire;
import org.fieldtrestle.protocol.Settings;
import org.fieldtrestle.protocol.SettingsFile;
import org.fieldtrestle.protocol.WorkerWire;
import org.fieldtrestle.transport.HttpClient;
import org.fieldtrestle.transport.HttpServer;
import org.fieldtrestle.transport.NettyReactor;
import org.fieldtrestle.transport.PeerNet;
import org.fieldtrestle.transport.Sockets;
import picocli.CommandLine;

/** The program: reads its settings and wires a controller to the network. */
@CommandLine.Command(
    name = "fieldtrestle",
    description = "One controller of the fieldtrestle cluster scheduler.",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class)
public final class Main implements Callable<Integer> {
  @CommandLine.Option(
      names = "--config",
      paramLabel = "FILE",
      required = true,
      description = "the platform's settings (TOML)")
  private Path config;

  @CommandLine.Option(
      names = "--operator",
      paramLabel = "FILE",
      description = "the operators' own settings (HCL); without it the defaults hold")
  private Path operator;

  @CommandLine.Option(
      names = "--check",
      description = "only check the settings, and say what is wrong with them")
  private boolean check;

  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"fieldtrestle " + (version == null ? "(not packaged)" : version)};
    }
  }

  public static void main(String[] args) {
    prepare();
    int code = new CommandLine(new Main()).execute(args);
    if (code != 0) {
      System.exit(code);
    }
  }

  /** What the libraries have to know before any of them is touched. */
  static void prepare() {
    String level = System.getenv().getOrDefault("LOG_LEVEL", "info");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "warn");
    // A bad setting is one line of ours, not the parser's stack trace.
    System.setProperty("org.slf4j.simpleLogger.log.com.bertramlabs", "off");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    // One event loop serves everything; more arenas and caches would only cost memory.
    System.setProperty("io.netty.allocator.type", "unpooled");
    // Or Netty looks through the network interfaces for a name of its own at every start.
    System.setProperty("io.netty.machineId", "00:00:00:00:00:01");
  }

  @Override
  public Integer call() throws InterruptedException {
    Settings settings;
    Tuning tuning;
    try {
      settings = SettingsFile.read(config);
      tuning = operator == null ? Tuning.DEFAULT : OperatorFile.read(operator);
    } catch (Settings.Invalid e) {
      System.err.println("fieldtrestle: " + e.getMessage());
      return 2;
    }
    double heapMb = Runtime.getRuntime().maxMemory() / 1024.0 / 1024.0;
    settings.warnings(heapMb).forEach(line -> System.err.println("fieldtrestle: warning: " + line));
    if (check) {
      System.out.println("settings of " + settings.label() + " are in order");
      return 0;
    }
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    NettyReactor reactor = new NettyReactor(group.next());
    Sockets sockets = new Sockets(settings.limits().maxConnections());
    long idleMs = settings.workerLeaseMs() * 2;
    long reportMs = Math.round(settings.workers().reportS() * 1000);
    HttpClient client =
        new HttpClient(
            group.next(),
            sockets,
            Set.of(settings.stateAddress(), settings.cloudAddress()),
            settings.limits().maxConnections() / 5);
    // Each other controller has one, and may have come back a few times while old ones linger.
    PeerNet peers =
        new PeerNet(
            group,
            sockets,
            PeerWire.MAX_FRAME,
            8 * (settings.peers().size() + 1),
            idleMs,
            reportMs);
    Controller controller =
        new Controller(
            settings, tuning, reactor, RandomGenerator.of("L64X128MixRandom"), client, peers);
    HttpServer server =
        new HttpServer(
            group,
            controller,
            sockets,
            WorkerWire.REPORT::equals,
            idleMs,
            settings.workerLeaseMs() / 2);
    server.start(address(settings.userAddress()));
    peers.start(
        address(settings.peerAddress()),
        frame -> {
          ByteBuffer copy = ByteBuffer.allocate(frame.remaining()).put(frame).flip();
          controller.frame(copy);
        });
    reactor.execute(controller::start);
    group.terminationFuture().sync();
    return 0;
  }

  private static InetSocketAddress address(String text) {
    return HttpClient.socket(text);
  }
}
