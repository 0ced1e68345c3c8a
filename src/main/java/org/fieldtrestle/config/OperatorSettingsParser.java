package org.fieldtrestle.config;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;

/** Reads the operators' settings file (HCL). Every setting has a default. */
public final class OperatorSettingsParser {
  private static final double MAX_FLOOR_S = 3600;
  private static final double MAX_WAIT_S = 86_400;
  private static final double MAX_MARGIN = 1e6;
  private static final double MAX_RESERVED_JOBS = 100;

  /** Smallest allowed value of settings that must be above 0. */
  private static final double ABOVE_ZERO = 0.001;

  /** Tolerance for rounding errors in the sum of the weights. */
  private static final double WEIGHT_ROUNDING = 1e-6;

  private OperatorSettingsParser() {}

  /**
   * Reads a file.
   *
   * @throws InvalidSettingException if the file cannot be read, or a setting is unknown or invalid
   */
  public static OperatorSettings read(Path file) throws InvalidSettingException {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw new InvalidSettingException("--operator", "cannot read " + file);
    }
  }

  /**
   * Parses the text of a file.
   *
   * @throws InvalidSettingException if a setting is unknown or invalid
   */
  public static OperatorSettings parse(String text) throws InvalidSettingException {
    Map<String, Object> root = parseHcl(text);
    // Unknown names are refused because a misspelt setting would silently keep its default, and
    // because the HCL parser drops the name of a block that is not closed.
    requireKnownNames("", root, Set.of("falcon", "eviction", "reserve"));
    Block falcon = Block.of(root, "falcon");
    Block eviction = Block.of(root, "eviction");
    requireKnownNames(
        "falcon.",
        falcon.fields(),
        Set.of("remaining_weight", "waiting_weight", "floor_s", "delta"));
    requireKnownNames("eviction.", eviction.fields(), Set.of("margin", "wait_s", "victim_share"));
    OperatorSettings defaults = OperatorSettings.DEFAULT;
    OperatorSettings read =
        new OperatorSettings(
            falcon.number("remaining_weight", defaults.remainingWeight(), 0, 1),
            falcon.number("waiting_weight", defaults.waitingWeight(), 0, 1),
            falcon.number("floor_s", defaults.remainingTimeFloorS(), ABOVE_ZERO, MAX_FLOOR_S),
            falcon.number("delta", defaults.delta(), ABOVE_ZERO, 1),
            eviction.number("margin", defaults.preemptionMargin(), 0, MAX_MARGIN),
            eviction.number("wait_s", defaults.preemptionWaitS(), 0, MAX_WAIT_S),
            eviction.number("victim_share", defaults.maxVictimRunShare(), 0, 1),
            number(root.get("reserve"), "reserve", defaults.reservedJobs(), 0, MAX_RESERVED_JOBS));
    // The weights of the Falcon paper sum to 1. Any other sum would only
    // scale the margin.
    if (Math.abs(read.remainingWeight() + read.waitingWeight() - 1) > WEIGHT_ROUNDING) {
      throw new InvalidSettingException(
          "falcon.waiting_weight", "remaining_weight and waiting_weight must sum to 1");
    }
    return read;
  }

  private static Map<String, Object> parseHcl(String text) throws InvalidSettingException {
    try {
      return new HCLParser().parse(text);
    } catch (HCLParserException | IOException | RuntimeException e) {
      throw new InvalidSettingException(
          "operator file", "not HCL: " + String.valueOf(e.getMessage()).replaceAll("\\s+", " "));
    }
  }

  private static void requireKnownNames(String prefix, Map<?, ?> fields, Set<String> names)
      throws InvalidSettingException {
    for (Object name : fields.keySet()) {
      if (!names.contains(String.valueOf(name))) {
        throw new InvalidSettingException(prefix + name, "unknown setting");
      }
    }
  }

  /** The settings of one block; empty if the file does not have the block. */
  private record Block(Map<?, ?> fields, String name) {
    static Block of(Map<String, Object> root, String name) throws InvalidSettingException {
      Object value = root.get(name);
      if (value == null) {
        return new Block(Map.of(), name);
      }
      if (value instanceof Map<?, ?> map) {
        return new Block(map, name);
      }
      throw new InvalidSettingException(name, "must be a single block");
    }

    double number(String field, double defaultValue, double min, double max)
        throws InvalidSettingException {
      return OperatorSettingsParser.number(
          fields.get(field), name + "." + field, defaultValue, min, max);
    }
  }

  private static double number(
      Object value, String field, double defaultValue, double min, double max)
      throws InvalidSettingException {
    if (value == null) {
      return defaultValue;
    }
    if (!(value instanceof Number number)) {
      throw new InvalidSettingException(field, "must be a number");
    }
    double read = number.doubleValue();
    if (!(read >= min && read <= max)) {
      throw new InvalidSettingException(field, "must be from " + min + " to " + max);
    }
    return read;
  }
}
