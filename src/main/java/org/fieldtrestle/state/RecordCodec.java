package org.fieldtrestle.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.protocol.JobSpecCodec;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.MalformedJsonException;
import org.fieldtrestle.protocol.UserProtocol;
import org.fieldtrestle.state.StateKey.InventoryKey;

/**
 * The stored forms of records. Every value carries the number of its form in the field {@code f};
 * one that is damaged or of an unknown form is refused with an {@link UnreadableRecordException}
 * that says so, never guessed at. Field names are those of the first version.
 */
public final class RecordCodec {
  private static final int FORM = 1;

  /** Jobs name their initial ranges since this form; before, every range had its own record. */
  private static final int JOB_FORM = 2;

  private RecordCodec() {}

  /** Reads one form. */
  private interface Decoder<T> {
    T decode(JsonNode json) throws MalformedJsonException;
  }

  private static ObjectNode form(int number) {
    return Json.object().put("f", number);
  }

  private static <T> T decode(JsonNode json, int newestForm, Decoder<T> decoder)
      throws UnreadableRecordException {
    JsonNode form = json.path("f");
    if (!form.isInt()) {
      throw new UnreadableRecordException("not one of our records");
    }
    if (form.intValue() < FORM || form.intValue() > newestForm) {
      throw new UnreadableRecordException(
          "written in form " + form.intValue() + ", this version reads " + newestForm);
    }
    try {
      return decoder.decode(json);
    } catch (MalformedJsonException | IllegalArgumentException e) {
      throw new UnreadableRecordException("damaged: " + e.getMessage());
    }
  }

  /** Writes a job. */
  public static JsonNode encode(JobRecord job) {
    ObjectNode json = form(JOB_FORM);
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
   * Reads a job, of the present form or the one before.
   *
   * @throws UnreadableRecordException if the value cannot be used
   */
  public static JobRecord decodeJob(JsonNode value) throws UnreadableRecordException {
    return decode(
        value,
        JOB_FORM,
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
      ObjectNode caps = json.putObject("caps");
      zoneLimits.forEach(caps::put);
    }
  }

  private static Map<String, Integer> decodeZoneLimits(JsonNode json) {
    Map<String, Integer> zoneLimits = new TreeMap<>();
    for (var cap : json.path("caps").properties()) {
      zoneLimits.put(cap.getKey(), cap.getValue().asInt());
    }
    return zoneLimits;
  }

  /** Writes a task range. */
  public static JsonNode encode(RangeRecord range) {
    ObjectNode json = form(FORM);
    json.put("m", range.shard())
        .put("e", range.epoch())
        .put("a", range.from())
        .put("z", range.to())
        .put("done", TaskSet.encode(range.done()));
    encodeZoneLimits(json, range.zoneLimits());
    return json.put("team", range.team()).put("c", range.cpus()).put("g", range.gpus());
  }

  /**
   * Reads a task range.
   *
   * @throws UnreadableRecordException if the value cannot be used
   */
  public static RangeRecord decodeRange(JsonNode value) throws UnreadableRecordException {
    return decode(
        value,
        FORM,
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

  /** Writes one part of an inventory: machines that differ in their names alone as one group. */
  public static JsonNode encodeInventory(Map<String, MachineRecord> machines) {
    return InventoryForm.encode(form(FORM), machines);
  }

  /**
   * Reads one part of an inventory: its machines by name.
   *
   * @throws UnreadableRecordException if the value cannot be used
   */
  public static Map<String, MachineRecord> decodeInventory(InventoryKey key, JsonNode value)
      throws UnreadableRecordException {
    return decode(value, FORM, json -> InventoryForm.decode(key, json));
  }

  /** Writes the record of a machine that a shard has adopted; only its key is ever read. */
  public static JsonNode encodeOrphan(String shard) {
    return form(FORM).put("m", shard);
  }

  /** Writes which controller leads a shard. */
  public static JsonNode encode(ShardRecord shard) {
    return form(FORM).put("holder", shard.leader());
  }

  /**
   * Reads which controller leads a shard.
   *
   * @throws UnreadableRecordException if the value cannot be used
   */
  public static ShardRecord decodeShard(JsonNode value) throws UnreadableRecordException {
    return decode(value, FORM, json -> new ShardRecord(Json.text(json, "holder")));
  }

  /** Writes a running controller. */
  public static JsonNode encode(MemberRecord member) {
    return form(FORM).put("boot", member.bootId());
  }

  /**
   * Reads a running controller.
   *
   * @throws UnreadableRecordException if the value cannot be used
   */
  public static MemberRecord decodeMember(JsonNode value) throws UnreadableRecordException {
    return decode(value, FORM, json -> new MemberRecord(Json.text(json, "boot")));
  }

  /** Writes a team's quota shares. */
  public static JsonNode encode(QuotaRecord quota) {
    ObjectNode json = form(FORM);
    ObjectNode shares = json.putObject("shares");
    quota
        .shares()
        .forEach((shard, share) -> shares.putArray(shard).add(share.cpus()).add(share.gpus()));
    return json;
  }

  /**
   * Reads a team's quota shares.
   *
   * @throws UnreadableRecordException if the value cannot be used
   */
  public static QuotaRecord decodeQuota(JsonNode value) throws UnreadableRecordException {
    return decode(
        value,
        FORM,
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
          return new QuotaRecord(shares);
        });
  }

  /** Writes how a job ended. */
  public static JsonNode encode(FinishedJobRecord job) {
    return form(FORM)
        .put("done", job.done())
        .put("tasks", job.tasks())
        .put("finished", job.doneTasks());
  }

  /**
   * Reads how a job ended.
   *
   * @throws UnreadableRecordException if the value cannot be used
   */
  public static FinishedJobRecord decodeFinishedJob(JsonNode value)
      throws UnreadableRecordException {
    return decode(
        value,
        FORM,
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
