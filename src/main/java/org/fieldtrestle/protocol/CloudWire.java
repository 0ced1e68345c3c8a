package org.fieldtrestle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** The cloud's interface. */
public final class CloudWire {
  public static final String TYPES = "/flavors";
  public static final String MACHINES = "/machines";
  public static final String RETURN = "/machines/return";
  public static final int MAX_RENT = 50;
  public static final int MAX_RETURN = 100;
  public static final int PAGE = 500;

  private CloudWire() {}

  public record MachineType(
      String name,
      double cpus,
      double gpus,
      double memoryGb,
      double cacheGb,
      double fetchGbPerS,
      double price,
      double spotPrice,
      double bootS,
      List<String> zones) {
    public boolean fits(JobSpec spec) {
      return cpus >= spec.cpus() && gpus >= spec.gpus() && memoryGb >= spec.memoryGb();
    }

    public boolean allowedFor(JobSpec spec) {
      return (spec.types().isEmpty() || spec.types().contains(name))
          && (spec.zone() == null || zones.contains(spec.zone()))
          && fits(spec);
    }
  }

  /** A line of the machine list. */
  public record Listed(
      String machine,
      String address,
      String type,
      String zone,
      boolean spot,
      boolean starting,
      boolean failed,
      double ageS) {}

  public record Page(List<Listed> machines, boolean more) {}

  public static List<MachineType> readTypes(byte[] body) throws Json.Malformed {
    List<MachineType> types = new ArrayList<>();
    for (JsonNode node : Json.parse(body).path("rigs")) {
      List<String> zones = new ArrayList<>();
      node.path("yards").forEach(zone -> zones.add(zone.asText()));
      types.add(
          new MachineType(
              Json.text(node, "name"),
              Json.amount(node, "cpus"),
              node.path("gpus").asDouble(0),
              Json.amount(node, "memoryGb"),
              node.path("cacheGb").asDouble(0),
              node.path("pullGbPerS").asDouble(0),
              Json.amount(node, "hourly"),
              node.path("lowPrice").asDouble(0),
              Json.amount(node, "readyS"),
              List.copyOf(zones)));
    }
    if (types.isEmpty()) {
      throw new Json.Malformed("rigs");
    }
    return List.copyOf(types);
  }

  public static byte[] rent(String request, String type, String zone, boolean spot, int count) {
    return Json.bytes(
        Json.object()
            .put("hire", request)
            .put("rig", type)
            .put("yard", zone)
            .put("loaners", spot)
            .put("count", count));
  }

  public static List<String> readRented(byte[] body) throws Json.Malformed {
    JsonNode list = Json.parse(body).path("benches");
    if (!list.isArray()) {
      throw new Json.Malformed("benches");
    }
    List<String> names = new ArrayList<>();
    list.forEach(name -> names.add(name.asText()));
    return names;
  }

  public static byte[] giveBack(List<String> machines) {
    ObjectNode node = Json.object();
    ArrayNode names = node.putArray("benches");
    machines.forEach(names::add);
    return Json.bytes(node);
  }

  public static String listPath(String after) {
    return MACHINES + "?most=" + PAGE + (after.isEmpty() ? "" : "&from=" + after);
  }

  public static Page readPage(byte[] body) throws Json.Malformed {
    JsonNode node = Json.parse(body);
    List<Listed> all = new ArrayList<>();
    for (JsonNode item : node.path("benches")) {
      String state = item.path("stage").asText("");
      all.add(
          new Listed(
              Json.text(item, "uid"),
              item.path("address").asText(""),
              Json.text(item, "rig"),
              Json.text(item, "yard"),
              item.path("loaners").asBoolean(false),
              state.equals("starting"),
              state.equals("failed"),
              item.path("heldS").asDouble(0)));
    }
    return new Page(all, node.path("more").asBoolean(false));
  }
}
