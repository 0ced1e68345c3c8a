package org.fieldtrestle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** Paths and messages of the key-value store: transactions, leases, listings and watches. */
public final class KeyValueProtocol {
  /** Path for listing keys. */
  public static final String KEYS_PATH = "/kv";

  /** Path for transactions. */
  public static final String COMMIT_PATH = "/commit";

  /** Path for requesting leases. */
  public static final String LEASES_PATH = "/leases";

  /** Path for watching changes. */
  public static final String WATCH_PATH = "/watch";

  private static final long NO_LEASE = 0;

  private KeyValueProtocol() {}

  /**
   * A condition of a transaction: the key still has the given version. Version 0 means that the key
   * does not exist.
   */
  public record Condition(String key, long version) {}

  /** A change of one key. */
  public sealed interface Change {
    /** Returns the changed key. */
    String key();
  }

  /** Sets a key. The key is deleted when its lease ends; lease id 0 stands for no lease. */
  public record Put(String key, JsonNode value, long leaseId) implements Change {}

  /** Deletes a key. */
  public record Delete(String key) implements Change {}

  /**
   * A key and its value at a version; a {@code null} value means that the key was deleted there.
   */
  public record Entry(String key, JsonNode value, long version) {}

  /** A page of keys at a revision; {@code hasMore} tells whether further pages follow. */
  public record Listing(List<Entry> entries, boolean hasMore, long revision) {}

  /** All changes up to a revision, in the order in which they happened. */
  public record Events(List<Entry> events, long revision) {}

  /** Writes a transaction. A transaction without changes only checks its conditions. */
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
      if (put.leaseId() != NO_LEASE) {
        json.put("permit", put.leaseId());
      }
    } else {
      json.put("remove", change.key());
    }
  }

  /**
   * Returns the path for listing a page of keys.
   *
   * @param after the key after which the page begins; empty to begin with the first key of the
   *     prefix
   */
  public static String listPath(String prefix, String after, int limit) {
    return KEYS_PATH
        + "?prefix="
        + prefix
        + (after.isEmpty() ? "" : "&from=" + after)
        + "&most="
        + limit;
  }

  /**
   * Returns the path of a watch for changes after a revision.
   *
   * @param waitMs how long the key-value store waits for the first change before it answers
   */
  public static String watchPath(String prefix, long after, long waitMs) {
    return WATCH_PATH + "?prefix=" + prefix + "&from=" + after + "&blockMs=" + waitMs;
  }

  /** Returns the path for renewing a lease. */
  public static String renewPath(long leaseId) {
    return LEASES_PATH + "/" + leaseId + "/extend";
  }

  /** Writes a request for a lease with the given time to live. */
  public static byte[] writeLeaseRequest(long ttlMs) {
    return Json.bytes(Json.object().put("lifeMs", ttlMs));
  }

  /**
   * Reads the id of a granted lease.
   *
   * @throws MalformedJsonException if the body violates the protocol
   */
  public static long readLeaseId(byte[] body) throws MalformedJsonException {
    return Json.count(Json.parse(body), "permit");
  }

  /**
   * Reads the revision from the answer to a transaction.
   *
   * @throws MalformedJsonException if the body violates the protocol
   */
  public static long readRevision(byte[] body) throws MalformedJsonException {
    return Json.count(Json.parse(body), "ledger");
  }

  /**
   * Reads the keys whose conditions failed from the answer to a transaction. The list is empty if
   * the answer does not name them.
   */
  public static List<String> readConflictingKeys(byte[] body) {
    List<String> keys = new ArrayList<>();
    Json.parseOrEmpty(body).path("failed").forEach(key -> keys.add(key.asText()));
    return keys;
  }

  /**
   * Reads a page of keys.
   *
   * @throws MalformedJsonException if the body violates the protocol
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
   * @throws MalformedJsonException if the body violates the protocol
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
