package org.fieldtrestle.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.fieldtrestle.protocol.JobSpecCodec;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.MalformedJsonException;
import org.fieldtrestle.protocol.UserProtocol;
import org.fieldtrestle.state.StateKey.InventoryKey;

/**
 * Encodes and decodes the stored records. Every value carries the number of its format in the field
 * {@code f}. A value that is damaged or has an unknown format is refused with an {@link
 * UnreadableRecordException} that states the reason; its meaning is never guessed. The field names
 * are those of the first version.
 */
public final class RecordCodec {
  private static final int FORMAT = 1;

  /**
   * Since this format, a job's record names its initial task ranges; before, every range had its
   * own record.
   */
  private static final int JOB_FORMAT = 2;

  private RecordCodec() {}

  /** Decodes a value whose format is known. */
  private interface Decoder<T> {
    T decode(JsonNode json) throws MalformedJsonException;
  }

  private static ObjectNode withFormat(int number) {
    return Json.object().put("f", number);
  }

  private static <T> T decode(JsonNode json, int newestFormat, Decoder<T> decoder)
      throws UnreadableRecordException {
    JsonNode format = json.path("f");
    if (!format.isInt()) {
      throw new UnreadableRecordException("not one of our records");
    }
    if (format.intValue() < FORMAT || format.intValue() > newestFormat) {
      throw new UnreadableRecordException(
          "written in form " + format.intValue() + ", this version reads " + newestFormat);
    }
    try {
      return decoder.decode(json);
    } catch (MalformedJsonException | IllegalArgumentException e) {
      throw new UnreadableRecordException("damaged: " + e.getMessage());
    }
  }

  /** Encodes a job. */
  public static JsonNode encode(JobRecord job) {
    ObjectNode json = withFormat(JOB_FORMAT);
    json.set("job", JobSpecCodec.write(job.spec()));
    json.put("at", job.acceptedWallMs());
    if (job.zone() != null) {
      json.put("zone", job.zone());
    }
    ArrayNode parts = json.putArray("parts");
    for (InitialRange range : job.initialRanges()) {
      ObjectNode part = parts.addObject();
      part.put("m", range.shard())
          .put("e", range.epoch())
          .put("a", range.from())
          .put("z", range.to());
      encodeZoneLimits(part, range.zoneLimits());
    }
    return json;
  }

  /**
   * Decodes a job, in the current format or the previous one.
   *
   * @throws UnreadableRecordException if the value cannot be used
   */
  public static JobRecord decodeJob(JsonNode value) throws UnreadableRecordException {
    return decode(
        value,
        JOB_FORMAT,
        json -> {
          var spec = JobSpecCodec.read(json.path("job"));
          List<InitialRange> ranges = new ArrayList<>();
          for (JsonNode part : json.path("parts")) {
            ranges.add(decodeInitialRange(part, spec.tasks()));
          }
          return new JobRecord(
              spec,
              Json.count(json, "at"),
              json.has("zone") ? Json.text(json, "zone") : null,
              List.copyOf(ranges));
        });
  }

  private static InitialRange decodeInitialRange(JsonNode part, int tasks)
      throws MalformedJsonException {
    long from = Json.count(part, "a");
    long to = Json.count(part, "z");
    if (from >= to || to > tasks) {
      throw new MalformedJsonException("parts");
    }
    return new InitialRange(
        Json.text(part, "m"), Json.count(part, "e"), (int) from, (int) to, decodeZoneLimits(part));
  }

  private static void encodeZoneLimits(ObjectNode json, Map<String, Integer> zoneLimits) {
    if (!zoneLimits.isEmpty()) {
      ObjectNode limits = json.putObject("caps");
      zoneLimits.forEach(limits::put);
    }
  }

  private static Map<String, Integer> decodeZoneLimits(JsonNode json) {
    Map<String, Integer> zoneLimits = new TreeMap<>();
    for (var limit : json.path("caps").properties()) {
      zoneLimits.put(limit.getKey(), limit.getValue().asInt());
    }
    return zoneLimits;
  }

  /** Encodes a task range. */
  public static JsonNode encode(RangeRecord range) {
    ObjectNode json = withFormat(FORMAT);
    json.put("m", range.shard())
        .put("e", range.epoch())
        .put("a", range.from())
        .put("z", range.to())
        .put("done", TaskSet.encode(range.done()));
    encodeZoneLimits(json, range.zoneLimits());
    return json.put("team", range.team()).put("c", range.cpus()).put("g", range.gpus());
  }

