package org.fieldtrestle.protocol;

/**
 * A message from another controller.
 *
 * @param sentWallMs the sender's time of day in milliseconds when it sent the message; the receiver
 *     ignores the status in a message that the network delayed for too long
 */
public record PeerFrame(long sentWallMs, PeerMessage message) {}
