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
  /** The CPUs of each machine. */
  static final int CPUS = 16;

  private static final long LIST_INTERVAL_MS = 500;
  private static final long LIST_AGE_MS = 6000;

  /** What the cloud listed at a time. */
  private record Listed(long atMs, JsonNode machines) {}

  /** The machines that are rented, by their names. */
  final TreeMap<String, SimulatedWorker> machines = new TreeMap<>();

  private final SimulatedTime time;
  private final SimulatedCluster cluster;
  private final Map<String, JsonNode> answersByRequest = new HashMap<>();
  private final ArrayDeque<Listed> lists = new ArrayDeque<>();
  private int capacity;
  private int rentedEver;
  private double failedBoots;

  SimulatedCloud(SimulatedTime time, SimulatedCluster cluster, int capacity) {
    this.time = time;
    this.cluster = cluster;
    this.capacity = capacity;
    listPeriodically();
  }

  /** Sets how many machines there can be at a time. */
  void setCapacity(int machineCount) {
    capacity = machineCount;
  }

  /** This share of machines never comes up. */
  void failBoots(double share) {
    failedBoots = share;
  }

  /** How many machines were ever rented. */
  int rentedEver() {
    return rentedEver;
  }

  /** The cloud takes a machine away, or it is returned. */
  void remove(String id) {
    SimulatedWorker worker = machines.remove(id);
    if (worker != null) {
      worker.vanish();
    }
  }

  private void listPeriodically() {
    ArrayNode list = Json.array();
    for (SimulatedWorker machine : machines.values()) {
      list.addObject()
          .put("uid", machine.id)
          .put("address", machine.address)
          .put("rig", machine.type)
          .put("yard", machine.zone)
          .put("loaners", machine.spot)
          .put("stage", stage(machine))
          .put("heldS", (time.now() - machine.rentedAtMs) / 1000.0);
    }
    lists.add(new Listed(time.now(), list));
    while (lists.size() > 1 && lists.peekFirst().atMs() < time.now() - LIST_AGE_MS) {
      lists.removeFirst();
    }
    time.after(LIST_INTERVAL_MS, this::listPeriodically);
  }

  private static String stage(SimulatedWorker machine) {
    if (machine.hasFailed()) {
      return "failed";
    }
    return machine.isUp() ? "running" : "starting";
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
          page.set("benches", lists.peekFirst().machines());
          reply.accept(new Http.Response(200, Json.bytes(page)));
        } else {
          reply.accept(rent(body));
        }
      }
    }
  }

  private static JsonNode types() {
    ObjectNode types = Json.object();
    ArrayNode list = types.putArray("rigs");
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
    return types;
  }

  /** Rents machines, or repeats the answer to a request that came before. */
  private Http.Response rent(JsonNode body) {
    String request = body.path("hire").asText();
    JsonNode answer = answersByRequest.get(request);
    if (answer == null) {
      int count = Math.min(body.path("count").asInt(), capacity - machines.size());
      if (count <= 0) {
        return new Http.Response(503, Json.bytes(Json.object().put("error", "no capacity")));
      }
      ObjectNode rented = Json.object();
      ArrayNode names = rented.putArray("benches");
      for (int i = 0; i < count; i++) {
        names.add(rentOne(body));
      }
      answersByRequest.put(request, rented);
      answer = rented;
    }
    return new Http.Response(200, Json.bytes(answer));
  }

  private String rentOne(JsonNode body) {
    rentedEver++;
    SimulatedWorker worker =
        new SimulatedWorker(
            cluster,
            String.format("host-%06d", rentedEver),
            cluster.workerAddress(rentedEver),
            body.path("rig").asText(),
            body.path("yard").asText(),
            body.path("loaners").asBoolean());
    machines.put(worker.id, worker);
    if (!time.chance(failedBoots)) {
      time.after(time.between(500, 15_000), worker::boot);
    }
    return worker.id;
  }
}
