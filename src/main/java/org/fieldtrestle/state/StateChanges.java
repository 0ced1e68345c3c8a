package org.fieldtrestle.state;

import java.util.Map;
import org.fieldtrestle.protocol.KeyValueProtocol.Put;

/** Changes of a transaction that write records; keys come from {@link StateKeys}. */
public final class StateChanges {
  private static final long NO_LEASE = 0;

  private StateChanges() {}

  /** Writes an accepted job. */
  public static Put put(String key, JobRecord record) {
    return new Put(key, RecordCodec.encode(record), NO_LEASE);
  }

  /** Writes a task range. */
  public static Put put(String key, RangeRecord record) {
    return new Put(key, RecordCodec.encode(record), NO_LEASE);
  }

  /** Writes which controller leads a shard. */
  public static Put put(String key, ShardRecord record) {
    return new Put(key, RecordCodec.encode(record), NO_LEASE);
  }

  /** Writes a team's quota shares. */
  public static Put put(String key, QuotaRecord record) {
    return new Put(key, RecordCodec.encode(record), NO_LEASE);
  }

  /** Writes how a job ended. */
  public static Put put(String key, FinishedJobRecord record) {
    return new Put(key, RecordCodec.encode(record), NO_LEASE);
  }

  /** Writes a running controller; the key goes with the lease. */
  public static Put put(String key, MemberRecord record, long lease) {
    return new Put(key, RecordCodec.encode(record), lease);
  }

  /** Writes one part of a shard's machine inventory: its machines by name. */
  public static Put putInventory(String key, Map<String, MachineRecord> machines) {
    return new Put(key, RecordCodec.encodeInventory(machines), NO_LEASE);
  }

  /** Writes that a shard has adopted a machine. */
  public static Put putOrphan(String key, String shard) {
    return new Put(key, RecordCodec.encodeOrphan(shard), NO_LEASE);
  }
}
