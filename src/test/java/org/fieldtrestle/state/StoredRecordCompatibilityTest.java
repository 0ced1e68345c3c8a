package org.fieldtrestle.state;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.protocol.CompatibilityFixture;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.Priority;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Stored records, keys and values, are read and written exactly as by the version before. */
class StoredRecordCompatibilityTest {
  private static final JobSpec ARRAY_SPEC =
      new JobSpec(
          "job-000412",
          "train",
          "vision",
          JobSpec.Kind.ARRAY,
          Priority.URGENT,
          16,
          8,
          1,
          64,
          "img-07",
          6.2,
          List.of("g8", "g4"),
          null,
          true,
          false,
          true,
          240,
          30,
          4,
          900);
  private static final JobSpec GANG_SPEC =
      new JobSpec(
          "job-000077",
          "solve",
          "vision",
          JobSpec.Kind.GANG,
          Priority.CRITICAL,
          4,
          2,
          0,
          8,
          "img-01",
          0.5,
          List.of(),
          "b",
          false,
          true,
          false,
          60.5,
          0,
          0,
          -1);
  private static final JobSpec SERVICE_SPEC =
      new JobSpec(
          "job-000078",
          "serve",
          "speech",
          JobSpec.Kind.SERVICE,
          Priority.LOW,
          2,
          1.5,
          0,
          4,
          "img-02",
          1,
          List.of(),
          null,
          false,
          false,
          true,
          10,
          0,
          0,
          -1);

  private Map<String, String> stored;

  @BeforeEach
  void readFixture() throws IOException {
    stored = CompatibilityFixture.read("stored-records.txt");
  }

  private String key(String name) {
    String line = stored.get(name);
    return line.substring(0, line.indexOf(' '));
  }

  private String json(String name) {
    String line = stored.get(name);
    return line.substring(line.indexOf(' ') + 1);
  }

  private JsonNode value(String name) throws Json.MalformedJsonException {
    return Json.parse(json(name).getBytes(StandardCharsets.UTF_8));
  }

  /** Checks the key in both directions and the written value byte for byte. */
  private void assertStored(String name, Records.Key key, String builtKey, JsonNode written) {
    assertEquals(key(name), builtKey);
    assertEquals(key, Records.key(builtKey));
    assertEquals(json(name), new String(Json.bytes(written), StandardCharsets.UTF_8));
  }

  private void assertJob(String name, Records.Job job) throws Exception {
    assertEquals(job, Records.readJob(value(name)));
    String id = job.spec().id();
    assertStored(name, new Records.JobKey(id), Records.job(id), Records.write(job));
  }

  @Test
  void jobsOfThePresentFormNameTheirRanges() throws Exception {
    assertJob(
        "job-form-2-array",
        new Records.Job(
            ARRAY_SPEC,
            1_790_000_000_000L,
            "a",
            List.of(
                new Records.Part("trestle-0", 9, 0, 10, new TreeMap<>(Map.of("a", 5, "b", 4))),
                new Records.Part("trestle-1", 11, 10, 16, Map.of()))));
    assertJob(
        "job-form-2-gang",
        new Records.Job(
            GANG_SPEC, 0, null, List.of(new Records.Part("trestle-0", 3, 0, 4, Map.of()))));
    assertJob(
        "job-form-2-service",
        new Records.Job(
            SERVICE_SPEC, 5, null, List.of(new Records.Part("trestle-2", 3, 0, 2, Map.of()))));
  }

  @Test
  void aJobOfTheFormerFormNamesNoRanges() throws Exception {
    assertEquals(
        new Records.Job(ARRAY_SPEC, 1_790_000_000_000L, "a", List.of()),
        Records.readJob(value("job-form-1")));
  }

  private void assertRange(String name, Records.RangeKey key, Records.Range range)
      throws Exception {
    assertEquals(range, Records.readRange(value(name)));
    assertStored(name, key, Records.range(key), Records.write(range));
  }

