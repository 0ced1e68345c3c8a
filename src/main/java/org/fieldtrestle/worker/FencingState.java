package org.fieldtrestle.worker;

/**
 * The fencing token of one worker, and whether a command that was sent to it may still be executed
 * late. A worker ignores commands with a lower token than it has seen.
 */
final class FencingState {
  private long token;
  private long seenToken;

  /** No clear and no conclusion from absence before the worker has seen this token. */
  private long requiredToken;

  private boolean directCommandInFlight;

  FencingState(long firstToken) {
    token = firstToken;
  }

  /** The token that commands to the worker carry. */
  long token() {
    return token;
  }

  /** The highest token that the worker is known to have seen. */
  long seenToken() {
    return seenToken;
  }

  void markSeen(long shownToken) {
    seenToken = Math.max(seenToken, shownToken);
  }

  /** The worker has seen a higher token than the one it was sent: it gets that one from now on. */
  void adopt(long shownToken) {
    token = shownToken;
  }

  /** Once the worker has seen the new token, no command sent before it can be executed. */
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

  /** Whether nothing that was sent can still be executed late. */
  boolean hasNoCommandInFlight() {
    return !directCommandInFlight && isRequiredTokenSeen();
  }
}
