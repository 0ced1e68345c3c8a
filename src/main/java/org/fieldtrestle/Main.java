package org.fieldtrestle;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.fieldtrestle.config.InvalidSettingException;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.config.OperatorSettingsParser;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.config.SettingsParser;
import picocli.CommandLine;

/**
 * The command line for operators. Reads the settings of the platform and of the operators, and
 * either checks them or runs a controller.
 */
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
      description = "the operators' settings (HCL); without this file the defaults apply")
  private Path operator;

  @CommandLine.Option(
      names = "--check",
      description =
          "check the settings and report what is wrong with them, without running a controller")
  private boolean check;

  /** Provides the version from the manifest of the jar. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"fieldtrestle " + (version == null ? "(not packaged)" : version)};
    }
  }

  /** Runs the command line and exits with its status unless that is 0. */
  public static void main(String[] args) {
    LibrarySettings.apply();
    int status = new CommandLine(new Main()).execute(args);
    if (status != 0) {
      System.exit(status);
    }
  }

  @Override
  public Integer call() throws InterruptedException {
    Settings settings;
    OperatorSettings operatorSettings;
    try {
      settings = SettingsParser.read(config);
      operatorSettings =
          operator == null ? OperatorSettings.DEFAULT : OperatorSettingsParser.read(operator);
    } catch (InvalidSettingException e) {
      System.err.println("fieldtrestle: " + e.getMessage());
      return ControllerMain.EXIT_INVALID;
    }
    ControllerMain.printWarnings(settings);
    if (check) {
      System.out.println("settings of " + settings.label() + " are in order");
      return 0;
    }
    ControllerMain.run(settings, operatorSettings);
    return 0;
  }
}
