package org.fieldtrestle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Paths and messages of the cloud's interface: machine types, rentals, returns and the list of
 * rented machines.
 */
public final class CloudProtocol {
  /** Path for reading the machine types. */
  public static final String MACHINE_TYPES_PATH = "/flavors";

  /** Path for renting machines and listing the rented ones. */
  public static final String MACHINES_PATH = "/machines";

  /** Path for returning machines. */
  public static final String RETURN_PATH = "/machines/return";

  /** Maximum number of machines that one request can rent. */
  public static final int MAX_MACHINES_PER_RENTAL = 50;

  /** Maximum number of machines that one request can return. */
  public static final int MAX_MACHINES_PER_RETURN = 100;

  /** Maximum number of machines on one page of the machine list. */
  public static final int PAGE_SIZE = 500;

  private static final String NO_CAPACITY = "no capacity";

  private CloudProtocol() {}

  /**
   * Reads the machine types.
   *
   * @throws MalformedJsonException if the body violates the protocol or lists no machine type
   */
  public static List<MachineType> readMachineTypes(byte[] body) throws MalformedJsonException {
    List<MachineType> types = new ArrayList<>();
    for (JsonNode type : Json.parse(body).path("rigs")) {
      types.add(readMachineType(type));
    }
    if (types.isEmpty()) {
      throw new MalformedJsonException("rigs");
    }
    return List.copyOf(types);
  }

  private static MachineType readMachineType(JsonNode json) throws MalformedJsonException {
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
   * Writes a request to rent machines.
   *
   * @param requestId id of the request; repeating a request under the same id rents no further
   *     machines
   */
  public static byte[] writeRentalRequest(
      String requestId, String type, String zone, boolean spot, int count) {
    return Json.bytes(
        Json.object()
            .put("hire", requestId)
            .put("rig", type)
            .put("yard", zone)
            .put("loaners", spot)
            .put("count", count));
  }

  /**
   * Reads the names of the rented machines from the answer to a rental.
   *
   * @throws MalformedJsonException if the body violates the protocol
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

  /** Whether the cloud refused a rental because it has no free machine of the requested kind. */
  public static boolean isNoCapacity(byte[] body) {
    return Json.parseOrEmpty(body).path("error").asText("").equals(NO_CAPACITY);
  }

  /** Writes a request to return machines. */
  public static byte[] writeReturnRequest(List<String> machines) {
    ObjectNode json = Json.object();
    ArrayNode names = json.putArray("benches");
    machines.forEach(names::add);
    return Json.bytes(json);
  }

  /**
   * Returns the path for reading one page of the machine list.
   *
   * @param after the machine name after which the page begins; empty for the first page
   */
  public static String listPath(String after) {
    return MACHINES_PATH + "?most=" + PAGE_SIZE + (after.isEmpty() ? "" : "&from=" + after);
  }

  /**
   * Reads a page of the machine list.
   *
   * @throws MalformedJsonException if the body violates the protocol
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
