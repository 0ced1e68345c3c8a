import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * The state service: strongly consistent keys, leases, watches and transactions as PROTOCOL
 * describes them. Each controller has an address of its own, so that a cut and late transactions
 * can be confined to it.
 */
final class Store {
  private static final int KEPT_CHANGES = 10_000;
  private static final int MAX_ITEMS = 1000;
  private static final int MAX_PAGE_BYTES = 512 * 1024;
  private static final int MAX_TRANSACTION_BYTES = 64 * 1024;

  private record Item(JsonNode value, long version, long lease) {}

  private record Change(String key, JsonNode value, long version) {}

  private record Lease(long lifeMs, long endsAtMs) {}

  private final Records records;
  private final Zones zones;
  private final int valueBytes;
  private final int maxChanges;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision;
  private long lastLease;

  /** Which transactions get no answer and are carried out late: by controller and body. */
  private volatile BiPredicate<String, JsonNode> late = (controller, body) -> false;

  private volatile long lateByMs;

  Store(Records records, Zones zones, double valueKb, int txnOps) {
    this.records = records;
    this.zones = zones;
    this.valueBytes = (int) (valueKb * 1024);
    this.maxChanges = txnOps;
    Web.THREADS.execute(this::expireLeases);
  }

  /** Returns the address at which a controller reaches the store. */
  String addressFor(String controller) throws IOException {
    HttpServer server =
        Web.serve(
            (method, path, query, body) -> {
              if (!zones.controllerReachesRegion(controller)) {
                return waitOutCut(controller);
              }
              Web.Answer answer = handle(controller, method, path, query, body);
              return zones.controllerReachesRegion(controller) ? answer : waitOutCut(controller);
            });
    return Web.address(server);
  }

  /** The cut drops the message; the connection is reset when it ends. */
  private Web.Answer waitOutCut(String controller) throws InterruptedException {
    while (!zones.controllerReachesRegion(controller)) {
      Thread.sleep(20);
    }
    return null;
  }

  /** From now on these transactions are left without an answer and carried out later. */
  void delayTransactions(long byMs, BiPredicate<String, JsonNode> which) {
    lateByMs = byMs;
    late = which;
  }

  void delayNothing() {
    late = (controller, body) -> false;
  }

  /** Returns a value, or null; for choosing moments, never for judging. */
  synchronized JsonNode peek(String key) {
    Item item = items.get(key);
    return item == null ? null : item.value();
  }

  private Web.Answer handle(
      String controller, String method, String path, Map<String, String> query, JsonNode body)
      throws InterruptedException {
    if (path.equals("/commit")) {
      if (body.path("apply").size() > 0 && late.test(controller, body)) {
        commitLate(controller, body);
        return null;
      }
      return commit(body);
    }
    if (path.equals("/watch")) {
      return watch(
          query.get("prefix"),
          Long.parseLong(query.get("from")),
          Long.parseLong(query.getOrDefault("blockMs", "0")));
    }
    if (path.equals("/kv")) {
      return list(
          query.get("prefix"),
          query.getOrDefault("from", ""),
          Integer.parseInt(query.getOrDefault("most", "1000")));
    }
    if (path.startsWith("/kv/")) {
      return read(path.substring("/kv/".length()));
    }
    if (path.equals("/leases")) {
      return grant(body.path("lifeMs").asLong());
    }
    if (path.startsWith("/leases/")) {
      return lease(method, Long.parseLong(path.split("/")[2]));
    }
    return new Web.Answer(400, error("no such path"));
  }

  private static ObjectNode error(String text) {
    return Web.JSON.createObjectNode().put("error", text);
  }

  private void commitLate(String controller, JsonNode body) throws InterruptedException {
    long byMs = lateByMs;
    records.line("store", "no answer to " + controller + ", carried out late: " + body);
    Thread.sleep(byMs);
    Web.Answer answer = commit(body);
    records.line(
        "store",
        "carried out " + byMs + " ms late for " + controller + ": " + answer.status() + " " + body);
  }

