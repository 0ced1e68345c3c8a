package org.fieldtrestle.protocol;

/** Thrown for a peer frame that is damaged or of another protocol. The message names the fault. */
public final class MalformedFrameException extends Exception {
  private static final long serialVersionUID = 1;

  MalformedFrameException(String message) {
    super(message);
  }
}
