package org.fieldtrestle.state;

import java.util.Objects;

/**
 * A machine of a shard's inventory.
 *
 * @param shard the owner
 * @param part the part of the owner's inventory that lists it
 * @param type the machine type's name
 * @param zone the zone it is in
 * @param spot whether the cloud may take it back
 * @param bootingSinceWallMs time of day of the rental while the machine boots, 0 afterwards
 * @param upSinceEpoch the owner's epoch in which it came up, 0 while it boots. No task is started
 *     on a machine before this is durable, so that the next leader need not wait for the leases of
 *     machines that were still booting
 */
public record MachineRecord(
    String shard,
    int part,
    String type,
    String zone,
    boolean spot,
    long bootingSinceWallMs,
    long upSinceEpoch) {

  /** Whether it has come up, so that tasks may have been started on it. */
  public boolean isUp() {
    return upSinceEpoch > 0;
  }

  /** The same machine, up since an epoch. */
  public MachineRecord withUpSince(long epoch) {
    return new MachineRecord(shard, part, type, zone, spot, 0, epoch);
  }

  /** Written out, as whole inventories are compared by it. */
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
