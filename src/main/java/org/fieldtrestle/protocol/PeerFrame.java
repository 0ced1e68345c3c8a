package org.fieldtrestle.protocol;

/**
 * A message and the sender's time of day in ms: one that the network has held for long says nothing
 * of now.
 */
public record PeerFrame(long sentWallMs, PeerMessage message) {}
