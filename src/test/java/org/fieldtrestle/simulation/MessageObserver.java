package org.fieldtrestle.simulation;

/**
 * Decides for each message of a controller whether it is delivered at once, delayed or lost. By
 * default, all messages are delivered at once.
 */
interface MessageObserver {
  /** The message is delivered without delay. */
  long NO_DELAY = 0;

  /** Returned in place of a delay: the message is lost, and its sender gives up at its timeout. */
  long LOST = -1;

  /**
   * Called when a controller is about to send a request.
   *
   * @return the delay of the request in milliseconds, or {@link #LOST}
   */
  default long beforeSending(String label, Link link, String path, byte[] body) {
    return NO_DELAY;
  }

  /**
   * Called when the answer to a request is about to reach a controller.
   *
   * @param body body of the request
   * @return the delay of the answer in milliseconds, or {@link #LOST}
   */
  default long beforeAnswer(String label, Link link, String path, byte[] body) {
    return NO_DELAY;
  }

  /**
   * Called when a request of a worker or a user is about to reach a controller.
   *
   * @return the delay of the request in milliseconds, or {@link #LOST}
   */
  default long beforeRequest(String label, String path) {
    return NO_DELAY;
  }
}
