package org.fieldtrestle.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;

/** Tests that keys are parsed as they were built. */
class StateKeysTest {
  @Property(tries = 300, seed = "14")
  void keysAreParsedAsTheyWereBuilt(
      @ForAll @IntRange(max = 999_999) int index,
      @ForAll @StringLength(min = 1, max = 20) String team) {
    StateKey.RangeKey range = new StateKey.RangeKey("job-000412", index);
    assertEquals(range, StateKeys.parse(StateKeys.range(range)));
    assertEquals(new StateKey.QuotaKey(team), StateKeys.parse(StateKeys.quota(team)));
    assertTrue(!StateKeys.quota(team).contains(" "));
  }
}
