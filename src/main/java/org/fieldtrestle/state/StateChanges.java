package org.fieldtrestle.state;

import java.util.Map;
import org.fieldtrestle.protocol.KeyValueProtocol.Put;

/** Builds the changes of a transaction that write records; the keys come from {@link StateKeys}. */
public final class StateChanges {
  private static final long NO_LEASE = 0;

  private StateChanges() {}

  /** Returns the change that writes an accepted job. */
  public static Put put(String key, JobRecord record) {
    return new Put(key, RecordCodec.encode(record), NO_LEASE);
  }

  /** Returns the change that writes a task range. */
  public static Put put(String key, RangeRecord record) {
    return new Put(key, RecordCodec.encode(record), NO_LEASE);
  }

  /** Returns the change that writes which controller leads a shard. */
  public static Put put(String key, ShardRecord record) {
    return new Put(key, RecordCodec.encode(record), NO_LEASE);
  }

  /** Returns the change that writes a team's quota shares. */
  public static Put put(String key, QuotaRecord record) {
    return new Put(key, RecordCodec.encode(record), NO_LEASE);
  }

  /** Returns the change that writes how a job ended. */
  public static Put put(String key, FinishedJobRecord record) {
    return new Put(key, RecordCodec.encode(record), NO_LEASE);
  }

  /** Returns the change that writes a running controller; the key is deleted with the lease. */
  public static Put put(String key, MemberRecord record, long leaseId) {
    return new Put(key, RecordCodec.encode(record), leaseId);
  }

  /** Returns the change that writes one part of a machine inventory: its machines by name. */
  public static Put putInventory(String key, Map<String, MachineRecord> machines) {
    return new Put(key, RecordCodec.encodeInventory(machines), NO_LEASE);
  }

  /** Returns the change that writes that a shard has adopted a machine. */
  public static Put putOrphan(String key, String shard) {
    return new Put(key, RecordCodec.encodeOrphan(shard), NO_LEASE);
  }
}
