package org.fieldtrestle.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.fieldtrestle.state.QuotaAmount;
import org.junit.jupiter.api.Test;

/** Checks which needs are kept of those that quota shares refuse in a placement pass. */
class QuotaRefusalsTest {
  private static final String TEAM = "limited";
  private static final QuotaAmount FOUR_CPUS = new QuotaAmount(4, 0);
  private static final QuotaAmount TWO_CPUS = new QuotaAmount(2, 0);
  private static final QuotaAmount ONE_CPU_WITH_GPU = new QuotaAmount(1, 1);

  private final QuotaRefusals refusals = new QuotaRefusals();

  @Test
  void smallerNeedReplacesALargerOne() {
    refusals.add(TEAM, FOUR_CPUS);
    assertFalse(refusals.covers(TEAM, TWO_CPUS), "a smaller task may fit where a larger does not");
    refusals.add(TEAM, TWO_CPUS);
    assertTrue(refusals.covers(TEAM, FOUR_CPUS));
    assertEquals(List.of(TWO_CPUS), refusals.needs(TEAM));
  }

  /** A task that lacks a GPU must not hide one that lacks CPUs, nor the other way round. */
  @Test
  void needsOfDifferentResourcesAreKeptBesideEachOther() {
    refusals.add(TEAM, TWO_CPUS);
    refusals.add(TEAM, ONE_CPU_WITH_GPU);
    refusals.add(TEAM, FOUR_CPUS);
    assertEquals(Set.of(TWO_CPUS, ONE_CPU_WITH_GPU), Set.copyOf(refusals.needs(TEAM)));
  }

  @Test
  void nextPassBeginsWithoutNeeds() {
    refusals.add(TEAM, TWO_CPUS);
    assertEquals(List.of(), refusals.needs("other"));
    refusals.clear();
    assertEquals(List.of(), refusals.needs(TEAM));
  }
}
