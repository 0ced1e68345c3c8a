package org.fieldtrestle.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.UserProtocol;
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
      throws Records.UnreadableRecordException {
    BitSet set = new BitSet();
    done.stream().filter(n -> n < size).forEach(set::set);
    Records.Range range =
        new Records.Range("m", 77, from, from + size, set, Map.of("a", 3), team, 4.5, 0.0);
    assertEquals(range, Records.readRange(Records.write(range)));
    assertEquals(set.cardinality() == size, range.complete());
  }

  @Property(tries = 200, seed = "15")
  void rostersAreReadAsTheyWereWritten(
      @ForAll @Size(max = 60) Map<@IntRange(max = 2000) Integer, @IntRange(max = 5) Integer> some)
      throws Records.UnreadableRecordException {
    Records.InventoryKey key = new Records.InventoryKey("trestle-1", 2);
    Map<String, Records.Machine> machines = new TreeMap<>();
    some.forEach(
        (number, kind) ->
            machines.put(
                String.format("host-%06d", number),
                new Records.Machine(
                    "trestle-1",
                    2,
                    kind % 2 == 0 ? "big" : "odd",
                    kind % 3 == 0 ? "a" : "b",
                    kind > 2,
                    kind == 0 ? 77 : 0,
                    kind == 0 ? 0 : 400 + kind)));
    assertEquals(machines, Records.readInventory(key, Records.writeInventory(machines)));
    assertEquals(key, Records.key(Records.inventory(key)));
  }

  @Test
  void aJobIsReadAsItWasWrittenAndAlsoInTheFormBefore() throws Exception {
    JobSpec spec =
        UserProtocol.readJob(
            """
            {"uid":"job-000412","lot":"train","crew":"vision","cut":"array","urgency":"urgent",
             "boards":16,"cpus":8.0,"gpus":1.0,"memoryGb":64.0,"blueprint":"img-07","pullGb":6.2,
             "rigs":["g8"],"yard":null,"together":true,"scatter":false,"loaners":true,
             "expectedS":240.0,"tallyS":30.0,"stackS":4.0,"dueS":900.0}"""
                .getBytes(StandardCharsets.UTF_8));
    Records.Job job =
        new Records.Job(
            spec,
            1234,
            "a",
            List.of(
                new Records.Part("m0", 9, 0, 10, Map.of("a", 5)),
                new Records.Part("m1", 11, 10, 16, Map.of())));
    assertEquals(job, Records.readJob(Records.write(job)));
    assertEquals(
        new Records.Range("m1", 11, 10, 16, new BitSet(), Map.of(), "vision", 8, 1), job.range(1));
    ObjectNode former = (ObjectNode) Records.write(job);
    former.put("f", 1).put("ranges", 2).remove("parts");
    assertEquals(
        new Records.Job(spec, 1234, "a", List.of()),
        Records.readJob(former),
        "its ranges have records of their own");
  }

  @Test
  void aRecordOfAnotherFormIsRefusedByName() {
    ObjectNode other = (ObjectNode) Records.write(new Records.Shard("trestle-0"));
    other.put("f", 2);
    Records.UnreadableRecordException error =
        assertThrows(Records.UnreadableRecordException.class, () -> Records.readShard(other));
    assertTrue(error.getMessage().contains("form 2"), error.getMessage());
    assertThrows(
        Records.UnreadableRecordException.class,
        () -> Records.readQuota(Json.object().put("shares", 1)));
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
