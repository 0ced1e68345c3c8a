package org.fieldtrestle.state;

import java.util.Objects;

/**
 * A machine of a shard's inventory.
 *
 * @param shard the shard that owns the machine
 * @param part the part of that shard's inventory that lists the machine
 * @param type the name of the machine type
 * @param zone the zone in which the machine is
 * @param spot whether the cloud may take the machine back
 * @param bootingSinceWallMs time of day of the rental in milliseconds while the machine boots, 0
 *     afterwards
 * @param upSinceEpoch the owning shard's epoch in which the machine came up, 0 while it boots. No
 *     task is started on a machine before this value is stored, so that the next shard leader need
 *     not wait for the leases of machines that were still booting
 */
public record MachineRecord(
    String shard,
    int part,
    String type,
    String zone,
    boolean spot,
    long bootingSinceWallMs,
    long upSinceEpoch) {

  /** Returns whether the machine has come up, so that tasks may have been started on it. */
  public boolean isUp() {
    return upSinceEpoch > 0;
  }

  /** Returns a copy of this record for a machine that came up in the given epoch. */
  public MachineRecord withUpSince(long epoch) {
    return new MachineRecord(shard, part, type, zone, spot, 0, epoch);
  }

  /** Written by hand for speed, because whole inventories are compared with it. */
  @Override
  public boolean equals(Object other) {
    return other instanceof MachineRecord that
        && part == that.part
        && spot == that.spot
        && bootingSinceWallMs == that.bootingSinceWallMs
        && upSinceEpoch == that.upSinceEpoch
        && shard.equals(that.shard)
        && type.equals(that.type)
        && zone.equals(that.zone);
  }

  @Override
  public int hashCode() {
    return Objects.hash(shard, part, type, zone, spot, bootingSinceWallMs, upSinceEpoch);
  }
}
