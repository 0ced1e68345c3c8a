package org.fieldtrestle.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.fieldtrestle.worker.TaskAttempt;
import org.junit.jupiter.api.Test;

/**
 * Checks what a shard leader concludes about tasks whose start commands are in an answer to a
 * heartbeat that has not reached the worker yet, while direct commands reach it.
 */
class HeldAnswerTest {
  private final ShardLeaderFixture fixture = new ShardLeaderFixture();

  /** Lets an answer to a heartbeat start all tasks; the worker has not received this answer. */
  private List<TaskAttempt> startWithAnswerOnItsWay() {
    fixture.reconcile();
    assertEquals(
        ShardLeaderFixture.TASKS, ShardLeaderFixture.countCommands(fixture.heartbeat(), "start"));
    return List.copyOf(fixture.range().placed().values());
  }

  private void stopByDirectCommand(List<TaskAttempt> attempts) {
    fixture.serveDirectCommands();
    attempts.forEach(attempt -> fixture.shard.commands().stop(attempt, 0));
    fixture.shard.tell(new ShardLeader.Tick());
    fixture.network.runFor(500);
    assertTrue(
        fixture.directCommands().stream().anyMatch(body -> body.contains("\"stop\"")),
        "the tasks were stopped directly");
  }

  /**
   * Guards against a fault in which the answer to a direct stop, which showed no task, was taken
   * for the end of the task, although the answer that starts it could still arrive.
   */
  @Test
  void stoppedTaskIsNotGoneWhileTheAnswerThatStartsItIsOnItsWay() {
    List<TaskAttempt> attempts = startWithAnswerOnItsWay();
    stopByDirectCommand(attempts);
    assertEquals(attempts, List.copyOf(fixture.range().placed().values()));
    assertEquals(0, fixture.range().waitingCount(), "the tasks may not start elsewhere");
    assertEquals(
        attempts.size() * 4.0, fixture.shard.workers().teamUsage().cpus("open"), "CPUs in use");
    assertTrue(fixture.context.metrics().absentButMayStart() > 0);
  }

  @Test
  void stoppedTaskIsGoneOnceAHeartbeatFollowsTheAnswerThatStartsIt() {
    List<TaskAttempt> attempts = startWithAnswerOnItsWay();
    stopByDirectCommand(attempts);
    // The worker sends a heartbeat only once it no longer waits for the answer to the last one.
    fixture.heartbeat();
    for (TaskAttempt attempt : fixture.range().placed().values()) {
      assertTrue(!attempts.contains(attempt), "only new attempts are placed: " + attempt);
    }
  }
}