  private synchronized Web.Answer commit(JsonNode body) {
    if (body.toString().length() > MAX_TRANSACTION_BYTES
        || body.path("apply").size() > maxChanges
        || body.path("when").size() > 4 * maxChanges) {
      return new Web.Answer(400, error("too large"));
    }
    for (JsonNode change : body.path("apply")) {
      if (change.path("v").toString().length() > valueBytes) {
        return new Web.Answer(400, error("value too large"));
      }
      if (change.has("permit") && !leases.containsKey(change.path("permit").asLong())) {
        return new Web.Answer(400, error("no such lease"));
      }
    }
    ArrayNode failed = Web.JSON.createArrayNode();
    for (JsonNode condition : body.path("when")) {
      Item item = items.get(condition.path("key").asText());
      if ((item == null ? 0 : item.version()) != condition.path("entry").asLong()) {
        failed.add(condition.path("key").asText());
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode conflict = Web.JSON.createObjectNode().put("ledger", revision);
      conflict.set("failed", failed);
      return new Web.Answer(409, conflict);
    }
    if (body.path("apply").size() > 0) {
      revision++;
      for (JsonNode change : body.path("apply")) {
        if (change.has("remove")) {
          remove(change.path("remove").asText());
        } else {
          String key = change.path("write").asText();
          items.put(key, new Item(change.path("v"), revision, change.path("permit").asLong(0)));
          log(new Change(key, change.path("v"), revision));
        }
      }
      notifyAll();
    }
    return new Web.Answer(200, Web.JSON.createObjectNode().put("ledger", revision));
  }

  private void remove(String key) {
    if (items.remove(key) != null) {
      log(new Change(key, null, revision));
    }
  }

  private void log(Change change) {
    changes.addLast(change);
    if (changes.size() > KEPT_CHANGES) {
      changes.removeFirst();
    }
  }

  private synchronized Web.Answer watch(String prefix, long from, long blockMs)
      throws InterruptedException {
    long endMs = records.nowMs() + blockMs;
    while (true) {
      if (!changes.isEmpty()
          && changes.size() == KEPT_CHANGES
          && from < changes.peekFirst().version()) {
        return new Web.Answer(410, error("too old"));
      }
      ObjectNode answer = Web.JSON.createObjectNode().put("ledger", revision);
      ArrayNode log = answer.putArray("log");
      for (Change change : changes) {
        if (change.version() > from && change.key().startsWith(prefix)) {
          ObjectNode entry = log.addObject();
          if (change.value() == null) {
            entry.put("remove", change.key());
          } else {
            entry.put("write", change.key()).set("v", change.value());
          }
          entry.put("entry", change.version());
        }
      }
      long leftMs = endMs - records.nowMs();
      if (!log.isEmpty() || leftMs <= 0) {
        return new Web.Answer(200, answer);
      }
      wait(leftMs);
    }
  }

  private synchronized Web.Answer list(String prefix, String from, int most) {
    ObjectNode answer = Web.JSON.createObjectNode();
    ArrayNode page = answer.putArray("items");
    boolean more = false;
    int bytes = 0;
    for (Map.Entry<String, Item> item : items.tailMap(prefix, true).entrySet()) {
      if (!item.getKey().startsWith(prefix)) {
        break;
      }
      if (item.getKey().compareTo(from) <= 0) {
        continue;
      }
      bytes += item.getValue().value().toString().length() + item.getKey().length() + 50;
      if (page.size() >= Math.min(most, MAX_ITEMS) || bytes > MAX_PAGE_BYTES) {
        more = true;
        break;
      }
      page.add(entry(item.getKey(), item.getValue()));
    }
    answer.put("more", more).put("ledger", revision);
    return new Web.Answer(200, answer);
  }

  private static ObjectNode entry(String key, Item item) {
    ObjectNode entry = Web.JSON.createObjectNode().put("key", key);
    entry.set("v", item.value());
    entry.put("entry", item.version());
    if (item.lease() != 0) {
      entry.put("permit", item.lease());
    }
    return entry;
  }

  private synchronized Web.Answer read(String key) {
    Item item = items.get(key);
    return item == null
        ? new Web.Answer(404, Web.JSON.createObjectNode().put("ledger", revision))
        : new Web.Answer(200, entry(key, item));
  }

  private synchronized Web.Answer grant(long lifeMs) {
    leases.put(++lastLease, new Lease(lifeMs, records.nowMs() + lifeMs));
    return new Web.Answer(200, Web.JSON.createObjectNode().put("permit", lastLease));
  }

  private synchronized Web.Answer lease(String method, long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return new Web.Answer(404, error("no such lease"));
    }
    if (method.equals("DELETE")) {
      end(id);
    } else {
      leases.put(id, new Lease(lease.lifeMs(), records.nowMs() + lease.lifeMs()));
    }
    return new Web.Answer(200, Web.JSON.createObjectNode().put("permit", id));
  }

  private void end(long id) {
    leases.remove(id);
    revision++;
    items.entrySet().stream()
        .filter(item -> item.getValue().lease() == id)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::remove);
    notifyAll();
  }

  private void expireLeases() {
    while (true) {
      synchronized (this) {
        long nowMs = records.nowMs();
        leases.entrySet().stream()
            .filter(lease -> lease.getValue().endsAtMs() < nowMs)
            .map(Map.Entry::getKey)
            .toList()
            .forEach(this::end);
      }
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