  /**
   * Decodes a task range.
   *
   * @throws UnreadableRecordException if the value cannot be used
   */
  public static RangeRecord decodeRange(JsonNode value) throws UnreadableRecordException {
    return decode(
        value,
        FORMAT,
        json -> {
          long from = Json.count(json, "a");
          long to = Json.count(json, "z");
          if (from > to || to > UserProtocol.MAX_TASKS) {
            throw new MalformedJsonException("z");
          }
          return new RangeRecord(
              Json.text(json, "m"),
              Json.count(json, "e"),
              (int) from,
              (int) to,
              TaskSet.decode(Json.text(json, "done"), (int) (to - from)),
              decodeZoneLimits(json),
              Json.text(json, "team"),
              json.path("c").asDouble(),
              json.path("g").asDouble());
        });
  }

  /** Encodes one part of an inventory; machines that differ only in their names form one group. */
  public static JsonNode encodeInventory(Map<String, MachineRecord> machines) {
    return InventoryCodec.encode(withFormat(FORMAT), machines);
  }

  /**
   * Decodes one part of an inventory into its machines by name.
   *
   * @throws UnreadableRecordException if the value cannot be used
   */
  public static Map<String, MachineRecord> decodeInventory(InventoryKey key, JsonNode value)
      throws UnreadableRecordException {
    return decode(value, FORMAT, json -> InventoryCodec.decode(key, json));
  }

  /**
   * Encodes the record of a machine that a shard has adopted; only the record's key is ever read.
   */
  public static JsonNode encodeOrphan(String shard) {
    return withFormat(FORMAT).put("m", shard);
  }

  /** Encodes which controller leads a shard. */
  public static JsonNode encode(ShardRecord shard) {
    return LeadershipCodec.write(shard, withFormat(FORMAT));
  }

  /**
   * Decodes which controller leads a shard.
   *
   * @throws UnreadableRecordException if the value cannot be used
   */
  public static ShardRecord decodeShard(JsonNode value) throws UnreadableRecordException {
    return decode(value, FORMAT, LeadershipCodec::readShard);
  }

  /** Encodes the record of a running controller. */
  public static JsonNode encode(MemberRecord member) {
    return LeadershipCodec.write(member, withFormat(FORMAT));
  }

  /**
   * Decodes the record of a running controller.
   *
   * @throws UnreadableRecordException if the value cannot be used
   */
  public static MemberRecord decodeMember(JsonNode value) throws UnreadableRecordException {
    return decode(value, FORMAT, LeadershipCodec::readMember);
  }

  /** Encodes a team's quota shares. */
  public static JsonNode encode(QuotaRecord quota) {
    ObjectNode json = withFormat(FORMAT);
    ObjectNode shares = json.putObject("shares");
    quota
        .shares()
        .forEach((shard, share) -> shares.putArray(shard).add(share.cpus()).add(share.gpus()));
    if (!quota.requesters().isEmpty()) {
      quota.requesters().forEach(json.putArray("requesters")::add);
    }
    return json;
  }

  /**
   * Decodes a team's quota shares.
   *
   * @throws UnreadableRecordException if the value cannot be used
   */
  public static QuotaRecord decodeQuota(JsonNode value) throws UnreadableRecordException {
    return decode(
        value,
        FORMAT,
        json -> {
          Map<String, QuotaAmount> shares = new TreeMap<>();
          for (var share : json.path("shares").properties()) {
            double cpus = share.getValue().path(0).asDouble(-1);
            double gpus = share.getValue().path(1).asDouble(-1);
            if (!(cpus >= 0) || !(gpus >= 0)) {
              throw new MalformedJsonException("shares");
            }
            shares.put(share.getKey(), new QuotaAmount(cpus, gpus));
          }
          Set<String> requesters = new TreeSet<>();
          json.path("requesters").forEach(shard -> requesters.add(shard.asText()));
          return new QuotaRecord(shares, requesters);
        });
  }

  /** Encodes how a job ended. */
  public static JsonNode encode(FinishedJobRecord job) {
    return withFormat(FORMAT)
        .put("done", job.done())
        .put("tasks", job.tasks())
        .put("finished", job.doneTasks());
  }

  /**
   * Decodes how a job ended.
   *
   * @throws UnreadableRecordException if the value cannot be used
   */
  public static FinishedJobRecord decodeFinishedJob(JsonNode value)
      throws UnreadableRecordException {
    return decode(
        value,
        FORMAT,
        json -> {
          if (!json.path("done").isBoolean()) {
            throw new MalformedJsonException("done");
          }
          return new FinishedJobRecord(
              json.path("done").booleanValue(),
              (int) Json.count(json, "tasks"),
              (int) Json.count(json, "finished"));
        });
  }
}
