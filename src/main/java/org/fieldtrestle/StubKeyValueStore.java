package org.fieldtrestle;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.protocol.Json;

/**
 * A stub of a key-value store that ignores conditions and leases, for {@link ClassListRecorder}.
 */
final class StubKeyValueStore {
  /** The last change that has written each key. */
  private final Map<String, JsonNode> lastChangeByKey = new TreeMap<>();

  private long revision = 1;

  /** Applies a transaction without checking its conditions. */
  ObjectNode commit(JsonNode transaction) {
    transaction.path("apply").forEach(this::apply);
    return Json.object().put("ledger", ++revision);
  }

  private void apply(JsonNode change) {
    if (change.has("write")) {
      lastChangeByKey.put(change.path("write").asText(), change);
    } else {
      lastChangeByKey.remove(change.path("remove").asText());
    }
  }

  ObjectNode grantOrRenewLease() {
    return Json.object().put("permit", 1);
  }

  /** Returns all keys that a list request asks for, as a single page. */
  ObjectNode list(Map<String, String> query) {
    ObjectNode listing = Json.object().put("more", false).put("ledger", revision);
    ArrayNode items = listing.putArray("items");
    for (String key : lastChangeByKey.keySet()) {
      if (key.startsWith(query.get("prefix"))
          && key.compareTo(query.getOrDefault("from", "")) > 0) {
        items.add(entry(key));
      }
    }
    return listing;
  }

  private ObjectNode entry(String key) {
    ObjectNode entry = Json.object().put("key", key).put("entry", revision);
    entry.set("v", lastChangeByKey.get(key).path("v"));
    return entry;
  }

  /** Answers a watch with a change to the key of another controller's membership. */
  ObjectNode watch() {
    ObjectNode events = Json.object();
    ObjectNode change = events.putArray("log").addObject();
    change.put("write", "ft/live/member/other").put("entry", ++revision);
    change.putObject("v").put("f", 1).put("boot", "class-list");
    return events.put("ledger", revision);
  }
}
