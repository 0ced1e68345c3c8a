package org.fieldtrestle.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.fieldtrestle.controller.StatsPage;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.shard.ShardLeaderFixture;
import org.junit.jupiter.api.Test;

/** What is counted of cancellations, and where those on call see it. */
class CancellationNoticesTest {
  private final CancellationNotices cancellations = new CancellationNotices();

  @Test
  void aConfirmedCancellationCountsAsNotFollowedUntilItsRevisionIs() {
    cancellations.appliedRevision(10);
    cancellations.confirmed(12);
    cancellations.confirmed(11);
    cancellations.confirmed(9);
    assertEquals(3, cancellations.confirmedCount());
    assertEquals(2, cancellations.notFollowedCount());
    cancellations.appliedRevision(11);
    assertEquals(1, cancellations.notFollowedCount());
    cancellations.appliedRevision(12);
    assertEquals(0, cancellations.notFollowedCount());
  }

  @Test
  void howManyAreCountedAsNotFollowedIsBounded() {
    for (int i = 0; i < 20_000; i++) {
      cancellations.confirmed(i);
    }
    assertEquals(20_000, cancellations.confirmedCount());
    assertEquals(10_000, cancellations.notFollowedCount());
  }

  @Test
  void aNoticeIsRememberedByItsJob() {
    cancellations.heard("job-1");
    assertTrue(cancellations.wasHeard("job-1"));
    assertFalse(cancellations.wasHeard("job-2"));
  }

  @Test
  void theStatsPageShowsAgesRefusalsAndCancellations() {
    ShardLeaderFixture fixture = new ShardLeaderFixture();
    fixture.showToken();
    fixture.context.cancellations().confirmed(ShardLeaderFixture.LATER_REVISION);
    fixture.commitCancellation();
    fixture.report();
    JsonNode page = Json.parseOrEmpty(StatsPage.render(fixture.context, List.of(fixture.shard)));
    assertEquals(1, page.path("cancellations").path("notFollowedYet").asInt());
    assertTrue(page.path("startsRefused").path("job_ended").asInt() > 0, page.toString());
    assertEquals(0, page.path("startsRefused").path("fence_closed").asInt(-1));
    assertTrue(page.path("stateAgeMs").asLong(-1) >= 0, page.toString());
    assertTrue(page.path("leaseAgeMs").asLong(-1) >= 0, page.toString());
    assertEquals(1, page.path("fenceOpenings").asInt());
  }
}
