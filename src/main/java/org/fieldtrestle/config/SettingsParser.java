package org.fieldtrestle.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fieldtrestle.protocol.JsonTree;

/** Reads the platform's settings file (TOML). Unknown fields are ignored. */
public final class SettingsParser {
  private SettingsParser() {}

  /**
   * Reads a file.
   *
   * @throws InvalidSettingException if the file cannot be read, or a field is missing or invalid
   */
  public static Settings read(Path file) throws InvalidSettingException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw new InvalidSettingException("--config", "cannot read " + file);
    }
    return parse(text);
  }

  /**
   * Parses the text of a file.
   *
   * @throws InvalidSettingException if a field is missing or invalid
   */
  public static Settings parse(String text) throws InvalidSettingException {
    SettingsTable file = new SettingsTable(parseToml(text), "");
    String label = file.text("label");
    List<Settings.Peer> peers = peers(file, label);
    SettingsTable endpoints = file.table("endpoints");
    SettingsTable cluster = file.table("cluster");
    List<Settings.Team> teams = teams(cluster);
    List<Settings.Objective> objectives = objectives(cluster);
    SettingsTable workers = cluster.table("workers");
    SettingsTable state = cluster.table("state");
    SettingsTable cloud = cluster.table("cloud");
    SettingsTable limits = cluster.table("machine_limits");
    Settings settings =
        new Settings(
            label,
            file.text("site"),
            file.address("front"),
            file.address("internal_addr"),
            peers,
            endpoints.address("cloud"),
            endpoints.address("state"),
            cluster.texts("zones"),
            cluster.nonNegative("skew_ms"),
            teams,
            objectives,
            workerTiming(workers),
            storeLimits(state),
            new Settings.CloudLimits(cloud.positive("rps"), cloud.positive("list_lag_s")),
            processLimits(limits));
    SettingsChecks.requireUsable(settings);
    return settings;
  }

  private static JsonNode parseToml(String text) throws InvalidSettingException {
    try (JsonParser parser = new TomlFactory().createParser(text)) {
      return JsonTree.readSingle(parser);
    } catch (JsonProcessingException e) {
      throw new InvalidSettingException(
          "file", "not TOML: " + e.getOriginalMessage().replaceAll("\\s+", " "));
    } catch (IOException e) {
      throw new InvalidSettingException("file", "cannot be read");
    }
  }

  private static List<Settings.Peer> peers(SettingsTable file, String ownLabel)
      throws InvalidSettingException {
    List<Settings.Peer> peers = new ArrayList<>();
    Set<String> labels = new HashSet<>(Set.of(ownLabel));
    for (SettingsTable table : file.tables("others")) {
      Settings.Peer peer =
          new Settings.Peer(table.text("label"), table.text("site"), table.address("peer_addr"));
      if (!labels.add(peer.label())) {
        throw new InvalidSettingException(
            table.fullName("label"), "duplicate label: " + peer.label());
      }
      peers.add(peer);
    }
    return List.copyOf(peers);
  }

  private static List<Settings.Team> teams(SettingsTable cluster) throws InvalidSettingException {
    List<Settings.Team> teams = new ArrayList<>();
    for (SettingsTable team : cluster.tables("teams")) {
      teams.add(
          new Settings.Team(
              team.text("name"),
              team.nonNegative("cpus"),
              team.nonNegative("cpus_max"),
              team.nonNegative("gpus"),
              team.nonNegative("gpus_max")));
    }
    return List.copyOf(teams);
  }

  private static List<Settings.Objective> objectives(SettingsTable cluster)
      throws InvalidSettingException {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (SettingsTable objective : cluster.tables("objectives")) {
      objectives.add(
          new Settings.Objective(
              objective.text("kind"),
              objective.optionalText("class"),
              objective.optionalNumber("share", 0),
              objective.optionalNumber("times", 1),
              objective.optionalNumber("within_s", 0)));
    }
    return List.copyOf(objectives);
  }

  private static Settings.WorkerTiming workerTiming(SettingsTable table)
      throws InvalidSettingException {
    return new Settings.WorkerTiming(
        table.positive("report_s"), table.positive("lease_s"), table.positive("cancel_s"));
  }

  private static Settings.KeyValueStoreLimits storeLimits(SettingsTable table)
      throws InvalidSettingException {
    return new Settings.KeyValueStoreLimits(
        table.positive("rps"),
        table.positive("write_rps"),
        table.positive("value_kb"),
        (int) table.positive("txn_ops"));
  }

  private static Settings.ProcessLimits processLimits(SettingsTable table)
      throws InvalidSettingException {
    return new Settings.ProcessLimits(
        table.positive("cpu"), table.positive("mem_mb"), (int) table.positive("fd_limit"));
  }
}
