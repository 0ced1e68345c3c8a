package org.fieldtrestle.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fieldtrestle.protocol.TaskId;
import org.junit.jupiter.api.Test;

/** Checks when a worker may be told to clear an attempt that a direct command has started. */
class FencingStateTest {
  private static final long FIRST_TOKEN = 100;
  private static final TaskId TASK = new TaskId("job-000001", 0);
  private static final TaskId OTHER_TASK = new TaskId("job-000001", 1);
  private static final long ATTEMPT = 7;

  private final FencingState fencing = new FencingState(FIRST_TOKEN);

  private void startDirectly(TaskId task) {
    fencing.beginDirectCommand();
    fencing.endDirectCommand();
    fencing.recordDirectStart(task, ATTEMPT, fencing.token());
    fencing.markSeen(fencing.token());
  }

  private boolean mayClear(TaskId task) {
    return fencing.mayClear(task, ATTEMPT);
  }

  /** Guards against a clear after which a repeated direct command started the task again. */
  @Test
  void attemptStartedDirectlyIsClearedOnlyOnceAHigherTokenWasSeen() {
    startDirectly(TASK);
    assertFalse(mayClear(TASK));
    assertTrue(fencing.raiseIfRequested());
    assertFalse(mayClear(TASK), "the worker has not shown the token");
    assertFalse(fencing.raiseIfRequested(), "the token was raised before");
    fencing.markSeen(FIRST_TOKEN + 1);
    assertTrue(mayClear(TASK));
  }

  @Test
  void attemptStartedByAnAnswerIsClearedAtOnce() {
    fencing.markSeen(FIRST_TOKEN);
    assertTrue(mayClear(TASK));
    assertFalse(fencing.raiseIfRequested());
    assertEquals(FIRST_TOKEN, fencing.token());
  }

  @Test
  void laterDirectStartsDoNotHoldBackClearsOfEarlierOnes() {
    startDirectly(TASK);
    assertFalse(mayClear(TASK));
    assertTrue(fencing.raiseIfRequested());
    startDirectly(OTHER_TASK);
    assertTrue(mayClear(TASK));
    assertFalse(mayClear(OTHER_TASK));
  }

  @Test
  void tokenIsNotRaisedWhileADirectCommandIsInFlight() {
    startDirectly(TASK);
    assertFalse(mayClear(TASK));
    fencing.beginDirectCommand();
    assertFalse(fencing.raiseIfRequested());
    fencing.endDirectCommand();
    assertTrue(fencing.raiseIfRequested());
  }

  @Test
  void newIncarnationExecutesNoEarlierCommand() {
    startDirectly(TASK);
    fencing.beginIncarnation();
    assertTrue(mayClear(TASK));
  }
}
