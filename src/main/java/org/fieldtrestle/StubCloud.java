package org.fieldtrestle;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.transport.Http;

/** A stub of a cloud that offers a single machine, for {@link ClassListRecorder}. */
final class StubCloud {
  static final String MACHINE = "host-000001";
  static final String MACHINE_TYPE = "type";
  static final String ZONE = "here";
  private static final String OTHER_ZONE = "there";

  private boolean rented;

  boolean isRented() {
    return rented;
  }

  ObjectNode machineTypes() {
    ObjectNode body = Json.object();
    ObjectNode type = body.putArray("rigs").addObject();
    type.put("name", MACHINE_TYPE);
    type.put("cpus", 8).put("gpus", 0).put("memoryGb", 8).put("cacheGb", 8);
    type.put("pullGbPerS", 1.0).put("hourly", 1.0).put("lowPrice", 0.5).put("readyS", 1);
    type.putArray("yards").add(ZONE).add(OTHER_ZONE);
    return body;
  }

  Http.Response rent() {
    if (rented) {
      return new Http.Response(503, Json.bytes(Json.object().put("error", "no capacity")));
    }
    rented = true;
    ObjectNode body = Json.object();
    body.putArray("benches").add(MACHINE);
    return new Http.Response(200, Json.bytes(body));
  }

  /**
   * Returns the list of all rented machines.
   *
   * @param address the address on which the machine's worker listens
   */
  ObjectNode machines(String address) {
    ObjectNode body = Json.object().put("more", false);
    ArrayNode machines = body.putArray("benches");
    if (rented) {
      machines
          .addObject()
          .put("uid", MACHINE)
          .put("address", address)
          .put("rig", MACHINE_TYPE)
          .put("yard", ZONE)
          .put("loaners", true)
          .put("stage", "running")
          .put("heldS", 1.0);
    }
    return body;
  }
}
