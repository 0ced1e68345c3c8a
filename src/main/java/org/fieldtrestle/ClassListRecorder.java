package org.fieldtrestle;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
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
import org.slf4j.LoggerFactory;

/**
 * Loads the classes that a controller needs, so that the build can put them into a class data
 * sharing archive. The build runs this program under a JVM that records the loaded classes. The
 * archive is needed because loading the classes without it takes seconds on a small share of a
 * core, during which the leases of workers expire.
 *
 * <p>The program loads all classes of its own jar. It then lets a controller run some jobs on a
 * stub worker, so that the classes of the libraries and of the JDK that a controller uses are
 * recorded too.
 */
public final class ClassListRecorder {
  private static final String SETTINGS_RESOURCE = "/class-list-recorder.toml";
  private static final String PROGRAM_CLASSES = "org/fieldtrestle/";
  private static final long TIMEOUT_S = 30;
  private static final long CONNECTION_TIMEOUT_MS = 60_000;
  private static final int MAX_SOCKETS = 100;

  private ClassListRecorder() {}

  /**
   * Runs the recording and exits with status 0, or with 1 if it has failed.
   *
   * @param args the path of the program's jar
   */
  public static void main(String[] args) {
    int exitStatus = 1;
    try {
      run(args[0]);
      exitStatus = 0;
    } catch (IOException
        | InterruptedException
        | InvalidSettingException
        | ClassNotFoundException
        | ExecutionException
        | RuntimeException e) {
      System.err.println("class list recorder: failed, see its log: " + e);
      // The logger is not a constant, because the library must be set up before its first logger.
      LoggerFactory.getLogger(ClassListRecorder.class)
          .atError()
          .setCause(e)
          .log("class list recording failed");
    } finally {
      System.exit(exitStatus); // the event loops would keep the process running
    }
  }

  private static void run(String jar)
      throws IOException,
          InterruptedException,
          InvalidSettingException,
          ClassNotFoundException,
          ExecutionException {
    LibrarySettings.apply();
    loadProgramClasses(jar);
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    EventLoopMeter meter = new EventLoopMeter(System::nanoTime);
    SocketBudget sockets = new SocketBudget(MAX_SOCKETS);
    HttpClient client = new HttpClient(group.next(), sockets, Set.of(), MAX_SOCKETS, meter);
    CountDownLatch finished = new CountDownLatch(1);
    StubServices services =
        new StubServices(new NettyReactor(group.next()), client, finished::countDown);
    HttpServer server =
        new HttpServer(
            group,
            services,
            sockets,
            path -> false,
            CONNECTION_TIMEOUT_MS,
            CONNECTION_TIMEOUT_MS,
            meter);
    int port = server.start(anyLoopbackPort());
    ControllerProcess controller = new ControllerProcess(settings(port), OperatorSettings.DEFAULT);
    int controllerPort = controller.start(anyLoopbackPort(), anyLoopbackPort()).get();
    services.start(loopbackAddress(port), loopbackAddress(controllerPort));
    if (!finished.await(TIMEOUT_S, TimeUnit.SECONDS)) {
      // The archive only makes starts faster, so an incomplete archive does not fail the build.
      System.err.println("class list recorder: timeout, the archive lacks some classes");
    }
  }

  private static InetSocketAddress anyLoopbackPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  private static String loopbackAddress(int port) {
    return InetAddress.getLoopbackAddress().getHostAddress() + ":" + port;
  }

  private static void loadProgramClasses(String jarFile)
      throws IOException, ClassNotFoundException {
    try (JarFile jar = new JarFile(jarFile)) {
      for (JarEntry entry : (Iterable<JarEntry>) jar.stream()::iterator) {
        if (entry.getName().startsWith(PROGRAM_CLASSES) && entry.getName().endsWith(".class")) {
          Class.forName(entry.getName().replace('/', '.').replaceAll("\\.class$", ""));
        }
      }
    }
  }

  /**
   * Returns settings for a controller whose services all listen on one local port. They are read
   * from a file, like those of any controller, so that the classes of the parser are recorded too.
   */
  static Settings settings(int port) throws IOException, InvalidSettingException {
    Path file = Files.createTempFile("fieldtrestle-class-list", ".toml");
    try (InputStream in = ClassListRecorder.class.getResourceAsStream(SETTINGS_RESOURCE)) {
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      Files.writeString(file, text.replace("PORT", Integer.toString(port)));
      return SettingsParser.read(file);
    } finally {
      Files.delete(file);
    }
  }
}
