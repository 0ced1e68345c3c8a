package org.fieldtrestle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** The cloud's interface: machine types, rentals, returns and the list of rented machines. */
public final class CloudProtocol {
  /** Where machine types are read. */
  public static final String TYPES_PATH = "/flavors";

  /** Where machines are rented and listed. */
  public static final String MACHINES_PATH = "/machines";

  /** Where machines are returned. */
  public static final String RETURN_PATH = "/machines/return";

  /** The most machines that one request rents. */
  public static final int MAX_RENT = 50;

  /** The most machines that one request returns. */
  public static final int MAX_RETURN = 100;

  /** How many machines are listed at once. */
  public static final int PAGE_SIZE = 500;

  private static final String NO_CAPACITY = "no capacity";

  private CloudProtocol() {}

  /**
   * Reads the machine types, of which there is at least one.
   *
   * @throws MalformedJsonException if the body breaks the protocol
   */
  public static List<MachineType> readTypes(byte[] body) throws MalformedJsonException {
    List<MachineType> types = new ArrayList<>();
    for (JsonNode type : Json.parse(body).path("rigs")) {
      types.add(readType(type));
    }
    if (types.isEmpty()) {
      throw new MalformedJsonException("rigs");
    }
    return List.copyOf(types);
  }

  private static MachineType readType(JsonNode json) throws MalformedJsonException {
    List<String> zones = new ArrayList<>();
    json.path("yards").forEach(zone -> zones.add(zone.asText()));
    return new MachineType(
        Json.text(json, "name"),
        Json.amount(json, "cpus"),
        json.path("gpus").asDouble(0),
        Json.amount(json, "memoryGb"),
        json.path("cacheGb").asDouble(0),
        json.path("pullGbPerS").asDouble(0),
        Json.amount(json, "hourly"),
        json.path("lowPrice").asDouble(0),
        Json.amount(json, "readyS"),
        List.copyOf(zones));
  }

  /**
   * Writes a request for machines.
   *
   * @param request an id; a request that is repeated under it rents nothing more
   */
  public static byte[] writeRental(
      String request, String type, String zone, boolean spot, int count) {
    return Json.bytes(
        Json.object()
            .put("hire", request)
            .put("rig", type)
            .put("yard", zone)
            .put("loaners", spot)
            .put("count", count));
  }

  /**
   * Reads the names of the machines that were rented.
   *
   * @throws MalformedJsonException if the body breaks the protocol
   */
  public static List<String> readRentedMachines(byte[] body) throws MalformedJsonException {
    JsonNode benches = Json.parse(body).path("benches");
    if (!benches.isArray()) {
      throw new MalformedJsonException("benches");
    }
    List<String> names = new ArrayList<>();
    benches.forEach(name -> names.add(name.asText()));
    return names;
  }

  /** Whether a request for machines was refused because the cloud has none of the kind now. */
  public static boolean isNoCapacity(byte[] body) {
    return Json.parseOrEmpty(body).path("error").asText("").equals(NO_CAPACITY);
  }

  /** Writes a request to return machines. */
  public static byte[] writeReturn(List<String> machines) {
    ObjectNode json = Json.object();
    ArrayNode names = json.putArray("benches");
    machines.forEach(names::add);
    return Json.bytes(json);
  }

  /** The path of the page after a machine's name, or of the first one where that is empty. */
  public static String listPath(String after) {
    return MACHINES_PATH + "?most=" + PAGE_SIZE + (after.isEmpty() ? "" : "&from=" + after);
  }

  /**
   * Reads a page of the machine list.
   *
   * @throws MalformedJsonException if the body breaks the protocol
   */
  public static MachinePage readPage(byte[] body) throws MalformedJsonException {
    JsonNode json = Json.parse(body);
    List<ListedMachine> machines = new ArrayList<>();
    for (JsonNode item : json.path("benches")) {
      machines.add(readListedMachine(item));
    }
    return new MachinePage(machines, json.path("more").asBoolean(false));
  }

  private static ListedMachine readListedMachine(JsonNode json) throws MalformedJsonException {
    String stage = json.path("stage").asText("");
    return new ListedMachine(
        Json.text(json, "uid"),
        json.path("address").asText(""),
        Json.text(json, "rig"),
        Json.text(json, "yard"),
        json.path("loaners").asBoolean(false),
        stage.equals("starting"),
        stage.equals("failed"),
        json.path("heldS").asDouble(0));
  }
}
