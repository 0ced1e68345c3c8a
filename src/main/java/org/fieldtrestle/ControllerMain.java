package org.fieldtrestle;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import org.fieldtrestle.config.InvalidSettingException;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.config.SettingsChecks;
import org.fieldtrestle.config.SettingsParser;
import org.fieldtrestle.transport.SocketAddresses;

/**
 * Entry point for the platform, which starts a controller with a settings file as its only
 * argument. It is separate from {@link Main}, because loading the command-line parser takes seconds
 * on a small share of a core, during which the leases of workers expire.
 */
public final class ControllerMain {
  /** Exit status if the arguments or a setting are invalid. */
  static final int EXIT_INVALID = 2;

  /** Exit status if the controller cannot listen on its address for users and workers. */
  private static final int EXIT_CANNOT_LISTEN = 1;

  private static final double BYTES_PER_MB = 1024.0 * 1024.0;

  private ControllerMain() {}

  /**
   * Runs a controller until it is killed, or exits with a nonzero status if it cannot start.
   *
   * @param args the path of the settings file
   */
  public static void main(String[] args) throws InterruptedException {
    LibrarySettings.apply();
    if (args.length != 1) {
      System.err.println("fieldtrestle: expects the settings file as its only argument");
      System.exit(EXIT_INVALID);
    }
    try {
      Settings settings = SettingsParser.read(Path.of(args[0]));
      printWarnings(settings);
      run(settings, OperatorSettings.DEFAULT);
    } catch (InvalidSettingException e) {
      System.err.println("fieldtrestle: " + e.getMessage());
      System.exit(EXIT_INVALID);
    }
  }

  /** Prints a warning to standard error for each limit that is too small for the cluster. */
  static void printWarnings(Settings settings) {
    double heapMb = Runtime.getRuntime().maxMemory() / BYTES_PER_MB;
    for (String line : SettingsChecks.warnings(settings, heapMb)) {
      System.err.println("fieldtrestle: warning: " + line);
    }
  }

  /** Runs a controller until it is killed. */
  static void run(Settings settings, OperatorSettings operatorSettings)
      throws InterruptedException {
    ControllerProcess process = new ControllerProcess(settings, operatorSettings);
    InetSocketAddress userAddress = SocketAddresses.parse(settings.userAddress());
    try {
      process.start(userAddress, SocketAddresses.parse(settings.peerAddress())).get();
    } catch (ExecutionException e) {
      System.err.println(
          "fieldtrestle: cannot listen on " + userAddress + ": " + e.getCause().getMessage());
      System.exit(EXIT_CANNOT_LISTEN); // the event loop would keep the process running
    }
    process.awaitTermination();
  }
}
