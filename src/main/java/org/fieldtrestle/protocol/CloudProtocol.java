package org.fieldtrestle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** The cloud's interface. */
public final class CloudProtocol {
  public static final String TYPES = "/flavors";
  public static final String MACHINES = "/machines";
  public static final String RETURN = "/machines/return";
  public static final int MAX_RENT = 50;
  public static final int MAX_RETURN = 100;
  public static final int PAGE = 500;
  private static final double MAX_TASKS_PER_MACHINE = 10_000;

  private CloudProtocol() {}

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

    /** How many tasks of a job fit on an empty machine; at least 1. */
    public int tasksPerMachine(JobSpec spec) {
      double most = MAX_TASKS_PER_MACHINE;
      if (spec.cpus() > 0) {
        most = Math.min(most, cpus / spec.cpus());
      }
      if (spec.gpus() > 0) {
        most = Math.min(most, gpus / spec.gpus());
      }
      if (spec.memoryGb() > 0) {
        most = Math.min(most, memoryGb / spec.memoryGb());
      }
      return Math.max(1, (int) Math.floor(most + 1e-6));
    }

    /** How long the image of a job takes to fetch by itself, in seconds. */
    public double imageFetchS(JobSpec spec) {
      return fetchGbPerS > 0 ? spec.imageGb() / fetchGbPerS : 0;
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

  public static List<MachineType> readTypes(byte[] body) throws Json.MalformedJsonException {
    List<MachineType> types = new ArrayList<>();
    for (JsonNode context : Json.parse(body).path("rigs")) {
      List<String> zones = new ArrayList<>();
      context.path("yards").forEach(zone -> zones.add(zone.asText()));
      types.add(
          new MachineType(
              Json.text(context, "name"),
              Json.amount(context, "cpus"),
              context.path("gpus").asDouble(0),
              Json.amount(context, "memoryGb"),
              context.path("cacheGb").asDouble(0),
              context.path("pullGbPerS").asDouble(0),
              Json.amount(context, "hourly"),
              context.path("lowPrice").asDouble(0),
              Json.amount(context, "readyS"),
              List.copyOf(zones)));
    }
    if (types.isEmpty()) {
      throw new Json.MalformedJsonException("rigs");
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

  public static List<String> readRented(byte[] body) throws Json.MalformedJsonException {
    JsonNode list = Json.parse(body).path("benches");
    if (!list.isArray()) {
      throw new Json.MalformedJsonException("benches");
    }
    List<String> names = new ArrayList<>();
    list.forEach(name -> names.add(name.asText()));
    return names;
  }

  public static byte[] terminate(List<String> machines) {
    ObjectNode context = Json.object();
    ArrayNode names = context.putArray("benches");
    machines.forEach(names::add);
    return Json.bytes(context);
  }

  public static String listPath(String after) {
    return MACHINES + "?most=" + PAGE + (after.isEmpty() ? "" : "&from=" + after);
  }

  public static Page readPage(byte[] body) throws Json.MalformedJsonException {
    JsonNode context = Json.parse(body);
    List<Listed> all = new ArrayList<>();
    for (JsonNode item : context.path("benches")) {
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
    return new Page(all, context.path("more").asBoolean(false));
  }
}
