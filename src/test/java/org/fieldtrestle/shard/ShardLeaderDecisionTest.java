package org.fieldtrestle.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.state.Records;
import org.fieldtrestle.worker.TaskAttempt;
import org.junit.jupiter.api.Test;

/**
 * What a shard tells its workers between a change of the state and the message about it. Nothing is
 * told to the shard here: it has to ask when it acts.
 */
class ShardLeaderDecisionTest {
  private final ShardLeaderFixture fixture = new ShardLeaderFixture();

  @Test
  void tasksOfALiveJobAreStarted() {
    fixture.showToken();
    assertEquals(ShardLeaderFixture.TASKS, ShardLeaderFixture.orders(fixture.report(), "start"));
  }

  @Test
  void nothingIsPlacedOfAJobWhoseCancellationWasCommittedHere() {
    fixture.showToken();
    fixture.commitCancellation();
    assertEquals(0, ShardLeaderFixture.orders(fixture.report(), "start"));
    assertEquals(0, fixture.context.metrics().placed());
  }

  @Test
  void nothingIsPlacedOfAJobThatAnotherControllerSaysIsCancelled() {
    fixture.showToken();
    fixture.context.cancellations().heard(ShardLeaderFixture.JOB);
    assertEquals(0, ShardLeaderFixture.orders(fixture.report(), "start"));
    assertEquals(0, fixture.context.metrics().placed());
  }

  @Test
  void aStartThatWasOrderedIsNotRepeatedAfterTheCancellationButStopped() {
    fixture.showToken();
    fixture.report();
    assertEquals(
        ShardLeaderFixture.TASKS, ShardLeaderFixture.orders(fixture.report(), "start"), "repeated");
    fixture.commitCancellation();
    assertEquals(0, ShardLeaderFixture.orders(fixture.report(), "start"));
    assertEquals(ShardLeaderFixture.TASKS, fixture.range().placed().size());
    assertEquals(ShardLeaderFixture.TASKS, ShardLeaderFixture.orders(fixture.report(), "stop"));
  }

  /** A task that was given time to save is stopped at once when its job is cancelled. */
  @Test
  void aStopWithTimeToSaveBecomesOneWithout() {
    fixture.showToken();
    fixture.report();
    fixture.reportRunning();
    for (TaskAttempt task : fixture.range().placed().values()) {
      fixture.shard.commands().stop(task, 20);
    }
    assertEquals(
        ShardLeaderFixture.TASKS, ShardLeaderFixture.orders(fixture.reportRunning(), "stop"));
    fixture.commitCancellation();
    assertEquals(
        ShardLeaderFixture.TASKS, ShardLeaderFixture.orders(fixture.reportRunning(), "stop"));
    assertEquals(ShardLeaderFixture.TASKS, fixture.range().placed().size());
    for (TaskAttempt task : fixture.range().placed().values()) {
      assertEquals(0, task.graceS());
    }
  }

  @Test
  void aStartThatWasOrderedIsNotRepeatedWhileTheJobsRecordCannotBeRead() {
    fixture.showToken();
    fixture.report();
    fixture.commit(Records.job(ShardLeaderFixture.JOB), Json.object());
    assertEquals(0, ShardLeaderFixture.orders(fixture.report(), "start"));
    assertEquals(
        0, ShardLeaderFixture.orders(fixture.report(), "stop"), "it may still be read again");
  }

  @Test
  void noReportIsAcknowledgedOnceALaterEpochHasBegun() {
    fixture.showToken();
    assertEquals(200, fixture.report().status());
    fixture.commitLaterEpoch();
    assertEquals(503, fixture.report().status());
  }

  @Test
  void noReportIsAcknowledgedOnceTheFollowedStateIsTooOld() {
    fixture.showToken();
    fixture.network.stateOutage(60_000);
    fixture.network.runFor(fixture.context.settings().stateLeaseMs() / 2);
    assertEquals(200, fixture.report().status());
    fixture.network.runFor(fixture.context.settings().stateLeaseMs() / 2);
    assertEquals(503, fixture.report().status());
  }
}
