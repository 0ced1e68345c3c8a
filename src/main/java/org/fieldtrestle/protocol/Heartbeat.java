package org.fieldtrestle.protocol;

import java.util.List;

/**
 * A message that a worker sends regularly to report its own state and the status of its tasks.
 *
 * @param machine name of the machine that the worker runs on
 * @param address host and port where the worker accepts direct commands
 * @param type name of the machine type
 * @param zone the zone that the machine is in
 * @param spot whether this is a spot machine, which the cloud may reclaim
 * @param incarnation number of the worker's current lease, counted from 1; all tasks of the worker
 *     end when a lease ends
 * @param sequence number that orders the heartbeats of one incarnation
 * @param fencingToken the highest fencing token that the worker has seen
 * @param spotNoticeS seconds until the cloud reclaims the machine; negative if it has not announced
 *     that it will
 * @param tasks all tasks on the machine, including exited ones that have not been cleared
 */
public record Heartbeat(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long incarnation,
    long sequence,
    long fencingToken,
    double spotNoticeS,
    List<TaskStatus> tasks) {

  /** Whether the worker sent this heartbeat after the one with the given numbers. */
  public boolean isNewerThan(long otherIncarnation, long otherSequence) {
    return incarnation > otherIncarnation
        || (incarnation == otherIncarnation && sequence > otherSequence);
  }
}
