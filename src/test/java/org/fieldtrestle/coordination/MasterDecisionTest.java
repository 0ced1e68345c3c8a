package org.fieldtrestle.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.fieldtrestle.bookkeeping.Records;
import org.fieldtrestle.protocol.Json;
import org.junit.jupiter.api.Test;

/**
 * What a master tells its workers between a change of the state and the message about it. Nothing
 * is told to the master here: it has to ask when it acts.
 */
class MasterDecisionTest {
  private final MasterFixture fixture = new MasterFixture();

  @Test
  void tasksOfALiveJobAreStarted() {
    fixture.showToken();
    assertEquals(MasterFixture.TASKS, MasterFixture.orders(fixture.report(), "start"));
  }

  @Test
  void nothingIsPlacedOfAJobWhoseCancellationWasCommittedHere() {
    fixture.showToken();
    fixture.commitCancellation();
    assertEquals(0, MasterFixture.orders(fixture.report(), "start"));
    assertEquals(0, fixture.node.stats().placed);
  }

  @Test
  void nothingIsPlacedOfAJobThatAnotherControllerSaysIsCancelled() {
    fixture.showToken();
    fixture.node.cancellations().heard(MasterFixture.JOB);
    assertEquals(0, MasterFixture.orders(fixture.report(), "start"));
    assertEquals(0, fixture.node.stats().placed);
  }

  @Test
  void aStartThatWasOrderedIsNotRepeatedAfterTheCancellationButStopped() {
    fixture.showToken();
    fixture.report();
    assertEquals(MasterFixture.TASKS, MasterFixture.orders(fixture.report(), "start"), "repeated");
    fixture.commitCancellation();
    assertEquals(0, MasterFixture.orders(fixture.report(), "start"));
    assertEquals(MasterFixture.TASKS, fixture.range().placed.size());
    assertEquals(MasterFixture.TASKS, MasterFixture.orders(fixture.report(), "stop"));
  }

  /** A task that was given time to save is stopped at once when its job is cancelled. */
  @Test
  void aStopWithTimeToSaveBecomesOneWithout() {
    fixture.showToken();
    fixture.report();
    fixture.reportRunning();
    for (PlacedTask task : fixture.range().placed.values()) {
      fixture.master.stop(task, 20);
    }
    assertEquals(MasterFixture.TASKS, MasterFixture.orders(fixture.reportRunning(), "stop"));
    fixture.commitCancellation();
    assertEquals(MasterFixture.TASKS, MasterFixture.orders(fixture.reportRunning(), "stop"));
    assertEquals(MasterFixture.TASKS, fixture.range().placed.size());
    for (PlacedTask task : fixture.range().placed.values()) {
      assertEquals(0, task.graceS);
    }
  }

  @Test
  void aStartThatWasOrderedIsNotRepeatedWhileTheJobsRecordCannotBeRead() {
    fixture.showToken();
    fixture.report();
    fixture.commit(Records.job(MasterFixture.JOB), Json.object());
    assertEquals(0, MasterFixture.orders(fixture.report(), "start"));
    assertEquals(0, MasterFixture.orders(fixture.report(), "stop"), "it may still be read again");
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
    fixture.network.runFor(fixture.node.settings().stateLeaseMs() / 2);
    assertEquals(200, fixture.report().status());
    fixture.network.runFor(fixture.node.settings().stateLeaseMs() / 2);
    assertEquals(503, fixture.report().status());
  }
}
