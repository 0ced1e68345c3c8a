package org.fieldtrestle.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.transport.Http;

/** A stand-in for the state service, by its protocol. */
final class SimulatedKeyValueStore implements Http.Handler {
  private record Versioned(JsonNode value, long version, long lease) {}

  private record Event(String key, JsonNode value, long revision) {}

  private record Watch(String prefix, long from, Consumer<Http.Response> reply, boolean[] over) {}

  /** How many changes are kept for watches that begin in the past. */
  private static final int KEPT_CHANGES = 10_000;

  private static final int CONDITIONS_PER_CHANGE = 4;

  private final SimulatedTime time;
  private final Deployment deployment;
  private final RateLimit requests;
  private final RateLimit writes;
  private final TreeMap<String, Versioned> keys = new TreeMap<>();
  private final List<Event> log = new ArrayList<>();
  private final Map<Long, Long> leases = new HashMap<>();
  private final Map<Long, Long> ttls = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision;
  private long lastLease;
  private long forgotten;
  private long outageUntil;

  /** Share of transactions that get no answer and are carried out later, after newer ones. */
  double lateWrites;

  private int lateCommitted;
  private int lateRefused;
  private int refusedForLimits;

  SimulatedKeyValueStore(SimulatedTime time, Deployment deployment) {
    this.time = time;
    this.deployment = deployment;
    this.requests = new RateLimit(deployment.state().rps());
    this.writes = new RateLimit(deployment.state().writeRps());
    sweep();
  }

  void outage(long ms) {
    outageUntil = time.now() + ms;
    time.after(
        ms,
        () -> {
          leases.replaceAll((id, until) -> time.now() + ttls.get(id));
          wake();
        });
  }

  /** Forgets old changes, so that watches from before have to read everything again. */
  void compact() {
    forgotten = revision;
    log.clear();
  }

  void damage(String key, JsonNode value) {
    write(key, value, 0, ++revision);
    wake();
  }

  /** How many transactions were carried out late, and had their conditions met all the same. */
  int lateCommitted() {
    return lateCommitted;
  }

  /** How many came late and failed by their conditions. */
  int lateRefused() {
    return lateRefused;
  }

  /** How a job ended, by its durable record; empty where it has not. */
  String finalOf(String job) {
    Versioned kept = keys.get("ft/final/" + job);
    return kept == null ? "" : kept.value().toString();
  }

  /** How many ranges of a job have records of their own. */
  long rangeRecordsOf(String job) {
    return keys.keySet().stream().filter(key -> key.startsWith("ft/live/range/" + job)).count();
  }

  /** When each shard last changed hands, as revisions. */
  List<Long> masterVersions() {
    return keys.entrySet().stream()
        .filter(one -> one.getKey().startsWith("ft/live/master/"))
        .map(one -> one.getValue().version())
        .toList();
  }

  /** The machines that any shard counts as its own. */
  List<String> inventories() {
    List<String> machines = new ArrayList<>();
    keys.forEach(
        (key, kept) -> {
          if (key.startsWith("ft/live/roster/")) {
            for (JsonNode group : kept.value().path("groups")) {
              group.path("ids").forEach(id -> machines.add(id.asText()));
            }
          }
        });
    return machines;
  }

  private boolean down() {
    return time.now() < outageUntil;
  }

  private void sweep() {
    time.after(
        100,
        () -> {
          if (!down()) {
            for (Map.Entry<Long, Long> lease : List.copyOf(leases.entrySet())) {
              if (lease.getValue() < time.now()) {
                end(lease.getKey());
              }
            }
          }
          sweep();
        });
  }

  private void end(long lease) {
    leases.remove(lease);
    for (Map.Entry<String, Versioned> key : List.copyOf(keys.entrySet())) {
      if (key.getValue().lease() == lease) {
        write(key.getKey(), null, 0, ++revision);
      }
    }
    wake();
  }

  private void write(String key, JsonNode value, long lease, long at) {
    if (value == null) {
      if (keys.remove(key) == null) {
        return;
      }
    } else {
      keys.put(key, new Versioned(value, at, lease));
    }
    log.add(new Event(key, value, at));
    if (log.size() > 2 * KEPT_CHANGES) {
      List<Event> old = log.subList(0, log.size() - KEPT_CHANGES);
      forgotten = old.get(old.size() - 1).revision();
      old.clear();
    }
  }

  private boolean limited(RateLimit limit, double amount) {
    boolean refused = deployment.limited() && !limit.allows(time.now(), amount);
    refusedForLimits += refused ? 1 : 0;
    return refused;
  }

  /** How many requests went beyond the limits. */
  int refusedForLimits() {
    return refusedForLimits;
  }

  private static Http.Response answer(int status, JsonNode body) {
    return new Http.Response(status, Json.bytes(body));
  }

