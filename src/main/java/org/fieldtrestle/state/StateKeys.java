package org.fieldtrestle.state;

import org.fieldtrestle.state.StateKey.ForeignKey;
import org.fieldtrestle.state.StateKey.InventoryKey;
import org.fieldtrestle.state.StateKey.JobKey;
import org.fieldtrestle.state.StateKey.MemberKey;
import org.fieldtrestle.state.StateKey.OrphanKey;
import org.fieldtrestle.state.StateKey.QuotaKey;
import org.fieldtrestle.state.StateKey.RangeKey;
import org.fieldtrestle.state.StateKey.ShardKey;

/**
 * Builds the keys of the key-value store and takes them apart. Their texts keep the names of the
 * first version, as controllers of several versions may share a store.
 */
public final class StateKeys {
  /** Prefix of all keys that every controller follows. */
  public static final String LIVE_PREFIX = "ft/live/";

  /** Prefix of the records of finished jobs; not followed, as their number has no limit. */
  public static final String FINISHED_PREFIX = "ft/final/";

  private static final String JOB = LIVE_PREFIX + "job/";
  private static final String RANGE = LIVE_PREFIX + "range/";
  private static final String INVENTORY = LIVE_PREFIX + "roster/";
  private static final String ORPHAN = LIVE_PREFIX + "stray/";
  private static final String SHARD = LIVE_PREFIX + "master/";
  private static final String MEMBER = LIVE_PREFIX + "member/";
  private static final String QUOTA = LIVE_PREFIX + "quota/";

  /** Where a machine had a record of its own, before there were inventories. */
  private static final String FORMER_MACHINE = LIVE_PREFIX + "machine/";

  private static final int MAX_INDEX_DIGITS = 6;
  private static final int NO_INDEX = -1;

  private StateKeys() {}

  /** The key of an accepted job. */
  public static String job(String id) {
    return JOB + id;
  }

  /** The key of a task range. */
  public static String range(RangeKey key) {
    return RANGE + key.job() + "/" + key.index();
  }

  /** The key of one part of a shard's machine inventory. */
  public static String inventory(InventoryKey key) {
    return INVENTORY + key.shard() + "/" + key.part();
  }

  /**
   * The key that shows that a machine was adopted by another shard than the one that rented it. The
   * renter's own record of it may still be on its way: it is written on condition that this key is
   * absent.
   */
  public static String orphan(String machine) {
    return ORPHAN + machine;
  }

  /** The key that names the leader of a shard; its version is the shard's epoch. */
  public static String shard(String label) {
    return SHARD + label;
  }

  /** The key that a controller keeps under its lease while it runs. */
  public static String member(String label) {
    return MEMBER + label;
  }

  /** The key of a team's quota shares. Teams' names are escaped, as they may hold any character. */
  public static String quota(String team) {
    return QUOTA + team.replace("%", "%25").replace(" ", "%20").replace("/", "%2F");
  }

  /** The key of the record that says how a job ended. */
  public static String finished(String id) {
    return FINISHED_PREFIX + id;
  }

  /** Takes a key apart; one that this version does not use is a {@link ForeignKey}. */
  public static StateKey parse(String key) {
    if (key.startsWith(JOB)) {
      return new JobKey(key.substring(JOB.length()));
    }
    int slash = key.lastIndexOf('/');
    int index = parseIndex(key, slash + 1);
    if (key.startsWith(RANGE) && slash > RANGE.length() && index >= 0) {
      return new RangeKey(key.substring(RANGE.length(), slash), index);
    }
    if (key.startsWith(INVENTORY) && slash > INVENTORY.length() && index >= 0) {
      return new InventoryKey(key.substring(INVENTORY.length(), slash), index);
    }
    if (key.startsWith(ORPHAN)) {
      return new OrphanKey(key.substring(ORPHAN.length()));
    }
    if (key.startsWith(SHARD)) {
      return new ShardKey(key.substring(SHARD.length()));
    }
    if (key.startsWith(MEMBER)) {
      return new MemberKey(key.substring(MEMBER.length()));
    }
    if (key.startsWith(QUOTA)) {
      return new QuotaKey(unescape(key.substring(QUOTA.length())));
    }
    return new ForeignKey(key);
  }

  private static String unescape(String team) {
    return team.replace("%2F", "/").replace("%20", " ").replace("%25", "%");
  }

  /** The number that a key ends with, or {@link #NO_INDEX}. */
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

  /** Why a foreign key cannot be used. */
  static String whyForeign(String key) {
    return key.startsWith(FORMER_MACHINE)
        ? "a machine's record of the form before, this version keeps machines in rosters"
        : "not one of our keys";
  }
}
