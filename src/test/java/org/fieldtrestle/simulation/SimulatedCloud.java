package org.fieldtrestle.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.transport.Http;

/** A stand-in for the cloud, by its protocol; every list it gives is some seconds old. */
final class SimulatedCloud implements Http.Handler {
  private record Old(long at, JsonNode list) {}

  static final int CPUS = 16;
  private final SimulatedTime time;
  private final SimulatedCluster cluster;
  final TreeMap<String, SimulatedWorker> machines = new TreeMap<>();
  private final Map<String, JsonNode> answered = new HashMap<>();
  private final ArrayDeque<Old> lists = new ArrayDeque<>();
  int capacity;
  private int count;
  double neverBoots;

  SimulatedCloud(SimulatedTime time, SimulatedCluster cluster, int capacity) {
    this.time = time;
    this.cluster = cluster;
    this.capacity = capacity;
    snapshot();
  }

  /** How many machines were ever rented. */
  int rentedEver() {
    return count;
  }

  private void snapshot() {
    ArrayNode list = Json.array();
    for (SimulatedWorker one : machines.values()) {
      list.addObject()
          .put("uid", one.id)
          .put("address", one.address)
          .put("rig", one.type)
          .put("yard", one.zone)
          .put("loaners", one.spot)
          .put("stage", one.failed ? "failed" : one.up ? "running" : "starting")
          .put("heldS", (time.now() - one.rentedAt) / 1000.0);
    }
    lists.add(new Old(time.now(), list));
    while (lists.size() > 1 && lists.peekFirst().at() < time.now() - 6000) {
      lists.removeFirst();
    }
    time.after(500, this::snapshot);
  }

  @Override
  public void handle(Http.Request request, Consumer<Http.Response> reply) {
    JsonNode body = Json.parseOrEmpty(request.body());
    switch (request.path()) {
      case "/flavors" -> reply.accept(new Http.Response(200, Json.bytes(types())));
      case "/machines/return" -> {
        body.path("benches").forEach(name -> remove(name.asText()));
        reply.accept(new Http.Response(200, Http.Response.EMPTY));
      }
      default -> {
        if (request.method().equals("GET")) {
          ObjectNode page = Json.object().put("more", false);
          page.set("benches", lists.peekFirst().list());
          reply.accept(new Http.Response(200, Json.bytes(page)));
        } else {
          rent(body, reply);
        }
      }
    }
  }

  private JsonNode types() {
    ObjectNode node = Json.object();
    ArrayNode list = node.putArray("rigs");
    for (String name : new String[] {"big", "odd"}) {
      ObjectNode type =
          list.addObject()
              .put("name", name)
              .put("cpus", CPUS)
              .put("gpus", 0)
              .put("memoryGb", 64)
              .put("cacheGb", 20)
              .put("pullGbPerS", 1.0)
              .put("hourly", name.equals("big") ? 1.0 : 1.2)
              .put("lowPrice", 0.3)
              .put("readyS", 10);
      type.putArray("yards").add("a").add("b");
    }
    return node;
  }

  private void rent(JsonNode body, Consumer<Http.Response> reply) {
    String hire = body.path("hire").asText();
    JsonNode before = answered.get(hire);
    if (before == null) {
      int want = Math.min(body.path("count").asInt(), capacity - machines.size());
      if (want <= 0) {
        reply.accept(new Http.Response(503, Json.bytes(Json.object().put("error", "no capacity"))));
        return;
      }
      ObjectNode node = Json.object();
      ArrayNode names = node.putArray("benches");
      for (int i = 0; i < want; i++) {
        SimulatedWorker worker =
            new SimulatedWorker(
                time,
                cluster,
                String.format("host-%06d", ++count),
                cluster.workerAddress.apply(count),
                body.path("rig").asText(),
                body.path("yard").asText(),
                body.path("loaners").asBoolean());
        machines.put(worker.id, worker);
        names.add(worker.id);
        if (!time.chance(neverBoots)) {
          time.after(time.between(500, 15_000), worker::boot);
        }
      }
      answered.put(hire, node);
      before = node;
    }
    reply.accept(new Http.Response(200, Json.bytes(before)));
  }

  void remove(String id) {
    SimulatedWorker worker = machines.remove(id);
    if (worker != null) {
      worker.vanish();
    }
  }
}
