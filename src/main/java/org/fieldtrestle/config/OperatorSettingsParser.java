package org.fieldtrestle.config;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;

/** Reads the operators' own settings: the open figures of the design, each with a default. */
public final class OperatorSettingsParser {
  private OperatorSettingsParser() {}

  public static OperatorSettings read(Path file) throws Settings.InvalidSettingException {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw new Settings.InvalidSettingException("--operator", "cannot read " + file);
    }
  }

  public static OperatorSettings parse(String text) throws Settings.InvalidSettingException {
    Map<String, Object> root;
    try {
      root = new HCLParser().parse(text);
    } catch (HCLParserException | IOException | RuntimeException e) {
      throw new Settings.InvalidSettingException(
          "operator file", "not HCL: " + String.valueOf(e.getMessage()).replaceAll("\\s+", " "));
    }
    // The parser forgives an unfinished block by losing its name, and a typing error would
    // silently leave a default in force: whatever is not ours is refused.
    known("", root, Set.of("falcon", "eviction", "reserve"));
    OperatorSettings d = OperatorSettings.DEFAULT;
    Fields falcon = Fields.of(root, "falcon");
    Fields eviction = Fields.of(root, "eviction");
    known(
        "falcon.",
        falcon.block(),
        Set.of("remaining_weight", "waiting_weight", "floor_s", "delta"));
    known("eviction.", eviction.block(), Set.of("margin", "wait_s", "victim_share"));
    OperatorSettings read =
        new OperatorSettings(
            falcon.number("remaining_weight", d.remainingWeight(), 0, 1),
            falcon.number("waiting_weight", d.waitingWeight(), 0, 1),
            falcon.number("floor_s", d.floorS(), 0.001, 3600),
            falcon.number("delta", d.delta(), 0.001, 1),
            eviction.number("margin", d.margin(), 0, 1e6),
            eviction.number("wait_s", d.evictWaitS(), 0, 86_400),
            eviction.number("victim_share", d.victimShare(), 0, 1),
            number(root.get("reserve"), "reserve", d.reserve(), 0, 100));
    // The paper's weights sum to 1: other sums would only scale the margin.
    if (Math.abs(read.remainingWeight() + read.waitingWeight() - 1) > 1e-6) {
      throw new Settings.InvalidSettingException(
          "falcon.waiting_weight", "remaining_weight and waiting_weight must sum to 1");
    }
    return read;
  }

  private static void known(String at, Map<?, ?> block, Set<String> names)
      throws Settings.InvalidSettingException {
    for (Object name : block.keySet()) {
      if (!names.contains(String.valueOf(name))) {
        throw new Settings.InvalidSettingException(at + name, "not one of the settings");
      }
    }
  }

  private record Fields(Map<?, ?> block, String name) {
    static Fields of(Map<String, Object> root, String name)
        throws Settings.InvalidSettingException {
      Object value = root.get(name);
      if (value == null) {
        return new Fields(Map.of(), name);
      }
      if (value instanceof Map<?, ?> map) {
        return new Fields(map, name);
      }
      throw new Settings.InvalidSettingException(name, "must be one block");
    }

    double number(String field, double otherwise, double least, double most)
        throws Settings.InvalidSettingException {
      return OperatorSettingsParser.number(
          block.get(field), name + "." + field, otherwise, least, most);
    }
  }

  private static double number(
      Object value, String field, double otherwise, double least, double most)
      throws Settings.InvalidSettingException {
    if (value == null) {
      return otherwise;
    }
    if (!(value instanceof Number number)) {
      throw new Settings.InvalidSettingException(field, "not a number");
    }
    double read = number.doubleValue();
    if (!(read >= least && read <= most)) {
      throw new Settings.InvalidSettingException(field, "must be from " + least + " to " + most);
    }
    return read;
  }
}