  @Override
  public void handle(Http.Request request, Consumer<Http.Response> reply) {
    if (down()) {
      reply.accept(answer(503, Json.object()));
      return;
    }
    if (limited(requests, 1)) {
      reply.accept(answer(429, Json.object()));
      return;
    }
    JsonNode body = Json.parseOrEmpty(request.body());
    String path = request.path();
    if (path.equals("/commit") && limited(writes, body.path("apply").size())) {
      reply.accept(answer(429, Json.object()));
    } else if (path.equals("/commit")) {
      if (lateWrites > 0 && !body.path("apply").isEmpty() && time.chance(lateWrites)) {
        carryOutLate(body);
      } else {
        reply.accept(commit(body));
      }
    } else if (path.equals("/leases")) {
      leases.put(++lastLease, time.now() + body.path("lifeMs").asLong());
      ttls.put(lastLease, body.path("lifeMs").asLong());
      reply.accept(answer(200, Json.object().put("permit", lastLease)));
    } else if (path.startsWith("/leases/")) {
      long id = Long.parseLong(path.split("/")[2]);
      if (!leases.containsKey(id)) {
        reply.accept(answer(404, Json.object()));
        return;
      }
      leases.put(id, time.now() + ttls.get(id));
      reply.accept(answer(200, Json.object().put("permit", id)));
    } else if (path.equals("/watch")) {
      watch(request.query(), reply);
    } else if (path.equals("/kv")) {
      reply.accept(list(request.query()));
    } else if (path.startsWith("/kv/")) {
      String key = path.substring(4);
      Versioned kept = keys.get(key);
      ObjectNode node = Json.object();
      if (kept == null) {
        reply.accept(answer(404, node.put("ledger", revision)));
      } else {
        node.put("key", key).put("entry", kept.version()).set("v", kept.value());
        reply.accept(answer(200, node));
      }
    } else {
      reply.accept(answer(404, Json.object()));
    }
  }

  private void carryOutLate(JsonNode body) {
    time.after(
        time.between(2000, 12_000),
        () -> {
          if (down()) {
            carryOutLate(body);
          } else if (commit(body).status() == 200) {
            lateCommitted++;
          } else {
            lateRefused++;
          }
        });
  }

  private Http.Response commit(JsonNode body) {
    for (JsonNode op : body.path("apply")) {
      if (op.has("permit") && !leases.containsKey(op.path("permit").asLong())) {
        return answer(400, Json.object().put("error", "no such lease"));
      }
      if (op.path("v").toString().getBytes(StandardCharsets.UTF_8).length
          > deployment.state().valueKb() * 1024) {
        return answer(400, Json.object().put("error", "too large"));
      }
    }
    int most = deployment.state().txnOps();
    if (body.path("apply").size() > most
        || body.path("when").size() > CONDITIONS_PER_CHANGE * most) {
      return answer(400, Json.object().put("error", "too many"));
    }
    ArrayNode failed = Json.array();
    for (JsonNode condition : body.path("when")) {
      Versioned kept = keys.get(condition.path("key").asText());
      if ((kept == null ? 0 : kept.version()) != condition.path("entry").asLong()) {
        failed.add(condition.path("key").asText());
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode node = Json.object().put("ledger", revision);
      node.set("failed", failed);
      return answer(409, node);
    }
    if (!body.path("apply").isEmpty()) {
      revision++;
      for (JsonNode op : body.path("apply")) {
        if (op.has("remove")) {
          write(op.path("remove").asText(), null, 0, revision);
        } else {
          write(op.path("write").asText(), op.path("v"), op.path("permit").asLong(), revision);
        }
      }
      wake();
    }
    return answer(200, Json.object().put("ledger", revision));
  }

  private Http.Response list(Map<String, String> query) {
    ObjectNode node = Json.object().put("ledger", revision);
    ArrayNode items = node.putArray("items");
    boolean more = false;
    int most = Math.min(deployment.listPage(), Integer.parseInt(query.get("most")));
    for (Map.Entry<String, Versioned> one : keys.tailMap(query.get("prefix")).entrySet()) {
      if (!one.getKey().startsWith(query.get("prefix"))
          || query.containsKey("from") && one.getKey().compareTo(query.get("from")) <= 0) {
        continue;
      }
      if (items.size() == most) {
        more = true;
        break;
      }
      items
          .addObject()
          .put("key", one.getKey())
          .put("entry", one.getValue().version())
          .set("v", one.getValue().value());
    }
    return answer(200, node.put("more", more));
  }

  private void watch(Map<String, String> query, Consumer<Http.Response> reply) {
    long from = Long.parseLong(query.get("from"));
    if (from < forgotten) {
      reply.accept(answer(410, Json.object()));
      return;
    }
    Watch watch = new Watch(query.get("prefix"), from, reply, new boolean[1]);
    watches.add(watch);
    time.after(Long.parseLong(query.get("blockMs")), () -> answerWatch(watch, true));
    wake();
  }

  private void wake() {
    if (!down()) {
      List.copyOf(watches).forEach(watch -> answerWatch(watch, false));
    }
  }

  private void answerWatch(Watch watch, boolean timeUp) {
    if (watch.over()[0]) {
      return;
    }
    if (down()) {
      if (timeUp) {
        time.after(outageUntil - time.now() + 1, () -> answerWatch(watch, true));
      }
      return;
    }
    ObjectNode node = Json.object().put("ledger", revision);
    ArrayNode events = node.putArray("log");
    for (Event event : log.subList(firstAfter(watch.from()), log.size())) {
      if (event.key().startsWith(watch.prefix())) {
        ObjectNode one = events.addObject().put("entry", event.revision());
        if (event.value() == null) {
          one.put("remove", event.key());
        } else {
          one.put("write", event.key()).set("v", event.value());
        }
      }
    }
    if (timeUp || !events.isEmpty()) {
      watch.over()[0] = true;
      watches.remove(watch);
      watch.reply().accept(answer(200, node));
    }
  }

  /** Where the changes after a revision begin. */
  private int firstAfter(long revision) {
    int low = 0;
    int high = log.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (log.get(middle).revision() > revision) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low;
  }
}
