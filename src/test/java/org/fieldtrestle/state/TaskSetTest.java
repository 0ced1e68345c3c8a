package org.fieldtrestle.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

/** Tests the encoding of task sets as text. */
class TaskSetTest {
  @Property(tries = 500, seed = "11")
  void taskSetIsReadAsItWasWritten(
      @ForAll @Size(max = 200) Set<@IntRange(max = 2999) Integer> numbers) {
    BitSet set = new BitSet();
    numbers.forEach(set::set);
    String text = TaskSet.encode(set);
    assertEquals(set, TaskSet.decode(text, 3000));
    assertTrue(
        text.length() <= 1 + (3000 / 8 + 3) / 3 * 4 + 12,
        "the text must not be much longer than a bitmap");
  }

  @Property(tries = 300, seed = "12")
  void damagedTaskSetIsRefusedOrWithinBounds(@ForAll @StringLength(max = 20) String text) {
    BitSet read;
    try {
      read = TaskSet.decode(text, 100);
    } catch (IllegalArgumentException e) {
      return; // refusing the text is fine; any other exception fails the test
    }
    assertTrue(read.length() <= 100, text);
    assertEquals(read, TaskSet.decode(TaskSet.encode(read), 100));
  }
}
