package org.fieldtrestle.transport;

import java.nio.ByteBuffer;

/** Sends frames to other controllers; any frame may be lost. */
public interface PeerSender {
  /**
   * Sends a frame, or drops it if that is not possible at once.
   *
   * @param address host and port of the receiver
   * @param frame the whole frame with its length; must not be changed afterwards
   */
  void send(String address, ByteBuffer frame);
}
