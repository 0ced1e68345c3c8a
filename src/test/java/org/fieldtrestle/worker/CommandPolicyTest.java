package org.fieldtrestle.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fieldtrestle.metrics.StartRefusal;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.shard.ShardLeader;
import org.fieldtrestle.shard.ShardLeaderFixture;
import org.fieldtrestle.state.RangeRecord;
import org.fieldtrestle.state.RecordCodec;
import org.fieldtrestle.state.StateKey;
import org.fieldtrestle.state.StateKeys;
import org.junit.jupiter.api.Test;

/** Tests, one by one, the reasons why a task may not be started or must be stopped. */
class CommandPolicyTest {
  private final ShardLeaderFixture fixture = new ShardLeaderFixture();
  private final CommandPolicy policy = fixture.policy();
  private final TaskRange range = fixture.range();

  @Test
  void aTaskOfALiveJobMayStart() {
    assertNull(policy.startRefusal(range));
    assertFalse(policy.mustStop(range));
    assertTrue(policy.mayAcknowledge());
  }

  @Test
  void aCancellationCommittedHereCountsBeforeItIsFollowed() {
    fixture.commitCancellation();
    assertTrue(fixture.context.stateCache().appliedRevision() < ShardLeaderFixture.LATER_REVISION);
    assertEquals(StartRefusal.JOB_ENDED, policy.startRefusal(range));
    assertTrue(policy.mustStop(range));
  }

  /** The range's record may be written later than the job's end, in a separate transaction. */
  @Test
  void aJobThatWasSeenAndIsAbsentHasEndedWhateverTheVersionOfItsRange() {
    range.followRecord(range.record(), ShardLeaderFixture.LATER_REVISION * 2);
    fixture.commitCancellation();
    assertTrue(policy.mustStop(range));
  }

  @Test
  void aJobThatWasNeverSeenHasEndedOnlyOnceTheWriteOfItsRangeIsFollowed() {
    StateKey.RangeKey key = new StateKey.RangeKey("job-000002", 0);
    RangeRecord record = fixture.context.stateCache().range(ShardLeaderFixture.RANGE).record();
    fixture.commit(StateKeys.range(key), RecordCodec.encode(record));
    TaskRange unseen = new TaskRange(key, record, ShardLeaderFixture.LATER_REVISION, false, 0);
    assertEquals(StartRefusal.JOB_UNKNOWN, policy.startRefusal(unseen));
    assertFalse(policy.mustStop(unseen));
    unseen.followRecord(record, fixture.context.stateCache().appliedRevision());
    assertEquals(StartRefusal.JOB_ENDED, policy.startRefusal(unseen));
    assertTrue(policy.mustStop(unseen));
  }

  @Test
  void aCancellationNoticeOfAnotherControllerRefusesStarts() {
    fixture.context.cancellations().noticeReceived(ShardLeaderFixture.JOB);
    assertEquals(StartRefusal.JOB_CANCELLED, policy.startRefusal(range));
    assertTrue(policy.mustStop(range));
  }

  @Test
  void aCancellationNoticeCountsForARangeHoweverManyOthersFollow() {
    fixture.context.cancellations().noticeReceived(ShardLeaderFixture.JOB);
    fixture.shard.tell(new ShardLeader.JobCancelled(ShardLeaderFixture.JOB));
    fixture.network.runFor(1);
    for (int i = 0; i < 30_000; i++) {
      fixture.context.cancellations().noticeReceived("job-" + (100_000 + i));
    }
    assertFalse(
        fixture.context.cancellations().hasNotice(ShardLeaderFixture.JOB),
        "later notices have displaced it");
    assertEquals(StartRefusal.JOB_CANCELLED, policy.startRefusal(range));
    assertTrue(policy.mustStop(range));
  }

  @Test
  void aCancellationNoticeForAnUnknownJobIsOnlyCounted() {
    fixture.context.cancellations().noticeReceived("job-999999");
    assertNull(policy.startRefusal(range));
    assertEquals(1, fixture.context.cancellations().receivedNoticeCount());
  }

  @Test
  void anUnreadableJobIsNeitherStartedNorStopped() {
    fixture.commit(StateKeys.job(ShardLeaderFixture.JOB), Json.object().put("f", 99));
    assertEquals(StartRefusal.JOB_UNKNOWN, policy.startRefusal(range));
    assertFalse(policy.mustStop(range));
  }

  @Test
  void aRangeThatWasReassignedIsRefused() {
    RangeRecord record = fixture.context.stateCache().range(ShardLeaderFixture.RANGE).record();
    fixture.commit(
        StateKeys.range(ShardLeaderFixture.RANGE),
        RecordCodec.encode(record.withOwner("trestle-1", 1)));
    assertEquals(StartRefusal.RANGE_NOT_OURS, policy.startRefusal(range));
  }

  @Test
  void aRangeGivenToALaterEpochIsRefused() {
    RangeRecord record = fixture.context.stateCache().range(ShardLeaderFixture.RANGE).record();
    fixture.commit(
        StateKeys.range(ShardLeaderFixture.RANGE),
        RecordCodec.encode(record.withOwner("trestle-0", ShardLeaderFixture.LATER_REVISION)));
    assertEquals(StartRefusal.RANGE_NOT_OURS, policy.startRefusal(range));
  }

  @Test
  void aLaterEpochOfTheShardEndsThisOne() {
    fixture.commitLaterEpoch();
    assertEquals(StartRefusal.SUPERSEDED, policy.startRefusal(range));
    assertFalse(policy.mayAcknowledge());
  }

  @Test
  void theFenceClosesWithoutAnswersOfTheKeyValueStore() {
    fixture.network.startKeyValueStoreOutage(60_000);
    fixture.network.runFor(fixture.context.settings().controllerLeaseMs() + 1000);
    assertEquals(StartRefusal.FENCE_CLOSED, policy.startRefusal(range));
    assertFalse(policy.mayAcknowledge());
    fixture.network.runFor(60_000);
    assertNull(policy.startRefusal(range), "the fence opens again once the store answers");
  }

  @Test
  void refusalsAreCountedByReason() {
    fixture.commitCancellation();
    assertFalse(policy.mayStart(range));
    assertFalse(policy.mayStart(range));
    assertEquals(2, fixture.context.metrics().startsRefused(StartRefusal.JOB_ENDED));
  }
}
