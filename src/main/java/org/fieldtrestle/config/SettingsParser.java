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

/** Reads the platform's settings file. Fields it does not know are left alone. */
public final class SettingsParser {
  private SettingsParser() {}

  public static Settings read(Path file) throws Settings.InvalidSettingException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw new Settings.InvalidSettingException("--config", "cannot read " + file);
    }
    return parse(text);
  }

  public static Settings parse(String text) throws Settings.InvalidSettingException {
    Fields top = new Fields(tree(text), "");
    String label = top.text("label");
    List<Settings.Peer> peers = new ArrayList<>();
    Set<String> labels = new HashSet<>(Set.of(label));
    for (Fields peer : top.list("others")) {
      Settings.Peer read =
          new Settings.Peer(peer.text("label"), peer.text("site"), peer.address("peer_addr"));
      if (!labels.add(read.label())) {
        throw new Settings.InvalidSettingException(
            peer.name("label"), "used twice: " + read.label());
      }
      peers.add(read);
    }
    Fields endpoints = top.table("endpoints");
    Fields cluster = top.table("cluster");
    List<Settings.Team> teams = new ArrayList<>();
    for (Fields team : cluster.list("teams")) {
      teams.add(
          new Settings.Team(
              team.text("name"),
              team.atLeastZero("cpus"),
              team.atLeastZero("cpus_max"),
              team.atLeastZero("gpus"),
              team.atLeastZero("gpus_max")));
    }
    List<Settings.Objective> objectives = new ArrayList<>();
    for (Fields aim : cluster.list("objectives")) {
      objectives.add(
          new Settings.Objective(
              aim.text("kind"),
              aim.optionalText("class"),
              aim.optional("share", 0),
              aim.optional("times", 1),
              aim.optional("within_s", 0)));
    }
    Fields workers = cluster.table("workers");
    Fields state = cluster.table("state");
    Fields cloud = cluster.table("cloud");
    Fields limits = cluster.table("machine_limits");
    Settings settings =
        new Settings(
            label,
            top.text("site"),
            top.address("front"),
            top.address("internal_addr"),
            List.copyOf(peers),
            endpoints.address("cloud"),
            endpoints.address("state"),
            cluster.texts("zones"),
            cluster.atLeastZero("skew_ms"),
            List.copyOf(teams),
            List.copyOf(objectives),
            new Settings.Workers(
                workers.positive("report_s"),
                workers.positive("lease_s"),
                workers.positive("cancel_s")),
            new Settings.State(
                state.positive("rps"),
                state.positive("write_rps"),
                state.positive("value_kb"),
                (int) state.positive("txn_ops")),
            new Settings.Cloud(cloud.positive("rps"), cloud.positive("list_lag_s")),
            new Settings.Limits(
                limits.positive("cpu"),
                limits.positive("mem_mb"),
                (int) limits.positive("fd_limit")));
    if (settings.workers().leaseS() < 2 * settings.workers().heartbeatIntervalS()) {
      throw new Settings.InvalidSettingException(
          "cluster.workers.lease_s", "must be at least twice report_s, or every lease runs out");
    }
    if (settings.stateLeaseMs() < 2000) {
      throw new Settings.InvalidSettingException(
          "cluster.workers.cancel_s",
          "leaves no time for a controller's own lease beside lease_s; a cancelled task could"
              + " outlive it");
    }
    if (settings.state().txnOps() < 8) {
      throw new Settings.InvalidSettingException("cluster.state.txn_ops", "must be at least 8");
    }
    return settings;
  }

  private static JsonNode tree(String text) throws Settings.InvalidSettingException {
    try (JsonParser parser = new TomlFactory().createParser(text)) {
      return JsonTree.readSingle(parser);
    } catch (JsonProcessingException e) {
      throw new Settings.InvalidSettingException(
          "file", "not TOML: " + e.getOriginalMessage().replaceAll("\\s+", " "));
    } catch (IOException e) {
      throw new Settings.InvalidSettingException("file", "cannot be read");
    }
  }

  /** The fields of one table, with the names that errors give them. */
  private record Fields(JsonNode context, String at) {
    String name(String field) {
      return at.isEmpty() ? field : at + "." + field;
    }

    String text(String field) throws Settings.InvalidSettingException {
      JsonNode value = context.path(field);
      if (!value.isTextual() || value.textValue().isBlank()) {
        throw new Settings.InvalidSettingException(
            name(field), value.isMissingNode() ? "missing" : "not a text");
      }
      return value.textValue();
    }

    String optionalText(String field) {
      return context.path(field).asText("");
    }

    double optional(String field, double otherwise) {
      return context.path(field).asDouble(otherwise);
    }

    String address(String field) throws Settings.InvalidSettingException {
      String value = text(field);
      int colon = value.lastIndexOf(':');
      if (colon < 1 || !value.substring(colon + 1).matches("[0-9]{1,5}")) {
        throw new Settings.InvalidSettingException(
            name(field), "not an address with a port: " + value);
      }
      int port = Integer.parseInt(value.substring(colon + 1));
      if (port < 1 || port > 65_535) {
        throw new Settings.InvalidSettingException(name(field), "no such port: " + port);
      }
      return value;
    }

    double atLeastZero(String field) throws Settings.InvalidSettingException {
      JsonNode value = context.path(field);
      if (!value.isNumber() || !Double.isFinite(value.doubleValue())) {
        throw new Settings.InvalidSettingException(
            name(field), value.isMissingNode() ? "missing" : "not a number");
      }
      if (value.doubleValue() < 0) {
        throw new Settings.InvalidSettingException(name(field), "below 0");
      }
      return value.doubleValue();
    }

    double positive(String field) throws Settings.InvalidSettingException {
      double value = atLeastZero(field);
      if (value <= 0) {
        throw new Settings.InvalidSettingException(name(field), "must be above 0");
      }
      return value;
    }

    Fields table(String field) throws Settings.InvalidSettingException {
      JsonNode value = context.path(field);
      if (!value.isObject()) {
        throw new Settings.InvalidSettingException(
            name(field), value.isMissingNode() ? "missing" : "not a table");
      }
      return new Fields(value, name(field));
    }

    List<Fields> list(String field) throws Settings.InvalidSettingException {
      JsonNode value = context.path(field);
      List<Fields> all = new ArrayList<>();
      if (!value.isMissingNode() && !value.isArray()) {
        throw new Settings.InvalidSettingException(name(field), "not a list");
      }
      for (JsonNode item : value) {
        all.add(new Fields(item, name(field) + "[" + all.size() + "]"));
      }
      return all;
    }

    List<String> texts(String field) throws Settings.InvalidSettingException {
      JsonNode value = context.path(field);
      List<String> all = new ArrayList<>();
      for (JsonNode item : value) {
        all.add(item.asText());
      }
      if (all.isEmpty()) {
        throw new Settings.InvalidSettingException(name(field), "missing or empty");
      }
      return List.copyOf(all);
    }
  }
}
