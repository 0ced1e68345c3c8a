package org.fieldtrestle;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.fieldtrestle.config.InvalidSettingException;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.config.SettingsParser;
import org.fieldtrestle.transport.EventLoopMeter;
import org.fieldtrestle.transport.HttpClient;
import org.fieldtrestle.transport.HttpServer;
import org.fieldtrestle.transport.NettyReactor;
import org.fieldtrestle.transport.SocketBudget;

/**
 * Run by the build only, to record the classes that a controller loads in an archive: with a small
 * share of a core, loading them anew takes seconds in which workers' leases run out. It loads all
 * classes of its own, and lets a controller run some jobs on a machine, so that those of the
 * libraries and of the JDK that this takes are recorded too.
 */
public final class WarmUp {
  private static final String LOOPBACK = "127.0.0.1";
  private static final long GIVES_UP_AFTER_S = 30;
  private static final long KEPT_MS = 60_000;
  private static final int SOCKETS = 100;
  private static final String OWN_CLASSES = "org/fieldtrestle/";

  private WarmUp() {}

  public static void main(String[] args) {
    int status = 1;
    try {
      run(args[0]);
      status = 0;
    } catch (IOException
        | InterruptedException
        | InvalidSettingException
        | ClassNotFoundException
        | ExecutionException
        | RuntimeException e) {
      e.printStackTrace();
    } finally {
      System.exit(status); // event loops would go on
    }
  }

  private static void run(String jar)
      throws IOException,
          InterruptedException,
          InvalidSettingException,
          ClassNotFoundException,
          ExecutionException {
    LibrarySettings.apply();
    loadClasses(jar);
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    EventLoopMeter meter = new EventLoopMeter(System::nanoTime);
    SocketBudget sockets = new SocketBudget(SOCKETS);
    HttpClient client = new HttpClient(group.next(), sockets, Set.of(), SOCKETS, meter);
    CountDownLatch served = new CountDownLatch(1);
    WarmUpServices services =
        new WarmUpServices(new NettyReactor(group.next()), client, served::countDown);
    HttpServer server =
        new HttpServer(group, services, sockets, path -> false, KEPT_MS, KEPT_MS, meter);
    int port = server.start(new InetSocketAddress(LOOPBACK, 0));
    ControllerProcess controller = new ControllerProcess(settings(port), OperatorSettings.DEFAULT);
    int front =
        controller
            .start(new InetSocketAddress(LOOPBACK, 0), new InetSocketAddress(LOOPBACK, 0))
            .get();
    services.start(LOOPBACK + ":" + port, LOOPBACK + ":" + front);
    if (!served.await(GIVES_UP_AFTER_S, TimeUnit.SECONDS)) {
      // A start would be slower for it, and nothing else.
      System.err.println("warm-up: not everything was served, the archive lacks some classes");
    }
  }

  private static void loadClasses(String jarFile) throws IOException, ClassNotFoundException {
    try (JarFile jar = new JarFile(jarFile)) {
      for (JarEntry entry : (Iterable<JarEntry>) jar.stream()::iterator) {
        if (entry.getName().startsWith(OWN_CLASSES) && entry.getName().endsWith(".class")) {
          Class.forName(entry.getName().replace('/', '.').replaceAll("\\.class$", ""));
        }
      }
    }
  }

  /** The settings are read from a file, as a controller's are. */
  static Settings settings(int port) throws IOException, InvalidSettingException {
    Path file = Files.createTempFile("fieldtrestle-warm-up", ".toml");
    try (InputStream in = WarmUp.class.getResourceAsStream("/warm-up.toml")) {
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      Files.writeString(file, text.replace("PORT", Integer.toString(port)));
      return SettingsParser.read(file);
    } finally {
      Files.delete(file);
    }
  }
}
