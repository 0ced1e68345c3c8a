import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The cloud. Besides the machines that a case brings up it has a number of others to give, at first
 * none, and answers rental requests as PROTOCOL says for that. It lists machines as they were some
 * seconds ago.
 */
final class Cloud {
  private static final long LISTED_AFTER_DEATH_MS = 30_000;
  private static final long BOOT_MS = 2000;

  /** Brings up a machine under a name. */
  interface Factory {
    Machine create(String name, String zone, boolean spot) throws IOException;
  }

  private final Records records;
  private final Zones zones;
  private final JsonNode flavors;
  private final long lagMs;
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final TreeMap<Long, JsonNode> lists = new TreeMap<>();
  private final Map<String, ObjectNode> rentals = new HashMap<>();
  /** The zones of the machines that were rented and not returned, by name. */
  private final Map<String, String> rented = new HashMap<>();

  private final Set<String> booting = new HashSet<>();
  private Factory factory;
  private final Map<String, Integer> capacity = new HashMap<>();
  private int machineCount;

  Cloud(Records records, Zones zones, JsonNode flavors, double listLagS) {
    this.records = records;
    this.zones = zones;
    this.flavors = flavors;
    this.lagMs = Math.round(listLagS * 1000);
    Web.THREADS.execute(this::listForever);
  }

  String addressFor(String controller) throws IOException {
    HttpServer server =
        Web.serve(
            (method, path, query, body) -> {
              while (!zones.controllerReachesRegion(controller)) {
                Thread.sleep(20);
                if (zones.controllerReachesRegion(controller)) {
                  return null;
                }
              }
              return handle(controller, method, path, query, body);
            });
    return Web.address(server);
  }

  synchronized void add(Machine machine) {
    machines.put(machine.name, machine);
  }

  /** Takes a machine back without a notice. */
  void takeBack(Machine machine) {
    synchronized (this) {
      machines.remove(machine.name);
    }
    machine.die("taken back by the cloud");
  }

  /** Lets the cloud rent out this number of machines in a zone, and again what is returned. */
  synchronized void give(String zone, int count) {
    capacity.put(zone, count);
  }

  void setFactory(Factory create) {
    factory = create;
  }

  synchronized String nextName() {
    return String.format("host-%06d", ++machineCount);
  }

  private Web.Answer handle(
      String controller, String method, String path, Map<String, String> query, JsonNode body) {
    if (path.equals("/flavors")) {
      return new Web.Answer(200, flavors);
    }
    if (path.equals("/machines/return")) {
      records.line("cloud", controller + " returns " + body.path("benches"));
      for (JsonNode name : body.path("benches")) {
        Machine machine;
        synchronized (this) {
          machine = machines.remove(name.asText());
          booting.remove(name.asText());
          rented.remove(name.asText());
        }
        if (machine != null) {
          machine.die("returned by " + controller);
        }
      }
      return new Web.Answer(200, Web.JSON.createObjectNode());
    }
    if (path.equals("/machines") && method.equals("GET")) {
      return list(query.getOrDefault("from", ""), Integer.parseInt(query.get("most")));
    }
    return rent(controller, body);
  }

  private synchronized Web.Answer rent(String controller, JsonNode body) {
    ObjectNode before = rentals.get(body.path("hire").asText());
    if (before != null) {
      return new Web.Answer(200, before);
    }
    String zone = body.path("yard").asText();
    long left =
        capacity.getOrDefault(zone, 0) - rented.values().stream().filter(zone::equals).count();
    long count = Math.min(body.path("count").asInt(), left);
    if (count <= 0) {
      records.line("cloud", "has no capacity for " + controller + ": " + body);
      return new Web.Answer(503, Web.JSON.createObjectNode().put("error", "no capacity"));
    }
    ObjectNode answer = Web.JSON.createObjectNode();
    ArrayNode names = answer.putArray("benches");
    for (int i = 0; i < count; i++) {
      String name = nextName();
      names.add(name);
      booting.add(name);
      rented.put(name, zone);
      Web.THREADS.execute(() -> boot(name, zone, body.path("loaners").asBoolean()));
    }
    rentals.put(body.path("hire").asText(), answer);
    records.line("cloud", "rents out to " + controller + ": " + body + " " + answer);
    return new Web.Answer(200, answer);
  }

  private void boot(String name, String zone, boolean spot) {
    Lab.sleep(BOOT_MS);
    synchronized (this) {
      if (!booting.remove(name)) {
        return; // returned before it was up
      }
      try {
        machines.put(name, factory.create(name, zone, spot));
      } catch (IOException e) {
        records.line("cloud", name + " does not come up: " + e);
      }
    }
  }

  private synchronized Web.Answer list(String from, int most) {
    Map.Entry<Long, JsonNode> seen = lists.floorEntry(records.nowMs() - lagMs);
    ObjectNode answer = Web.JSON.createObjectNode();
    ArrayNode page = answer.putArray("benches");
    boolean more = false;
    for (JsonNode machine : seen == null ? Web.JSON.createArrayNode() : seen.getValue()) {
      if (machine.path("uid").asText().compareTo(from) > 0) {
        if (page.size() == most) {
          more = true;
          break;
        }
        page.add(machine);
      }
    }
    return new Web.Answer(200, answer.put("more", more));
  }

  private void listForever() {
    while (true) {
      synchronized (this) {
        ArrayNode list = Web.JSON.createArrayNode();
        for (Machine machine : machines.values()) {
          boolean failed = machine.isGone() && machine.goneForMs() > LISTED_AFTER_DEATH_MS;
          list.addObject()
              .put("uid", machine.name)
              .put("address", machine.address())
              .put("rig", machine.site.type())
              .put("yard", machine.zone)
              .put("loaners", machine.spot)
              .put("stage", failed ? "failed" : "running")
              .put("heldS", 60 + (records.nowMs() - machine.upSinceMs) / 1000.0);
        }
        lists.put(records.nowMs(), list);
        lists.headMap(records.nowMs() - 4 * lagMs).clear();
      }
      try {
        Thread.sleep(250);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
