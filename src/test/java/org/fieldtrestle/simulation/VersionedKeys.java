package org.fieldtrestle.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.fieldtrestle.protocol.Json;

/** The keys of a simulated key-value store, their versions, and the latest changes of them. */
final class VersionedKeys {
  /** How many changes are kept for watches that begin at a past revision. */
  private static final int KEPT_CHANGES = 10_000;

  /**
   * A value of a key.
   *
   * @param version the revision at which it was written
   * @param lease the key is removed with this lease; 0: with none
   */
  record Versioned(JsonNode value, long version, long lease) {}

  /** A change of a key; a value of null removes it. */
  private record Change(String key, JsonNode value, long revision) {}

  private final TreeMap<String, Versioned> keys = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private long revision;

  /** Changes up to this revision are not kept. */
  private long compactedRevision;

  long revision() {
    return revision;
  }

  long compactedRevision() {
    return compactedRevision;
  }

  /** Begins the next revision, which the next changes belong to. */
  void beginRevision() {
    revision++;
  }

  /** Returns a key's value, or null if it does not exist. */
  Versioned get(String key) {
    return keys.get(key);
  }

  /** Returns a key's version, or 0 if it does not exist. */
  long version(String key) {
    Versioned kept = keys.get(key);
    return kept == null ? 0 : kept.version();
  }

  /** Returns all keys that a prefix begins, in order. */
  SortedMap<String, Versioned> withPrefix(String prefix) {
    return keys.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  /** Returns the names of the keys whose values a condition holds of, in order. */
  List<String> namesOf(Predicate<Versioned> condition) {
    return keys.entrySet().stream()
        .filter(key -> condition.test(key.getValue()))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Sets a key at the present revision. */
  void put(String key, JsonNode value, long lease) {
    keys.put(key, new Versioned(value, revision, lease));
    addChange(new Change(key, value, revision));
  }

  /** Removes a key, if it exists, at the present revision. */
  void remove(String key) {
    if (keys.remove(key) != null) {
      addChange(new Change(key, null, revision));
    }
  }

  private void addChange(Change change) {
    changes.add(change);
    if (changes.size() > 2 * KEPT_CHANGES) {
      List<Change> old = changes.subList(0, changes.size() - KEPT_CHANGES);
      compactedRevision = old.get(old.size() - 1).revision();
      old.clear();
    }
  }

  /** Forgets all changes so far, so that earlier watches have to read everything again. */
  void compact() {
    compactedRevision = revision;
    changes.clear();
  }

  /** Writes a page of keys in the form of the protocol. */
  ObjectNode page(String prefix, String after, int maxEntries) {
    ObjectNode page = Json.object().put("ledger", revision);
    ArrayNode items = page.putArray("items");
    boolean more = false;
    for (Map.Entry<String, Versioned> key : withPrefix(prefix).entrySet()) {
      if (after != null && key.getKey().compareTo(after) <= 0) {
        continue;
      }
      if (items.size() == maxEntries) {
        more = true;
        break;
      }
      items
          .addObject()
          .put("key", key.getKey())
          .put("entry", key.getValue().version())
          .set("v", key.getValue().value());
    }
    return page.put("more", more);
  }

  /** Writes the changes after a revision in the form of the protocol. */
  ArrayNode changesAfter(long fromRevision, String prefix) {
    ArrayNode events = Json.array();
    for (Change change : changes.subList(firstAfter(fromRevision), changes.size())) {
      if (change.key().startsWith(prefix)) {
        ObjectNode event = events.addObject().put("entry", change.revision());
        if (change.value() == null) {
          event.put("remove", change.key());
        } else {
          event.put("write", change.key()).set("v", change.value());
        }
      }
    }
    return events;
  }

  private int firstAfter(long fromRevision) {
    int low = 0;
    int high = changes.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (changes.get(middle).revision() > fromRevision) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low;
  }
}
