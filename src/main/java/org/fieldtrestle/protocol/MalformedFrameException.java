package org.fieldtrestle.protocol;

/** A peer frame that is damaged or of another protocol; the message says which part of it. */
public final class MalformedFrameException extends Exception {
  private static final long serialVersionUID = 1;

  MalformedFrameException(String message) {
    super(message);
  }
}
