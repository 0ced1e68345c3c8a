package org.fieldtrestle.worker;

import java.util.HashMap;
import java.util.Map;
import org.fieldtrestle.protocol.TaskId;

/**
 * The start commands that a worker can still execute, whether or not it has executed them before.
 *
 * <p>A direct command is executed as often as it is delivered, also minutes after it was answered,
 * until the worker has seen a higher fencing token. The worker ignores a start of an attempt that
 * it knows, but not of one that it was told to clear.
 *
 * <p>An answer to a heartbeat is executed at most once, but it may be on its way until the worker
 * sends the next heartbeat. Messages that the worker sends meanwhile, the answers to direct
 * commands, do not show what it starts.
 */
final class OutstandingStarts {
  private record Start(TaskId task, long attemptNumber) {}

  private final Map<Start, Long> directTokens = new HashMap<>();

  /** The sequences of the heartbeats whose answers carried the starts. */
  private final Map<Start, Long> answeredSequences = new HashMap<>();

  /** Records that a direct command with this fencing token may have started an attempt. */
  void sentDirectly(TaskId task, long attemptNumber, long token) {
    directTokens.merge(new Start(task, attemptNumber), token, Math::max);
  }

  /** Called when the worker is known to have seen a fencing token; lower ones no longer count. */
  void tokenSeen(long seenToken) {
    directTokens.values().removeIf(token -> token < seenToken);
  }

  /** Records that the answer to the heartbeat with this sequence starts an attempt. */
  void sentInAnswer(TaskId task, long attemptNumber, long heartbeatSequence) {
    answeredSequences.merge(new Start(task, attemptNumber), heartbeatSequence, Math::max);
  }

  /**
   * Called when a heartbeat was received. The worker sent it after it had received the answers to
   * all earlier ones or had given up waiting for them.
   */
  void heartbeatReceived(long sequence) {
    answeredSequences.values().removeIf(answered -> answered < sequence);
  }

  /** Called when the worker has begun an incarnation, in which no earlier command counts. */
  void clear() {
    directTokens.clear();
    answeredSequences.clear();
  }

  /** Whether an answer that the worker may still receive starts the attempt. */
  boolean isOnItsWay(TaskId task, long attemptNumber) {
    return answeredSequences.containsKey(new Start(task, attemptNumber));
  }

  /**
   * Returns the lowest token that the worker has to see so that no copy of a direct command can
   * start the attempt; 0 if none can anyway.
   */
  long tokenToFence(TaskId task, long attemptNumber) {
    Long token = directTokens.get(new Start(task, attemptNumber));
    return token == null ? 0 : token + 1;
  }
}
