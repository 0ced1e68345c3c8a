package org.fieldtrestle.state;

import org.fieldtrestle.state.StateKey.InventoryKey;
import org.fieldtrestle.state.StateKey.JobKey;
import org.fieldtrestle.state.StateKey.MemberKey;
import org.fieldtrestle.state.StateKey.OrphanKey;
import org.fieldtrestle.state.StateKey.QuotaKey;
import org.fieldtrestle.state.StateKey.RangeKey;
import org.fieldtrestle.state.StateKey.ShardKey;
import org.fieldtrestle.state.StateKey.UnknownKey;

/**
 * Builds and parses the keys of the key-value store. The texts of the keys keep the names of the
 * first version, because controllers of different versions may share a store.
 */
public final class StateKeys {
  /** Prefix of all keys that every controller follows. */
  public static final String LIVE_PREFIX = "ft/live/";

  /**
   * Prefix of the records of finished jobs. They are not followed, as their number is unlimited.
   */
  public static final String FINISHED_PREFIX = "ft/final/";

  private static final String JOB_PREFIX = LIVE_PREFIX + "job/";
  private static final String RANGE_PREFIX = LIVE_PREFIX + "range/";
  private static final String INVENTORY_PREFIX = LIVE_PREFIX + "roster/";
  private static final String ORPHAN_PREFIX = LIVE_PREFIX + "stray/";
  private static final String SHARD_PREFIX = LIVE_PREFIX + "master/";
  private static final String MEMBER_PREFIX = LIVE_PREFIX + "member/";
  private static final String QUOTA_PREFIX = LIVE_PREFIX + "quota/";

  /**
   * Prefix of the records of single machines, which former versions wrote instead of inventories.
   */
  private static final String FORMER_MACHINE_PREFIX = LIVE_PREFIX + "machine/";

  private static final int MAX_INDEX_DIGITS = 6;
  private static final int NO_INDEX = -1;

  private StateKeys() {}

  /** Returns the key of an accepted job. */
  public static String job(String id) {
    return JOB_PREFIX + id;
  }

  /** Returns the key of a task range. */
  public static String range(RangeKey key) {
    return RANGE_PREFIX + key.job() + "/" + key.index();
  }

  /** Returns the key of one part of a shard's machine inventory. */
  public static String inventory(InventoryKey key) {
    return INVENTORY_PREFIX + key.shard() + "/" + key.part();
  }

  /**
   * Returns the key which shows that a machine was adopted by another shard than the one that
   * rented it. The renter may not have written its own record of the machine yet; it writes that
   * record on condition that this key is absent.
   */
  public static String orphan(String machine) {
    return ORPHAN_PREFIX + machine;
  }

  /** Returns the key whose record names the leader of a shard; its version is the shard's epoch. */
  public static String shard(String label) {
    return SHARD_PREFIX + label;
  }

  /** Returns the key that a controller keeps under its lease while it runs. */
  public static String member(String label) {
    return MEMBER_PREFIX + label;
  }

  /**
   * Returns the key of a team's quota shares. The team's name is escaped, because it may contain
   * any character.
   */
  public static String quota(String team) {
    return QUOTA_PREFIX + team.replace("%", "%25").replace(" ", "%20").replace("/", "%2F");
  }

  /** Returns the key of the record that states how a job ended. */
  public static String finished(String id) {
    return FINISHED_PREFIX + id;
  }

  /** Parses a key; returns an {@link UnknownKey} for a key that this version does not use. */
  public static StateKey parse(String key) {
    if (key.startsWith(JOB_PREFIX)) {
      return new JobKey(key.substring(JOB_PREFIX.length()));
    }
    int slash = key.lastIndexOf('/');
    int index = parseIndex(key, slash + 1);
    if (key.startsWith(RANGE_PREFIX) && slash > RANGE_PREFIX.length() && index >= 0) {
      return new RangeKey(key.substring(RANGE_PREFIX.length(), slash), index);
    }
    if (key.startsWith(INVENTORY_PREFIX) && slash > INVENTORY_PREFIX.length() && index >= 0) {
      return new InventoryKey(key.substring(INVENTORY_PREFIX.length(), slash), index);
    }
    if (key.startsWith(ORPHAN_PREFIX)) {
      return new OrphanKey(key.substring(ORPHAN_PREFIX.length()));
    }
    if (key.startsWith(SHARD_PREFIX)) {
      return new ShardKey(key.substring(SHARD_PREFIX.length()));
    }
    if (key.startsWith(MEMBER_PREFIX)) {
      return new MemberKey(key.substring(MEMBER_PREFIX.length()));
    }
    if (key.startsWith(QUOTA_PREFIX)) {
      return new QuotaKey(unescape(key.substring(QUOTA_PREFIX.length())));
    }
    return new UnknownKey(key);
  }

  private static String unescape(String team) {
    return team.replace("%2F", "/").replace("%20", " ").replace("%25", "%");
  }

  /** Returns the number that a key ends with, or {@link #NO_INDEX} if it ends with none. */
  private static int parseIndex(String key, int from) {
    if (key.length() == from || key.length() - from > MAX_INDEX_DIGITS) {
      return NO_INDEX;
    }
    int index = 0;
    for (int i = from; i < key.length(); i++) {
      int digit = key.charAt(i) - '0';
      if (digit < 0 || digit > 9) {
        return NO_INDEX;
      }
      index = index * 10 + digit;
    }
    return index;
  }

  /** Returns why the value of an unknown key cannot be used. */
  static String unknownKeyReason(String key) {
    return key.startsWith(FORMER_MACHINE_PREFIX)
        ? "a machine's record of the form before, this version keeps machines in rosters"
        : "not one of our keys";
  }
}
