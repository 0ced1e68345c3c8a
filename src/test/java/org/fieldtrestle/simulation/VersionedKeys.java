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

/** The keys of a simulated key-value store with their values, versions and latest changes. */
final class VersionedKeys {
  /** At least this many of the latest changes are kept for watches from a past revision. */
  private static final int KEPT_CHANGES = 10_000;

  /**
   * The value of a key.
   *
   * @param version revision at which the value was written
   * @param lease identifier of the lease with which the key is removed; 0 if there is none
   */
  record VersionedValue(JsonNode value, long version, long lease) {}

  /** A change of a key. A value of {@code null} means that the key was removed. */
  private record Change(String key, JsonNode value, long revision) {}

  private final TreeMap<String, VersionedValue> keys = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private long revision;

  /** The changes up to this revision are no longer kept. */
  private long compactedRevision;

  long revision() {
    return revision;
  }

  long compactedRevision() {
    return compactedRevision;
  }

  /** Begins the next revision. The changes that follow belong to it. */
  void beginRevision() {
    revision++;
  }

  /** Returns the value of a key, or {@code null} if the key does not exist. */
  VersionedValue get(String key) {
    return keys.get(key);
  }

  /** Returns the version of a key, or 0 if the key does not exist. */
  long version(String key) {
    VersionedValue found = keys.get(key);
    return found == null ? 0 : found.version();
  }

  /** Returns all keys with a prefix, in order. */
  SortedMap<String, VersionedValue> withPrefix(String prefix) {
    return keys.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  /** Returns the names of the keys whose values meet a condition, in order. */
  List<String> namesOf(Predicate<VersionedValue> condition) {
    return keys.entrySet().stream()
        .filter(key -> condition.test(key.getValue()))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Sets a key at the current revision. */
  void put(String key, JsonNode value, long lease) {
    keys.put(key, new VersionedValue(value, revision, lease));
    addChange(new Change(key, value, revision));
  }

  /** Removes a key, if it exists, at the current revision. */
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

  /**
   * Discards all changes so far. A watch from an earlier revision is no longer possible; its client
   * has to read all keys again.
   */
  void compact() {
    compactedRevision = revision;
    changes.clear();
  }

  /** Returns a page of keys in the format of the protocol. */
  ObjectNode page(String prefix, String after, int maxEntries) {
    ObjectNode page = Json.object().put("ledger", revision);
    ArrayNode items = page.putArray("items");
    boolean more = false;
    for (Map.Entry<String, VersionedValue> key : withPrefix(prefix).entrySet()) {
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

  /** Returns the changes after a revision in the format of the protocol. */
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
