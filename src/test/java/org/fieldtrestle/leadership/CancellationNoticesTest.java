package org.fieldtrestle.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the counts of confirmed cancellations and the notices of other controllers. */
class CancellationNoticesTest {
  private final CancellationNotices cancellations = new CancellationNotices();

  @Test
  void confirmedCancellationIsCountedAsUnappliedUntilTheWatchReachesItsRevision() {
    cancellations.revisionApplied(10);
    cancellations.cancellationConfirmed(12);
    cancellations.cancellationConfirmed(11);
    cancellations.cancellationConfirmed(9);
    assertEquals(3, cancellations.confirmedCount());
    assertEquals(2, cancellations.unappliedCount());
    cancellations.revisionApplied(11);
    assertEquals(1, cancellations.unappliedCount());
    cancellations.revisionApplied(12);
    assertEquals(0, cancellations.unappliedCount());
  }

  @Test
  void countOfUnappliedCancellationsIsBounded() {
    for (int i = 0; i < 20_000; i++) {
      cancellations.cancellationConfirmed(i);
    }
    assertEquals(20_000, cancellations.confirmedCount());
    assertEquals(10_000, cancellations.unappliedCount());
  }

  @Test
  void noticeIsRememberedByJob() {
    cancellations.noticeReceived("job-1");
    assertTrue(cancellations.hasNotice("job-1"));
    assertFalse(cancellations.hasNotice("job-2"));
  }
}
