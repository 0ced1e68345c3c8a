package org.fieldtrestle.protocol;

import java.util.List;

/**
 * A worker's message with the status of its tasks.
 *
 * @param machine the machine's name
 * @param address host and port under which the worker takes direct commands
 * @param type the machine type's name
 * @param zone the zone that the machine is in
 * @param spot whether the cloud may take the machine back
 * @param incarnation counts the leases of the worker, from 1; all its tasks end with each
 * @param sequence orders the messages of one incarnation
 * @param fencingToken the highest one that the worker has seen
 * @param spotNoticeS seconds until the cloud takes the machine back; below 0 where it does not
 * @param tasks all tasks on the machine, also exited ones that have not been cleared
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

  /** Whether the worker sent it after the message with these numbers. */
  public boolean newerThan(long otherIncarnation, long otherSequence) {
    return incarnation > otherIncarnation
        || (incarnation == otherIncarnation && sequence > otherSequence);
  }
}
