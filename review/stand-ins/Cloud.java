package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/**
 * The cloud with one machine type, as "Controller nodes -> cloud" in PROTOCOL describes it. The
 * machines are given; it has no capacity for more.
 */
final class Cloud {
  /** "A machine that dies stays listed as `running` for about 30 s more." */
  private static final long LISTED_AFTER_END_MS = 30_000;

  private final Recorder recorder;
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final HttpServer server;
  private final Deployment deployment;

  Cloud(Recorder recorder, Deployment deployment) throws IOException {
    this.recorder = recorder;
    this.deployment = deployment;
    this.server = Web.serve(this::handle);
  }

  String address() {
    return Web.address(server);
  }

  synchronized void add(Machine machine) {
    machines.put(machine.name(), machine);
  }

  private synchronized Web.Answer handle(
      String method, String path, Map<String, String> query, JsonNode body) {
    if (path.equals("/flavors")) {
      ObjectNode answer = Web.object();
      ObjectNode type = answer.putArray("rigs").addObject();
      type.put("name", deployment.machineType()).put("cpus", deployment.machineCpus());
      type.put("gpus", 0.0).put("memoryGb", deployment.machineMemoryGb());
      type.put("cacheGb", 35.0).put("pullGbPerS", deployment.fetchGbPerS());
      type.put("hourly", 1.17).put("lowPrice", 0.31).put("readyS", 50.0);
      ArrayNode zones = type.putArray("yards");
      deployment.zones().forEach(zones::add);
      return new Web.Answer(200, answer);
    }
    if (path.equals("/machines/return")) {
      recorder.log("CLOUD  return of " + body.path("benches"));
      for (JsonNode name : body.path("benches")) {
        Machine machine = machines.remove(name.asText());
        if (machine != null) {
          machine.stop("returned");
        }
      }
      return Web.answer(200);
    }
    if (path.equals("/machines") && method.equals("POST")) {
      return new Web.Answer(503, Web.object().put("error", "no capacity"));
    }
    ObjectNode answer = Web.object();
    ArrayNode list = answer.putArray("benches");
    for (Machine machine : machines.tailMap(query.getOrDefault("from", ""), false).values()) {
      list.addObject()
          .put("uid", machine.name())
          .put("address", machine.address())
          .put("rig", deployment.machineType())
          .put("yard", machine.zone())
          .put("loaners", machine.spot())
          .put("stage", machine.goneForMs() > LISTED_AFTER_END_MS ? "failed" : "running")
          .put("heldS", 600.0);
    }
    return new Web.Answer(200, answer.put("more", false));
  }
}
