package org.fieldtrestle.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.worker.TaskAttempt;
import org.junit.jupiter.api.Test;

/**
 * Checks which commands a shard leader gives to its workers after the state cache has changed, but
 * before the message about the change has been handled. The shard leader gets no such message here,
 * so it has to look at the state cache whenever it acts.
 */
class ShardLeaderDecisionTest {
  private final ShardLeaderFixture fixture = new ShardLeaderFixture();

  @Test
  void tasksOfALiveJobAreStarted() {
    fixture.reconcile();
    assertEquals(
        ShardLeaderFixture.TASKS, ShardLeaderFixture.countCommands(fixture.heartbeat(), "start"));
  }

  @Test
  void noTaskIsPlacedOnceThisControllerHasCommittedTheCancellation() {
    fixture.reconcile();
    fixture.commitCancellation();
    assertEquals(0, ShardLeaderFixture.countCommands(fixture.heartbeat(), "start"));
    assertEquals(0, fixture.context.metrics().placed());
  }

  @Test
  void noTaskIsPlacedOnceAnotherControllerHasReportedTheCancellation() {
    fixture.reconcile();
    fixture.context.cancellations().noticeReceived(ShardLeaderFixture.JOB);
    assertEquals(0, ShardLeaderFixture.countCommands(fixture.heartbeat(), "start"));
    assertEquals(0, fixture.context.metrics().placed());
  }

  @Test
  void aStartedTaskIsStoppedAndNotStartedAgainAfterTheCancellation() {
    fixture.reconcile();
    fixture.heartbeat();
    assertEquals(
        ShardLeaderFixture.TASKS,
        ShardLeaderFixture.countCommands(fixture.heartbeat(), "start"),
        "the start commands are repeated");
    fixture.commitCancellation();
    assertEquals(0, ShardLeaderFixture.countCommands(fixture.heartbeat(), "start"));
    assertEquals(ShardLeaderFixture.TASKS, fixture.range().placed().size());
    assertEquals(
        ShardLeaderFixture.TASKS, ShardLeaderFixture.countCommands(fixture.heartbeat(), "stop"));
  }

  /** A task in its grace period is stopped immediately when its job is cancelled. */
  @Test
  void cancellationReplacesAStopWithGracePeriodByAnImmediateStop() {
    fixture.reconcile();
    fixture.heartbeat();
    fixture.heartbeatWithRunningTasks();
    for (TaskAttempt task : fixture.range().placed().values()) {
      fixture.shard.commands().stop(task, 20);
    }
    assertEquals(
        ShardLeaderFixture.TASKS,
        ShardLeaderFixture.countCommands(fixture.heartbeatWithRunningTasks(), "stop"));
    fixture.commitCancellation();
    assertEquals(
        ShardLeaderFixture.TASKS,
        ShardLeaderFixture.countCommands(fixture.heartbeatWithRunningTasks(), "stop"));
    assertEquals(ShardLeaderFixture.TASKS, fixture.range().placed().size());
    for (TaskAttempt task : fixture.range().placed().values()) {
      assertEquals(0, task.graceS());
    }
  }

  @Test
  void aStartIsNotRepeatedWhileTheJobsRecordCannotBeRead() {
    fixture.reconcile();
    fixture.heartbeat();
    fixture.commit(StateKeys.job(ShardLeaderFixture.JOB), Json.object());
    assertEquals(0, ShardLeaderFixture.countCommands(fixture.heartbeat(), "start"));
    assertEquals(
        0,
        ShardLeaderFixture.countCommands(fixture.heartbeat(), "stop"),
        "the record may become readable again");
  }

  @Test
  void noHeartbeatIsAcknowledgedOnceALaterEpochHasBegun() {
    fixture.reconcile();
    assertEquals(200, fixture.heartbeat().status());
    fixture.commitLaterEpoch();
    assertEquals(503, fixture.heartbeat().status());
  }

  @Test
  void noHeartbeatIsAcknowledgedOnceTheStateCacheIsTooOld() {
    fixture.reconcile();
    fixture.network.startKeyValueStoreOutage(60_000);
    fixture.network.runFor(fixture.context.settings().controllerLeaseMs() / 2);
    assertEquals(200, fixture.heartbeat().status());
    fixture.network.runFor(fixture.context.settings().controllerLeaseMs() / 2);
    assertEquals(503, fixture.heartbeat().status());
  }
}
