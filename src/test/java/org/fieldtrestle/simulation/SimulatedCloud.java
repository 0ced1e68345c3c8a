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

/**
 * A simulated cloud with the protocol of a real one. Every list of machines that it returns is some
 * seconds old.
 */
final class SimulatedCloud implements Http.Handler {
  /** The number of CPUs of each machine. */
  static final int CPUS = 16;

  private static final long LIST_INTERVAL_MS = 500;
  private static final long MAX_LIST_AGE_MS = 6000;

  /** The list of machines at a point in time. */
  private record MachineList(long atMs, JsonNode machines) {}

  /** The rented machines, by their identifiers. */
  final TreeMap<String, SimulatedWorker> machines = new TreeMap<>();

  private final SimulatedTime time;
  private final SimulatedCluster cluster;
  private final Map<String, JsonNode> answersByRequest = new HashMap<>();
  private final ArrayDeque<MachineList> lists = new ArrayDeque<>();
  private int capacity;
  private int totalRentedMachines;
  private double failedBootShare;

  SimulatedCloud(SimulatedTime time, SimulatedCluster cluster, int capacity) {
    this.time = time;
    this.cluster = cluster;
    this.capacity = capacity;
    listPeriodically();
  }

  /** Sets how many machines can be rented at the same time. */
  void setCapacity(int machineCount) {
    capacity = machineCount;
  }

  /** Sets the share of machines that never come up. */
  void failBoots(double share) {
    failedBootShare = share;
  }

  /** Returns how many machines have been rented so far, including returned ones. */
  int totalRentedMachines() {
    return totalRentedMachines;
  }

  /** Removes a machine, because the cloud takes it away or because it was returned. */
  void remove(String id) {
    SimulatedWorker worker = machines.remove(id);
    if (worker != null) {
      worker.remove();
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
          .put("heldS", (time.nowMs() - machine.rentedAtMs) / 1000.0);
    }
    lists.add(new MachineList(time.nowMs(), list));
    while (lists.size() > 1 && lists.peekFirst().atMs() < time.nowMs() - MAX_LIST_AGE_MS) {
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

  /** Rents machines, or repeats the answer to an earlier request with the same identifier. */
  private Http.Response rent(JsonNode body) {
    String requestId = body.path("hire").asText();
    JsonNode answer = answersByRequest.get(requestId);
    if (answer == null) {
      int count = Math.min(body.path("count").asInt(), capacity - machines.size());
      if (count <= 0) {
        return new Http.Response(503, Json.bytes(Json.object().put("error", "no capacity")));
      }
      ObjectNode rentedMachines = Json.object();
      ArrayNode names = rentedMachines.putArray("benches");
      for (int i = 0; i < count; i++) {
        names.add(rentOne(body));
      }
      answersByRequest.put(requestId, rentedMachines);
      answer = rentedMachines;
    }
    return new Http.Response(200, Json.bytes(answer));
  }

  private String rentOne(JsonNode body) {
    totalRentedMachines++;
    SimulatedWorker worker =
        new SimulatedWorker(
            cluster,
            String.format("host-%06d", totalRentedMachines),
            cluster.workerAddress(totalRentedMachines),
            body.path("rig").asText(),
            body.path("yard").asText(),
            body.path("loaners").asBoolean());
    machines.put(worker.id, worker);
    if (!time.chance(failedBootShare)) {
      time.after(time.between(500, 15_000), worker::boot);
    }
    return worker.id;
  }
}
