package org.fieldtrestle.simulation;

/** Decides what becomes of each message of a controller; by default it goes on at once. */
interface MessageObserver {
  /** The message goes on without delay. */
  long NO_DELAY = 0;

  /** In place of a delay: the message is lost, and its sender gives up at its time-out. */
  long LOST = -1;

  /**
   * A controller is about to send a request.
   *
   * @return by how many ms it is held back, or {@link #LOST}
   */
  default long beforeSending(String label, Link link, String path, byte[] body) {
    return NO_DELAY;
  }

  /**
   * The answer to a request is about to reach a controller.
   *
   * @param body of the request
   * @return by how many ms it is held back, or {@link #LOST}
   */
  default long beforeAnswer(String label, Link link, String path, byte[] body) {
    return NO_DELAY;
  }

  /**
   * A request of a worker or a user is about to reach a controller.
   *
   * @return by how many ms it is held back, or {@link #LOST}
   */
  default long beforeRequest(String label, String path) {
    return NO_DELAY;
  }
}
