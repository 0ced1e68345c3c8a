package org.fieldtrestle.transport;

import java.nio.ByteBuffer;

/** Sends frames to other controllers. Delivery is not guaranteed. */
public interface PeerSender {
  /**
   * Sends a frame, or drops it if it cannot be sent immediately.
   *
   * @param address host and port of the receiving controller
   * @param frame the complete frame including its length field; must not be modified afterwards
   */
  void send(String address, ByteBuffer frame);
}