  @Test
  void rangesKeepTheirDoneTasksAndZoneLimits() throws Exception {
    BitSet done = new BitSet();
    done.set(0, 3);
    done.set(4);
    assertRange(
        "range",
        new Records.RangeKey("job-000412", 1),
        new Records.Range("trestle-1", 12, 10, 16, done, Map.of(), "vision", 8, 1));
    BitSet everyOther = new BitSet();
    for (int task = 0; task < 400; task += 2) {
      everyOther.set(task);
    }
    assertRange(
        "range-with-caps-and-bitmap",
        new Records.RangeKey("job-000999", 0),
        new Records.Range(
            "trestle-0",
            77,
            0,
            401,
            everyOther,
            new TreeMap<>(Map.of("a", 3, "b", 4)),
            "speech",
            1.5,
            0));
  }

  private void assertInventory(
      String name, Records.InventoryKey key, Map<String, Records.Machine> machines)
      throws Exception {
    assertEquals(machines, Records.readInventory(key, value(name)));
    assertStored(name, key, Records.inventory(key), Records.writeInventory(machines));
  }

  @Test
  void machineInventoriesGroupEqualMachines() throws Exception {
    Map<String, Records.Machine> machines = new TreeMap<>();
    machines.put("host-000001", new Records.Machine("trestle-1", 2, "g8", "a", true, 0, 411));
    machines.put("host-000002", new Records.Machine("trestle-1", 2, "g8", "a", true, 0, 411));
    machines.put(
        "host-000003",
        new Records.Machine("trestle-1", 2, "c16", "b", false, 1_790_000_000_500L, 0));
    assertInventory("inventory", new Records.InventoryKey("trestle-1", 2), machines);
    assertEquals(
        411,
        Records.readInventory(new Records.InventoryKey("trestle-1", 2), value("inventory"))
            .get("host-000002")
            .upIn());
    assertInventory("inventory-empty", new Records.InventoryKey("trestle-1", 3), Map.of());
  }

  @Test
  void orphansShardsAndMembersAreOneFieldEach() throws Exception {
    assertStored(
        "orphan",
        new Records.OrphanKey("host-000231"),
        Records.orphan("host-000231"),
        Records.writeOrphan("trestle-0"));
    Records.Shard shard = new Records.Shard("trestle-2");
    assertEquals(shard, Records.readShard(value("shard")));
    assertStored(
        "shard",
        new Records.ShardKey("trestle-0"),
        Records.shard("trestle-0"),
        Records.write(shard));
    Records.Member member = new Records.Member("boot-17");
    assertEquals(member, Records.readMember(value("member")));
    assertStored(
        "member",
        new Records.MemberKey("trestle-2"),
        Records.member("trestle-2"),
        Records.write(member));
  }

  @Test
  void quotasKeepTheSharesOfEachShard() throws Exception {
    Records.Quota quota = Records.readQuota(value("quota"));
    assertEquals(List.of("trestle-0", "trestle-1"), List.copyOf(quota.shares().keySet()));
    assertArrayEquals(new double[] {12.5, 0}, quota.shares().get("trestle-0"));
    assertArrayEquals(new double[] {100, 8}, quota.shares().get("trestle-1"));
    String team = "night shift/50%";
    assertStored("quota", new Records.QuotaKey(team), Records.quota(team), Records.write(quota));
  }

  private void assertFinished(String name, String id, Records.FinishedJob job) throws Exception {
    assertEquals(job, Records.readFinal(value(name)));
    assertStored(
        name,
        new Records.ForeignKey(Records.finished(id)),
        Records.finished(id),
        Records.write(job));
  }

  @Test
  void finishedJobsTellHowTheyEnded() throws Exception {
    assertFinished("finished-job", "job-000398", new Records.FinishedJob(true, 16, 16));
    assertFinished("finished-job-cancelled", "job-000399", new Records.FinishedJob(false, 16, 3));
  }
}
