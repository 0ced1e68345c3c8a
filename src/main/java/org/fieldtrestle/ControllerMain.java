package org.fieldtrestle;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import org.fieldtrestle.config.InvalidSettingException;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.config.SettingsChecks;
import org.fieldtrestle.config.SettingsParser;
import org.fieldtrestle.transport.HttpClient;

/**
 * Starts a controller with the settings file that is its only argument, for the platform: on a
 * small share of a core, loading what {@link Main} needs to read a command line takes seconds in
 * which workers' leases run out.
 */
public final class ControllerMain {
  /** The exit status where a setting cannot be used. */
  static final int EXIT_INVALID = 2;

  /** The exit status where the address for users and workers cannot be had. */
  private static final int EXIT_CANNOT_LISTEN = 1;

  private static final double BYTES_PER_MB = 1024.0 * 1024.0;

  private ControllerMain() {}

  public static void main(String[] args) throws InterruptedException {
    LibrarySettings.apply();
    if (args.length != 1) {
      System.err.println("fieldtrestle: expects the settings file as its only argument");
      System.exit(EXIT_INVALID);
    }
    try {
      Settings settings = SettingsParser.read(Path.of(args[0]));
      warn(settings);
      run(settings, OperatorSettings.DEFAULT);
    } catch (InvalidSettingException e) {
      System.err.println("fieldtrestle: " + e.getMessage());
      System.exit(EXIT_INVALID);
    }
  }

  /** Tells on standard error of figures that are too small for a cluster. */
  static void warn(Settings settings) {
    double heapMb = Runtime.getRuntime().maxMemory() / BYTES_PER_MB;
    for (String line : SettingsChecks.warnings(settings, heapMb)) {
      System.err.println("fieldtrestle: warning: " + line);
    }
  }

  /** Runs a controller until it is killed. */
  static void run(Settings settings, OperatorSettings tuning) throws InterruptedException {
    ControllerProcess process = new ControllerProcess(settings, tuning);
    InetSocketAddress front = HttpClient.socket(settings.userAddress());
    try {
      process.start(front, HttpClient.socket(settings.peerAddress())).get();
    } catch (ExecutionException e) {
      System.err.println(
          "fieldtrestle: cannot listen on " + front + ": " + e.getCause().getMessage());
      System.exit(EXIT_CANNOT_LISTEN); // the event loop would go on
    }
    process.await();
  }
}
