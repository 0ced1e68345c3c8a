package org.fieldtrestle.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.shard.ShardLeaderFixture;
import org.junit.jupiter.api.Test;

/**
 * Checks the statistics page after a shard leader has refused to start the task of a cancelled job.
 */
class StatsPageTest {
  @Test
  void pageShowsAgesRefusalsAndCancellations() {
    ShardLeaderFixture fixture = new ShardLeaderFixture();
    fixture.reconcile();
    fixture.context.cancellations().cancellationConfirmed(ShardLeaderFixture.LATER_REVISION);
    fixture.commitCancellation();
    fixture.heartbeat();
    JsonNode page = Json.parseOrEmpty(StatsPage.render(fixture.context, List.of(fixture.shard)));
    assertEquals(1, page.path("cancellations").path("notFollowedYet").asInt());
    assertTrue(page.path("startsRefused").path("job_ended").asInt() > 0, page.toString());
    assertEquals(0, page.path("startsRefused").path("fence_closed").asInt(-1));
    assertTrue(page.path("stateAgeMs").asLong(-1) >= 0, page.toString());
    assertTrue(page.path("leaseAgeMs").asLong(-1) >= 0, page.toString());
    assertEquals(1, page.path("fenceOpenings").asInt());
  }
}
