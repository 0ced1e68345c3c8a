package org.fieldtrestle.transport;

import java.nio.ByteBuffer;

/** Sends frames to other controllers, without any promise that they arrive. */
public interface PeerSender {
  void send(String address, ByteBuffer frame);
}
