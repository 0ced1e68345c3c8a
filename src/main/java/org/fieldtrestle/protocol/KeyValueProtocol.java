package org.fieldtrestle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** The state service's interface. */
public final class KeyValueProtocol {
  public static final String KEYS = "/kv";
  public static final String COMMIT = "/commit";
  public static final String LEASES = "/leases";
  public static final String WATCH = "/watch";

  private KeyValueProtocol() {}

  /** A key that must still have this version; 0: must not exist. */
  public record Condition(String key, long version) {}

  /** A change of one key. */
  public sealed interface Change {
    String key();
  }

  /** Sets a key; {@code lease} 0 attaches it to none. */
  public record Put(String key, JsonNode value, long lease) implements Change {}

  public record Delete(String key) implements Change {}

  /** A key as read; a null value is a key that does not exist. */
  public record Entry(String key, JsonNode value, long version) {}

  public record Listing(List<Entry> entries, boolean more, long revision) {}

  /** Changes in order; those with a null value are removals. */
  public record Events(List<Entry> events, long revision) {}

  public static byte[] commit(List<Condition> conditions, List<Change> changes) {
    ObjectNode context = Json.object();
    ArrayNode when = context.putArray("when");
    for (Condition condition : conditions) {
      when.addObject().put("key", condition.key()).put("entry", condition.version());
    }
    if (!changes.isEmpty()) {
      ArrayNode apply = context.putArray("apply");
      for (Change change : changes) {
        ObjectNode op = apply.addObject();
        if (change instanceof Put put) {
          op.put("write", put.key());
          op.set("v", put.value());
          if (put.lease() != 0) {
            op.put("permit", put.lease());
          }
        } else {
          op.put("remove", change.key());
        }
      }
    }
    return Json.bytes(context);
  }

  public static String listPath(String prefix, String after, int limit) {
    return KEYS
        + "?prefix="
        + prefix
        + (after.isEmpty() ? "" : "&from=" + after)
        + "&most="
        + limit;
  }

  public static String watchPath(String prefix, long after, long waitMs) {
    return WATCH + "?prefix=" + prefix + "&from=" + after + "&blockMs=" + waitMs;
  }

  public static String renewPath(long lease) {
    return LEASES + "/" + lease + "/extend";
  }

  public static byte[] ttl(long ms) {
    return Json.bytes(Json.object().put("lifeMs", ms));
  }

  public static long readLease(byte[] body) throws Json.MalformedJsonException {
    return Json.count(Json.parse(body), "permit");
  }

  public static long readRevision(byte[] body) throws Json.MalformedJsonException {
    return Json.count(Json.parse(body), "ledger");
  }

  public static List<String> readFailed(byte[] body) {
    List<String> keys = new ArrayList<>();
    Json.parseOrEmpty(body).path("failed").forEach(key -> keys.add(key.asText()));
    return keys;
  }

  private static Entry entry(JsonNode context) throws Json.MalformedJsonException {
    return new Entry(Json.text(context, "key"), context.path("v"), Json.count(context, "entry"));
  }

  public static Listing readListing(byte[] body) throws Json.MalformedJsonException {
    JsonNode context = Json.parse(body);
    List<Entry> entries = new ArrayList<>();
    for (JsonNode item : context.path("items")) {
      entries.add(entry(item));
    }
    return new Listing(
        entries, context.path("more").asBoolean(false), Json.count(context, "ledger"));
  }

  public static Events readEvents(byte[] body) throws Json.MalformedJsonException {
    JsonNode context = Json.parse(body);
    List<Entry> events = new ArrayList<>();
    for (JsonNode item : context.path("log")) {
      boolean removal = item.has("remove");
      events.add(
          new Entry(
              Json.text(item, removal ? "remove" : "write"),
              removal ? null : item.path("v"),
              Json.count(item, "entry")));
    }
    return new Events(events, Json.count(context, "ledger"));
  }
}
