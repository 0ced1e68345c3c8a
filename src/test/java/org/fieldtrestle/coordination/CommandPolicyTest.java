package org.fieldtrestle.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fieldtrestle.bookkeeping.Records;
import org.fieldtrestle.coordination.CommandPolicy.StartRefusal;
import org.fieldtrestle.protocol.Json;
import org.junit.jupiter.api.Test;

/** Each reason for which a task may not be started or has to be stopped, by itself. */
class CommandPolicyTest {
  private final MasterFixture fixture = new MasterFixture();
  private final CommandPolicy policy = fixture.policy();
  private final OwnedRange range = fixture.range();

  @Test
  void aTaskOfALiveJobMayStart() {
    assertNull(policy.startRefusal(range));
    assertFalse(policy.mustStop(range));
    assertTrue(policy.mayAcknowledge());
  }

  @Test
  void aCancellationCommittedHereCountsBeforeItIsFollowed() {
    fixture.commitCancellation();
    assertTrue(fixture.node.view().followed() < MasterFixture.LATER_REVISION);
    assertEquals(StartRefusal.JOB_ENDED, policy.startRefusal(range));
    assertTrue(policy.mustStop(range));
  }

  /** The range's record may be written later than the job's end, in a transaction of its own. */
  @Test
  void aJobThatWasSeenAndIsAbsentHasEndedWhateverTheVersionOfItsRange() {
    range.version = MasterFixture.LATER_REVISION * 2;
    fixture.commitCancellation();
    assertTrue(policy.mustStop(range));
  }

  @Test
  void aJobThatWasNeverSeenHasEndedOnlyOnceTheRangesWritingIsFollowed() {
    Records.RangeKey key = new Records.RangeKey("job-000002", 0);
    Records.Range record = fixture.node.view().range(MasterFixture.RANGE).record();
    fixture.commit(Records.range(key), Records.write(record));
    OwnedRange unseen = new OwnedRange(key, record, MasterFixture.LATER_REVISION, false, 0);
    assertEquals(StartRefusal.JOB_UNKNOWN, policy.startRefusal(unseen));
    assertFalse(policy.mustStop(unseen));
    unseen.version = fixture.node.view().followed();
    assertEquals(StartRefusal.JOB_ENDED, policy.startRefusal(unseen));
    assertTrue(policy.mustStop(unseen));
  }

  @Test
  void aNoticeOfAnotherControllerCounts() {
    fixture.node.cancellations().heard(MasterFixture.JOB);
    assertEquals(StartRefusal.JOB_CANCELLED, policy.startRefusal(range));
    assertTrue(policy.mustStop(range));
  }

  @Test
  void aNoticeCountsForARangeHoweverManyOthersFollowIt() {
    fixture.node.cancellations().heard(MasterFixture.JOB);
    fixture.master.tell(new Master.Cancelled(MasterFixture.JOB));
    fixture.network.runFor(1);
    for (int i = 0; i < 30_000; i++) {
      fixture.node.cancellations().heard("job-" + (100_000 + i));
    }
    assertFalse(fixture.node.cancellations().wasHeard(MasterFixture.JOB), "forgotten by itself");
    assertEquals(StartRefusal.JOB_CANCELLED, policy.startRefusal(range));
    assertTrue(policy.mustStop(range));
  }

  @Test
  void aNoticeForAnUnknownJobChangesNothingElseAndIsCounted() {
    fixture.node.cancellations().heard("job-999999");
    assertNull(policy.startRefusal(range));
    assertEquals(1, fixture.node.cancellations().heardCount());
  }

  @Test
  void anUnreadableJobIsNeitherStartedNorStopped() {
    fixture.commit(Records.job(MasterFixture.JOB), Json.object().put("f", 99));
    assertEquals(StartRefusal.JOB_UNKNOWN, policy.startRefusal(range));
    assertFalse(policy.mustStop(range));
  }

  @Test
  void aRangeThatWasHandedOverIsNotOurs() {
    Records.Range record = fixture.node.view().range(MasterFixture.RANGE).record();
    fixture.commit(
        Records.range(MasterFixture.RANGE), Records.write(record.ownedBy("trestle-1", 1)));
    assertEquals(StartRefusal.RANGE_NOT_OURS, policy.startRefusal(range));
  }

  @Test
  void aRangeGivenToALaterEpochIsNotOurs() {
    Records.Range record = fixture.node.view().range(MasterFixture.RANGE).record();
    fixture.commit(
        Records.range(MasterFixture.RANGE),
        Records.write(record.ownedBy("trestle-0", MasterFixture.LATER_REVISION)));
    assertEquals(StartRefusal.RANGE_NOT_OURS, policy.startRefusal(range));
  }

  @Test
  void aLaterEpochOfTheMasterEndsThisOne() {
    fixture.commitLaterEpoch();
    assertEquals(StartRefusal.SUPERSEDED, policy.startRefusal(range));
    assertFalse(policy.mayAcknowledge());
  }

  @Test
  void theFenceClosesWithoutWordOfTheStateService() {
    fixture.network.stateOutage(60_000);
    fixture.network.runFor(fixture.node.settings().stateLeaseMs() + 1000);
    assertEquals(StartRefusal.FENCE_CLOSED, policy.startRefusal(range));
    assertFalse(policy.mayAcknowledge());
    fixture.network.runFor(60_000);
    assertNull(policy.startRefusal(range), "it opens again by itself");
  }

  @Test
  void refusalsAreCountedByReason() {
    fixture.commitCancellation();
    assertFalse(policy.mayStart(range));
    assertFalse(policy.mayStart(range));
    assertEquals(2, fixture.node.stats().startsRefused.get(StartRefusal.JOB_ENDED));
  }
}
