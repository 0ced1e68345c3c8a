package org.fieldtrestle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** The key-value store's interface: transactions, leases, listings and watches. */
public final class KeyValueProtocol {
  /** Where keys are listed. */
  public static final String KEYS_PATH = "/kv";

  /** Where transactions are sent. */
  public static final String COMMIT_PATH = "/commit";

  /** Where leases are taken. */
  public static final String LEASES_PATH = "/leases";

  /** Where changes are watched. */
  public static final String WATCH_PATH = "/watch";

  private static final long NO_LEASE = 0;

  private KeyValueProtocol() {}

  /** A key that must have this version still; version 0: that must not exist. */
  public record Condition(String key, long version) {}

  /** A change of one key. */
  public sealed interface Change {
    /** The key. */
    String key();
  }

  /** Sets a key; it is deleted when the lease ends. Lease 0 is none. */
  public record Put(String key, JsonNode value, long lease) implements Change {}

  /** Deletes a key. */
  public record Delete(String key) implements Change {}

  /** A key at a version; a null value means that it was deleted there. */
  public record Entry(String key, JsonNode value, long version) {}

  /** A page of keys at a revision; {@code more} tells whether others follow. */
  public record Listing(List<Entry> entries, boolean more, long revision) {}

  /** All changes up to a revision, in their order. */
  public record Events(List<Entry> events, long revision) {}

  /** Writes a transaction; one without changes compares only. */
  public static byte[] writeTransaction(List<Condition> conditions, List<Change> changes) {
    ObjectNode json = Json.object();
    ArrayNode when = json.putArray("when");
    for (Condition condition : conditions) {
      when.addObject().put("key", condition.key()).put("entry", condition.version());
    }
    if (!changes.isEmpty()) {
      ArrayNode apply = json.putArray("apply");
      for (Change change : changes) {
        writeChange(apply.addObject(), change);
      }
    }
    return Json.bytes(json);
  }

  private static void writeChange(ObjectNode json, Change change) {
    if (change instanceof Put put) {
      json.put("write", put.key());
      json.set("v", put.value());
      if (put.lease() != NO_LEASE) {
        json.put("permit", put.lease());
      }
    } else {
      json.put("remove", change.key());
    }
  }

  /**
   * The path of a page of keys.
   *
   * @param after the key before the first one; empty to begin with the first of the prefix
   */
  public static String listPath(String prefix, String after, int limit) {
    return KEYS_PATH
        + "?prefix="
        + prefix
        + (after.isEmpty() ? "" : "&from=" + after)
        + "&most="
        + limit;
  }

  /** The path of a watch for changes after a revision, which waits so long for the first one. */
  public static String watchPath(String prefix, long after, long waitMs) {
    return WATCH_PATH + "?prefix=" + prefix + "&from=" + after + "&blockMs=" + waitMs;
  }

  /** The path under which a lease is renewed. */
  public static String renewPath(long lease) {
    return LEASES_PATH + "/" + lease + "/extend";
  }

  /** Writes a request for a lease of a duration. */
  public static byte[] writeLeaseRequest(long ttlMs) {
    return Json.bytes(Json.object().put("lifeMs", ttlMs));
  }

  /**
   * Reads the id of a lease that was granted.
   *
   * @throws MalformedJsonException if the body breaks the protocol
   */
  public static long readLease(byte[] body) throws MalformedJsonException {
    return Json.count(Json.parse(body), "permit");
  }

  /**
   * Reads the revision of an answer to a transaction.
   *
   * @throws MalformedJsonException if the body breaks the protocol
   */
  public static long readRevision(byte[] body) throws MalformedJsonException {
    return Json.count(Json.parse(body), "ledger");
  }

  /** Reads the keys whose conditions failed; empty where the answer does not name them. */
  public static List<String> readConflictingKeys(byte[] body) {
    List<String> keys = new ArrayList<>();
    Json.parseOrEmpty(body).path("failed").forEach(key -> keys.add(key.asText()));
    return keys;
  }

  /**
   * Reads a page of keys.
   *
   * @throws MalformedJsonException if the body breaks the protocol
   */
  public static Listing readListing(byte[] body) throws MalformedJsonException {
    JsonNode json = Json.parse(body);
    List<Entry> entries = new ArrayList<>();
    for (JsonNode item : json.path("items")) {
      entries.add(new Entry(Json.text(item, "key"), item.path("v"), Json.count(item, "entry")));
    }
    return new Listing(entries, json.path("more").asBoolean(false), Json.count(json, "ledger"));
  }

  /**
   * Reads the answer to a watch.
   *
   * @throws MalformedJsonException if the body breaks the protocol
   */
  public static Events readEvents(byte[] body) throws MalformedJsonException {
    JsonNode json = Json.parse(body);
    List<Entry> events = new ArrayList<>();
    for (JsonNode item : json.path("log")) {
      events.add(readEvent(item));
    }
    return new Events(events, Json.count(json, "ledger"));
  }

  private static Entry readEvent(JsonNode json) throws MalformedJsonException {
    boolean deletion = json.has("remove");
    return new Entry(
        Json.text(json, deletion ? "remove" : "write"),
        deletion ? null : json.path("v"),
        Json.count(json, "entry"));
  }
}
