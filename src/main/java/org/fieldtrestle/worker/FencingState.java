package org.fieldtrestle.worker;

/**
 * The fencing token of a worker, and whether a command that was sent to the worker may still be
 * executed late. A worker ignores commands with a lower token than the highest that it has seen.
 */
final class FencingState {
  private long token;
  private long seenToken;

  /**
   * Until the worker has seen this token, no clear command is sent to it, and the absence of a task
   * from its reports proves nothing.
   */
  private long requiredToken;

  private boolean directCommandInFlight;

  FencingState(long firstToken) {
    token = firstToken;
  }

  /** Returns the token that commands to the worker carry. */
  long token() {
    return token;
  }

  /** Returns the highest token that the worker is known to have seen. */
  long seenToken() {
    return seenToken;
  }

  void markSeen(long reportedToken) {
    seenToken = Math.max(seenToken, reportedToken);
  }

  /** Sets the token to a higher one that the worker has seen; commands carry it from now on. */
  void adopt(long reportedToken) {
    token = reportedToken;
  }

  /**
   * Raises the token. Once the worker has seen the new token, it can't execute any command that was
   * sent before.
   */
  void raise() {
    token++;
    requiredToken = token;
  }

  boolean isRequiredTokenSeen() {
    return seenToken >= requiredToken;
  }

  void beginDirectCommand() {
    directCommandInFlight = true;
  }

  void endDirectCommand() {
    directCommandInFlight = false;
  }

  /** Whether no command that was sent can still be executed late. */
  boolean hasNoCommandInFlight() {
    return !directCommandInFlight && isRequiredTokenSeen();
  }
}
