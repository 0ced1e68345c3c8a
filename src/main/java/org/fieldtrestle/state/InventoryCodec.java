package org.fieldtrestle.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.MalformedJsonException;
import org.fieldtrestle.state.StateKey.InventoryKey;

/**
 * Encodes and decodes one part of a machine inventory. Machines that have everything but their
 * names in common are stored as a group, because a shard may have thousands of machines of a few
 * kinds.
 */
final class InventoryCodec {
  private InventoryCodec() {}

  /** The properties that all machines of a group share. */
  private record MachineGroup(
      String type, String zone, boolean spot, long bootingSinceWallMs, long upSinceEpoch) {
    static MachineGroup of(MachineRecord machine) {
      return new MachineGroup(
          machine.type(),
          machine.zone(),
          machine.spot(),
          machine.bootingSinceWallMs(),
          machine.upSinceEpoch());
    }

    /** Appends the group and returns the array to which the names of its machines are added. */
    ArrayNode appendTo(ArrayNode groups) {
      return groups
          .addObject()
          .put("type", type)
          .put("zone", zone)
          .put("spot", spot)
          .put("at", bootingSinceWallMs)
          .put("up", upSinceEpoch)
          .putArray("ids");
    }
  }

  /**
   * Adds machines, which are given by name, to a value that already contains its format's number.
   */
  static JsonNode encode(ObjectNode json, Map<String, MachineRecord> machines) {
    Map<MachineGroup, ArrayNode> idsByGroup = new LinkedHashMap<>();
    ArrayNode groups = json.putArray("groups");
    machines.forEach(
        (id, machine) ->
            idsByGroup
                .computeIfAbsent(MachineGroup.of(machine), group -> group.appendTo(groups))
                .add(id));
    return json;
  }

  static Map<String, MachineRecord> decode(InventoryKey key, JsonNode json)
      throws MalformedJsonException {
    if (!json.path("groups").isArray()) {
      throw new MalformedJsonException("groups");
    }
    Map<String, MachineRecord> machines = new TreeMap<>();
    for (JsonNode group : json.path("groups")) {
      MachineRecord machine = decodeMachine(key, group);
      for (JsonNode id : group.path("ids")) {
        machines.put(id.asText(), machine);
      }
    }
    return machines;
  }

  private static MachineRecord decodeMachine(InventoryKey key, JsonNode group)
      throws MalformedJsonException {
    return new MachineRecord(
        key.shard(),
        key.part(),
        Json.text(group, "type"),
        Json.text(group, "zone"),
        group.path("spot").asBoolean(),
        Json.count(group, "at"),
        Json.count(group, "up"));
  }
}
