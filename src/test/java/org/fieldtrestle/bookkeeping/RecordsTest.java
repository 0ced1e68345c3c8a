package org.fieldtrestle.bookkeeping;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.fieldtrestle.protocol.Json;
import org.junit.jupiter.api.Test;

class RecordsTest {
  @Property(tries = 500, seed = "11")
  void aTaskSetIsReadAsItWasWritten(
      @ForAll @Size(max = 200) Set<@IntRange(max = 2999) Integer> numbers) {
    BitSet set = new BitSet();
    numbers.forEach(set::set);
    String text = TaskSet.encode(set);
    assertEquals(set, TaskSet.decode(text, 3000));
    assertTrue(text.length() <= 1 + (3000 / 8 + 3) / 3 * 4 + 12, "stays near a bitmap's size");
  }

  @Property(tries = 300, seed = "12")
  void aDamagedTaskSetIsRefusedOrInBounds(@ForAll @StringLength(max = 20) String text) {
    BitSet read;
    try {
      read = TaskSet.decode(text, 100);
    } catch (IllegalArgumentException e) {
      return; // refused, which is fine; anything else thrown is not
    }
    assertTrue(read.length() <= 100, text);
    assertEquals(read, TaskSet.decode(TaskSet.encode(read), 100));
  }

  @Property(tries = 200, seed = "13")
  void rangesAreReadAsTheyWereWritten(
      @ForAll @IntRange(max = 90_000) int from,
      @ForAll @IntRange(min = 1, max = 9_000) int size,
      @ForAll @Size(max = 50) Set<@IntRange(max = 8_999) Integer> done,
      @ForAll @AlphaChars @StringLength(min = 1, max = 10) String team)
      throws Records.Unreadable {
    BitSet set = new BitSet();
    done.stream().filter(n -> n < size).forEach(set::set);
    Records.Range range =
        new Records.Range("m", 77, from, from + size, set, Map.of("a", 3), team, 4.5, 0.0);
    assertEquals(range, Records.readRange(Records.write(range)));
    assertEquals(set.cardinality() == size, range.complete());
  }

  @Test
  void aRecordOfAnotherFormIsRefusedByName() {
    ObjectNode other = (ObjectNode) Records.write(new Records.Master("trestle-0"));
    other.put("f", 2);
    Records.Unreadable error =
        assertThrows(Records.Unreadable.class, () -> Records.readMaster(other));
    assertTrue(error.getMessage().contains("form 2"), error.getMessage());
    assertThrows(Records.Unreadable.class, () -> Records.readQuota(Json.object().put("shares", 1)));
  }

  @Property(tries = 300, seed = "14")
  void keysAreTakenApartAsTheyWerePutTogether(
      @ForAll @IntRange(max = 999_999) int index,
      @ForAll @StringLength(min = 1, max = 20) String team) {
    Records.RangeKey range = new Records.RangeKey("job-000412", index);
    assertEquals(range, Records.key(Records.range(range)));
    assertEquals(new Records.QuotaKey(team), Records.key(Records.quota(team)));
    assertTrue(!Records.quota(team).contains(" "));
  }
}
