package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service, as "Controller nodes -> state service" in PROTOCOL describes it. */
final class Store {
  private static final int KEPT_CHANGES = 10_000;

  private record Value(JsonNode json, long version, long lease) {}

  private record Event(String key, JsonNode json, long version) {}

  private static final class Lease {
    long lifeMs;
    long endsAtMs;
  }

  private final TreeMap<String, Value> keys = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final int maxChanges;
  private final int maxValueBytes;
  private long revision;
  private long forgottenRevision;
  private long lastLease;
  private final HttpServer server;

  Store(int maxChanges, int maxValueKb) throws IOException {
    this.maxChanges = maxChanges;
    this.maxValueBytes = maxValueKb * 1024;
    this.server = Web.serve(this::handle);
    Thread expiry = new Thread(this::expireLeases);
    expiry.setDaemon(true);
    expiry.start();
  }

  String address() {
    return Web.address(server);
  }

  /** Returns the value of a key as text, for the record; "-" if there is none. */
  synchronized String text(String key) {
    return keys.containsKey(key) ? keys.get(key).json().toString() : "-";
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  private void expireLeases() {
    while (true) {
      try {
        Thread.sleep(50);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        for (Map.Entry<Long, Lease> lease : List.copyOf(leases.entrySet())) {
          if (lease.getValue().endsAtMs < nowMs()) {
            leases.remove(lease.getKey());
            removeKeysOf(lease.getKey());
          }
        }
      }
    }
  }

  private void removeKeysOf(long lease) {
    for (Map.Entry<String, Value> entry : List.copyOf(keys.entrySet())) {
      if (entry.getValue().lease() == lease) {
        revision++;
        remove(entry.getKey());
      }
    }
    notifyAll();
  }

  private void remove(String key) {
    if (keys.remove(key) != null) {
      addEvent(new Event(key, null, revision));
    }
  }

  private void addEvent(Event event) {
    events.add(event);
    if (events.size() > KEPT_CHANGES) {
      forgottenRevision = events.remove(0).version();
    }
  }

  private Web.Answer handle(String method, String path, Map<String, String> query, JsonNode body)
      throws InterruptedException {
    if (path.equals("/commit")) {
      return commit(body);
    } else if (path.equals("/leases")) {
      return grant(body.path("lifeMs").asLong());
    } else if (path.startsWith("/leases/")) {
      return lease(method, Long.parseLong(path.split("/")[2]));
    } else if (path.equals("/watch")) {
      return watch(
          query.get("prefix"),
          Long.parseLong(query.get("from")),
          Long.parseLong(query.getOrDefault("blockMs", "0")));
    } else if (path.equals("/kv")) {
      return list(
          query.get("prefix"),
          query.getOrDefault("from", ""),
          Integer.parseInt(query.getOrDefault("most", "1000")));
    } else if (path.startsWith("/kv/")) {
      return read(path.substring("/kv/".length()));
    }
    return Web.answer(404);
  }

  private synchronized Web.Answer read(String key) {
    Value value = keys.get(key);
    if (value == null) {
      return new Web.Answer(404, Web.object().put("ledger", revision));
    }
    return new Web.Answer(200, entry(key, value));
  }

  private static ObjectNode entry(String key, Value value) {
    ObjectNode entry = Web.object().put("key", key);
    entry.set("v", value.json());
    entry.put("entry", value.version());
    if (value.lease() != 0) {
      entry.put("permit", value.lease());
    }
    return entry;
  }

  private synchronized Web.Answer list(String prefix, String from, int most) {
    ObjectNode answer = Web.object();
    ArrayNode items = answer.putArray("items");
    boolean more = false;
    for (Map.Entry<String, Value> entry : keys.tailMap(prefix, true).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (entry.getKey().compareTo(from) <= 0) {
        continue;
      }
      if (items.size() == Math.min(most, 1000)) {
        more = true;
        break;
      }
      items.add(entry(entry.getKey(), entry.getValue()));
    }
    return new Web.Answer(200, answer.put("more", more).put("ledger", revision));
  }

  private synchronized Web.Answer commit(JsonNode body) {
    JsonNode changes = body.path("apply");
    if (changes.size() > maxChanges || body.path("when").size() > 4 * maxChanges) {
      return new Web.Answer(400, Web.object().put("error", "too many"));
    }
    for (JsonNode change : changes) {
      if (change.has("permit") && !leases.containsKey(change.path("permit").asLong())) {
        return new Web.Answer(400, Web.object().put("error", "no such lease"));
      }
      if (change.path("v").toString().length() > maxValueBytes) {
        return new Web.Answer(400, Web.object().put("error", "too large"));
      }
    }
    ObjectNode answer = Web.object();
    ArrayNode failed = Web.JSON.createArrayNode();
    for (JsonNode condition : body.path("when")) {
      Value value = keys.get(condition.path("key").asText());
      if ((value == null ? 0 : value.version()) != condition.path("entry").asLong()) {
        failed.add(condition.path("key").asText());
      }
    }
    if (!failed.isEmpty()) {
      answer.set("failed", failed);
      return new Web.Answer(409, answer.put("ledger", revision));
    }
    if (!changes.isEmpty()) {
      revision++;
      for (JsonNode change : changes) {
        if (change.has("remove")) {
          remove(change.path("remove").asText());
        } else {
          String key = change.path("write").asText();
          keys.put(key, new Value(change.path("v"), revision, change.path("permit").asLong(0)));
          addEvent(new Event(key, change.path("v"), revision));
        }
      }
      notifyAll();
    }
    return new Web.Answer(200, answer.put("ledger", revision));
  }

  private synchronized Web.Answer grant(long lifeMs) {
    Lease lease = new Lease();
    lease.lifeMs = lifeMs;
    lease.endsAtMs = nowMs() + lifeMs;
    leases.put(++lastLease, lease);
    return new Web.Answer(200, Web.object().put("permit", lastLease));
  }

  private synchronized Web.Answer lease(String method, long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return Web.answer(404);
    }
    if (method.equals("DELETE")) {
      leases.remove(id);
      removeKeysOf(id);
    } else {
      lease.endsAtMs = nowMs() + lease.lifeMs;
    }
    return new Web.Answer(200, Web.object().put("permit", id));
  }

  private synchronized Web.Answer watch(String prefix, long from, long blockMs)
      throws InterruptedException {
    long endMs = nowMs() + blockMs;
    while (true) {
      if (from < forgottenRevision) {
        return Web.answer(410);
      }
      ObjectNode answer = Web.object();
      ArrayNode log = answer.putArray("log");
      for (int i = events.size() - 1; i >= 0 && events.get(i).version() > from; i--) {
        Event event = events.get(i);
        if (event.key().startsWith(prefix)) {
          ObjectNode item = Web.object();
          if (event.json() == null) {
            item.put("remove", event.key());
          } else {
            item.put("write", event.key());
            item.set("v", event.json());
          }
          log.insert(0, item.put("entry", event.version()));
        }
      }
      long leftMs = endMs - nowMs();
      if (!log.isEmpty() || leftMs <= 0) {
        return new Web.Answer(200, answer.put("ledger", revision));
      }
      wait(leftMs);
    }
  }
}
