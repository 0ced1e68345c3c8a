package org.fieldtrestle.worker;

import org.fieldtrestle.protocol.TaskId;

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

  /**
   * The token that the next answer to a heartbeat carries, if it is higher than the present one.
   */
  private long requestedToken;

  private boolean directCommandInFlight;
  private final OutstandingStarts starts = new OutstandingStarts();

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
    starts.tokenSeen(seenToken);
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

  /** Records that a direct command with this token may have started an attempt. */
  void recordDirectStart(TaskId task, long attemptNumber, long commandToken) {
    if (commandToken >= seenToken) {
      starts.sentDirectly(task, attemptNumber, commandToken);
    }
  }

  /** Records that the answer to the heartbeat with this sequence starts an attempt. */
  void recordStartInAnswer(TaskId task, long attemptNumber, long heartbeatSequence) {
    starts.sentInAnswer(task, attemptNumber, heartbeatSequence);
  }

  /** Called when a heartbeat was received, before its tasks are looked at. */
  void heartbeatReceived(long sequence) {
    starts.heartbeatReceived(sequence);
  }

  /** Called when the worker has begun an incarnation, in which no earlier command counts. */
  void beginIncarnation() {
    starts.clear();
  }

  /**
   * Whether the absence of the attempt from the worker's newest message proves that it is gone: no
   * command that was sent before can still start it.
   */
  boolean absenceProvesEnd(TaskId task, long attemptNumber) {
    return hasNoCommandInFlight() && !starts.isOnItsWay(task, attemptNumber);
  }

  /**
   * Whether the worker can be told to clear the attempt: no copy of a command can start the attempt
   * again after that. If a copy of a direct command can, a higher token is requested, so that the
   * clear may follow once the worker has seen that token.
   */
  boolean mayClear(TaskId task, long attemptNumber) {
    if (!hasNoCommandInFlight()) {
      return false;
    }
    long neededToken = starts.tokenToFence(task, attemptNumber);
    requestedToken = Math.max(requestedToken, neededToken);
    return seenToken >= neededToken;
  }

  /**
   * Raises the token if that was requested; returns whether it was raised. Called only for answers
   * to heartbeats: the worker waits for one at a time, so that none with the former token can
   * arrive after one with the new token and be dropped.
   */
  boolean raiseIfRequested() {
    if (directCommandInFlight || requestedToken <= token) {
      return false;
    }
    token = requestedToken;
    return true;
  }

  /** Whether no command that was sent can still be executed late. */
  boolean hasNoCommandInFlight() {
    return !directCommandInFlight && isRequiredTokenSeen();
  }
}
