package org.fieldtrestle.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.UserProtocol;

/**
 * What we keep at the state service. Every value carries the version of its form; one that is
 * damaged or of another version is refused by name, never guessed at.
 */
public final class Records {
  public static final int FORM = 1;

  /** Jobs name their ranges since this form; one of the form before has a record for each. */
  public static final int JOB_FORM = 2;

  /** Everything that all controllers follow. */
  public static final String LIVE = "ft/live/";

  private static final String JOB = LIVE + "job/";
  private static final String RANGE = LIVE + "range/";
  private static final String INVENTORY = LIVE + "roster/";
  private static final String ORPHAN = LIVE + "stray/";

  /** Where a machine had a record of its own, before rosters. */
  private static final String FORMER_MACHINE = LIVE + "machine/";

  private static final String SHARD = LIVE + "master/";
  private static final String MEMBER = LIVE + "member/";
  private static final String QUOTA = LIVE + "quota/";

  /** How jobs ended; not followed, as there is no limit to their number. */
  public static final String FINAL = "ft/final/";

  private Records() {}

  /** One of our keys, taken apart. */
  public sealed interface Key {}

  public record JobKey(String job) implements Key {}

  public record RangeKey(String job, int index) implements Key, Comparable<RangeKey> {
    @Override
    public int compareTo(RangeKey other) {
      int byJob = job.compareTo(other.job);
      return byJob != 0 ? byJob : Integer.compare(index, other.index);
    }

    /** Written out, as those that records are given cost several times as much. */
    @Override
    public boolean equals(Object other) {
      return other instanceof RangeKey that && index == that.index && job.equals(that.job);
    }

    @Override
    public int hashCode() {
      return 31 * job.hashCode() + index;
    }

    @Override
    public String toString() {
      return job + "#" + index;
    }
  }

  /** One part of a shard's roster. */
  public record InventoryKey(String shard, int part) implements Key {}

  /** A machine in some roster; no key of its own, but what those who follow are told of. */
  public record MachineKey(String machine) implements Key {}

  public record OrphanKey(String machine) implements Key {}

  public record ShardKey(String shard) implements Key {}

  public record MemberKey(String label) implements Key {}

  public record QuotaKey(String team) implements Key {}

  public record ForeignKey(String key) implements Key {}

  public static String job(String id) {
    return JOB + id;
  }

  public static String range(RangeKey key) {
    return RANGE + key.job() + "/" + key.index();
  }

  public static String inventory(InventoryKey key) {
    return INVENTORY + key.shard() + "/" + key.part();
  }

  /**
   * Shows that a machine was adopted by somebody other than its renter, whose own record of it may
   * still be under way: its writer makes the absence of this key a condition.
   */
  public static String orphan(String machine) {
    return ORPHAN + machine;
  }

  public static String shard(String label) {
    return SHARD + label;
  }

  public static String member(String label) {
    return MEMBER + label;
  }

  public static String quota(String team) {
    return QUOTA + team.replace("%", "%25").replace(" ", "%20").replace("/", "%2F");
  }

  /** Where the end of a job is kept; not followed, as there is no limit to their number. */
  public static String finished(String id) {
    return FINAL + id;
  }

  public static Key key(String key) {
    if (key.startsWith(JOB)) {
      return new JobKey(key.substring(JOB.length()));
    }
    int slash = key.lastIndexOf('/');
    int index = index(key, slash + 1);
    if (key.startsWith(RANGE) && slash > RANGE.length() && index >= 0) {
      return new RangeKey(key.substring(RANGE.length(), slash), index);
    }
    if (key.startsWith(INVENTORY) && slash > INVENTORY.length() && index >= 0) {
      return new InventoryKey(key.substring(INVENTORY.length(), slash), index);
    }
    if (key.startsWith(ORPHAN)) {
      return new OrphanKey(key.substring(ORPHAN.length()));
    }
    if (key.startsWith(SHARD)) {
      return new ShardKey(key.substring(SHARD.length()));
    }
    if (key.startsWith(MEMBER)) {
      return new MemberKey(key.substring(MEMBER.length()));
    }
    if (key.startsWith(QUOTA)) {
      return new QuotaKey(
          key.substring(QUOTA.length())
              .replace("%2F", "/")
              .replace("%20", " ")
              .replace("%25", "%"));
    }
    return new ForeignKey(key);
  }

  /** The number that a key ends with; below 0 where it does not. */
  private static int index(String key, int from) {
    if (key.length() == from || key.length() - from > 6) {
      return -1;
    }
    int index = 0;
    for (int i = from; i < key.length(); i++) {
      int digit = key.charAt(i) - '0';
      if (digit < 0 || digit > 9) {
        return -1;
      }
      index = index * 10 + digit;
    }
    return index;
  }

  /** Why a key of ours cannot be one of this version's. */
  static String foreign(String key) {
    return key.startsWith(FORMER_MACHINE)
        ? "a machine's record of the form before, this version keeps machines in rosters"
        : "not one of our keys";
  }

  /** A value that we cannot use. */
  public static final class UnreadableRecordException extends Exception {
    private static final long serialVersionUID = 1;

    public UnreadableRecordException(String reason) {
      super(reason);
    }
  }

  /**
   * An accepted job; {@code zone} is set where all its tasks have to be in one. {@code parts} are
   * its ranges as they were handed out: each has a record of its own only once it differs.
   */
  public record Job(JobSpec spec, long acceptedWall, String zone, List<Part> parts) {
    public Range range(int part) {
      Part one = parts.get(part);
      return new Range(
          one.shard(),
          one.epoch(),
          one.from(),
          one.to(),
          new BitSet(),
          one.caps(),
          spec.team(),
          spec.cpus(),
          spec.gpus());
    }
  }

  /** Some of a job's tasks, as they were first given to a shard. */
  public record Part(String shard, long epoch, int from, int to, Map<String, Integer> caps) {}

  /**
   * Some of a job's tasks, from {@code from} up to but without {@code to}, in one shard's hands, as
   * of an epoch of it: a later epoch knows that they may have been started before, and an earlier
   * one, which may not know yet that it is over, leaves them alone. {@code done} counts from 0.
   * {@code caps} limits how many may be in a zone at a time; none where it is empty. Team and
   * amounts are here too, since tasks of a job that has been cancelled count until they are gone.
   */
  public record Range(
      String shard,
      long epoch,
      int from,
      int to,
      BitSet done,
      Map<String, Integer> caps,
      String team,
      double cpus,
      double gpus) {
    public int size() {
      return to - from;
    }

    public boolean complete() {
      return done.cardinality() == size();
    }

    public Range withDone(BitSet more) {
      return new Range(shard, epoch, from, to, more, caps, team, cpus, gpus);
    }

    /** The part of it from {@code a} up to but without {@code b}, counted in the job's tasks. */
    public Range between(int a, int b) {
      return new Range(shard, epoch, a, b, done.get(a - from, b - from), caps, team, cpus, gpus);
    }

    public Range ownedBy(String other, long otherEpoch) {
      return new Range(other, otherEpoch, from, to, done, caps, team, cpus, gpus);
    }
  }

  /**
   * A machine in a shard's hands, and the epoch of it in which it came up. Nothing is started on it
   * before that is durable, so that a successor need not wait for those that were still booting.
   * {@code sinceWall} tells for how long one has been booting.
   */
  public record Machine(
      String shard, int part, String type, String zone, boolean spot, long sinceWall, long upIn) {
    public boolean up() {
      return upIn > 0;
    }

    /** Written out, as whole rosters are compared by it. */
    @Override
    public boolean equals(Object other) {
      return other instanceof Machine that
          && part == that.part
          && spot == that.spot
          && sinceWall == that.sinceWall
          && upIn == that.upIn
          && shard.equals(that.shard)
          && type.equals(that.type)
          && zone.equals(that.zone);
    }

    @Override
    public int hashCode() {
      return Objects.hash(shard, part, type, zone, spot, sinceWall, upIn);
    }

    public Machine upIn(long epoch) {
      return new Machine(shard, part, type, zone, spot, 0, epoch);
    }
  }

  /** Which controller acts as this shard. */
  public record Shard(String holder) {}

  /** A controller that is there; kept under its lease. */
  public record Member(String boot) {}

  /** A team's limit, as split over the shards: CPUs and GPUs. */
  public record Quota(Map<String, double[]> shares) {}

  /** How a job ended. */
  public record FinishedJob(boolean done, int tasks, int finished) {}

  private static ObjectNode form() {
    return Json.object().put("f", FORM);
  }

  public static JsonNode write(Job job) {
    ObjectNode context = Json.object().put("f", JOB_FORM);
    context.set("job", UserProtocol.writeJob(job.spec()));
    context.put("at", job.acceptedWall());
    if (job.zone() != null) {
      context.put("zone", job.zone());
    }
    ArrayNode parts = context.putArray("parts");
    for (Part part : job.parts()) {
      ObjectNode one = parts.addObject();
      one.put("m", part.shard()).put("e", part.epoch()).put("a", part.from()).put("z", part.to());
      writeCaps(one, part.caps());
    }
    return context;
  }

  private static void writeCaps(ObjectNode context, Map<String, Integer> caps) {
    if (!caps.isEmpty()) {
      ObjectNode written = context.putObject("caps");
      caps.forEach(written::put);
    }
  }

  private static Map<String, Integer> readCaps(JsonNode context) {
    Map<String, Integer> caps = new TreeMap<>();
    for (var cap : context.path("caps").properties()) {
      caps.put(cap.getKey(), cap.getValue().asInt());
    }
    return caps;
  }

  public static JsonNode write(Range range) {
    ObjectNode context = form();
    context
        .put("m", range.shard())
        .put("e", range.epoch())
        .put("a", range.from())
        .put("z", range.to());
    context.put("done", TaskSet.encode(range.done()));
    writeCaps(context, range.caps());
    return context.put("team", range.team()).put("c", range.cpus()).put("g", range.gpus());
  }

  /** What machines of one part of a roster have in common. */
  private record Kind(String type, String zone, boolean spot, long sinceWall, long upIn) {}

  /** One part of a shard's roster: machines that have all but their names in common together. */
  public static JsonNode writeInventory(Map<String, Machine> machines) {
    Map<Kind, ArrayNode> kinds = new LinkedHashMap<>();
    ObjectNode context = form();
    ArrayNode groups = context.putArray("groups");
    machines.forEach(
        (id, machine) -> {
          Kind kind =
              new Kind(
                  machine.type(),
                  machine.zone(),
                  machine.spot(),
                  machine.sinceWall(),
                  machine.upIn());
          kinds
              .computeIfAbsent(
                  kind,
                  k ->
                      groups
                          .addObject()
                          .put("type", k.type())
                          .put("zone", k.zone())
                          .put("spot", k.spot())
                          .put("at", k.sinceWall())
                          .put("up", k.upIn())
                          .putArray("ids"))
              .add(id);
        });
    return context;
  }

  public static JsonNode writeOrphan(String shard) {
    return form().put("m", shard);
  }

  public static JsonNode write(Shard shard) {
    return form().put("holder", shard.holder());
  }

  public static JsonNode write(Member member) {
    return form().put("boot", member.boot());
  }

  public static JsonNode write(Quota quota) {
    ObjectNode context = form();
    ObjectNode shares = context.putObject("shares");
    quota.shares().forEach((m, s) -> shares.putArray(m).add(s[0]).add(s[1]));
    return context;
  }

  public static JsonNode write(FinishedJob end) {
    return form().put("done", end.done()).put("tasks", end.tasks()).put("finished", end.finished());
  }

  /** A reader of one form. */
  private interface Reader<T> {
    T read(JsonNode context) throws Json.MalformedJsonException;
  }

  private static <T> T read(JsonNode context, Reader<T> reader) throws UnreadableRecordException {
    return read(context, FORM, reader);
  }

  private static <T> T read(JsonNode context, int newest, Reader<T> reader)
      throws UnreadableRecordException {
    JsonNode form = context.path("f");
    if (!form.isInt()) {
      throw new UnreadableRecordException("not one of our records");
    }
    if (form.intValue() < FORM || form.intValue() > newest) {
      throw new UnreadableRecordException(
          "written in form " + form.intValue() + ", this version reads " + newest);
    }
    try {
      return reader.read(context);
    } catch (Json.MalformedJsonException | IllegalArgumentException e) {
      throw new UnreadableRecordException("damaged: " + e.getMessage());
    }
  }

  public static Job readJob(JsonNode value) throws UnreadableRecordException {
    return read(
        value,
        JOB_FORM,
        context -> {
          JobSpec spec = UserProtocol.readJob(context.path("job"));
          List<Part> parts = new ArrayList<>();
          for (JsonNode one : context.path("parts")) {
            long from = Json.count(one, "a");
            long to = Json.count(one, "z");
            if (from >= to || to > spec.tasks()) {
              throw new Json.MalformedJsonException("parts");
            }
            parts.add(
                new Part(
                    Json.text(one, "m"),
                    Json.count(one, "e"),
                    (int) from,
                    (int) to,
                    readCaps(one)));
          }
          return new Job(
              spec,
              Json.count(context, "at"),
              context.has("zone") ? Json.text(context, "zone") : null,
              List.copyOf(parts));
        });
  }

  public static Range readRange(JsonNode value) throws UnreadableRecordException {
    return read(
        value,
        context -> {
          long from = Json.count(context, "a");
          long to = Json.count(context, "z");
          if (from > to || to > UserProtocol.MAX_TASKS) {
            throw new Json.MalformedJsonException("z");
          }
          return new Range(
              Json.text(context, "m"),
              Json.count(context, "e"),
              (int) from,
              (int) to,
              TaskSet.decode(Json.text(context, "done"), (int) (to - from)),
              readCaps(context),
              Json.text(context, "team"),
              context.path("c").asDouble(),
              context.path("g").asDouble());
        });
  }

  /** The machines of one part of a roster by name. */
  public static Map<String, Machine> readInventory(InventoryKey key, JsonNode value)
      throws UnreadableRecordException {
    return read(
        value,
        context -> {
          if (!context.path("groups").isArray()) {
            throw new Json.MalformedJsonException("groups");
          }
          Map<String, Machine> machines = new TreeMap<>();
          for (JsonNode group : context.path("groups")) {
            Machine machine =
                new Machine(
                    key.shard(),
                    key.part(),
                    Json.text(group, "type"),
                    Json.text(group, "zone"),
                    group.path("spot").asBoolean(),
                    Json.count(group, "at"),
                    Json.count(group, "up"));
            for (JsonNode id : group.path("ids")) {
              machines.put(id.asText(), machine);
            }
          }
          return machines;
        });
  }

  public static Shard readShard(JsonNode value) throws UnreadableRecordException {
    return read(value, context -> new Shard(Json.text(context, "holder")));
  }

  public static Member readMember(JsonNode value) throws UnreadableRecordException {
    return read(value, context -> new Member(Json.text(context, "boot")));
  }

  public static Quota readQuota(JsonNode value) throws UnreadableRecordException {
    return read(
        value,
        context -> {
          Map<String, double[]> shares = new TreeMap<>();
          for (var share : context.path("shares").properties()) {
            double cpus = share.getValue().path(0).asDouble(-1);
            double gpus = share.getValue().path(1).asDouble(-1);
            if (!(cpus >= 0) || !(gpus >= 0)) {
              throw new Json.MalformedJsonException("shares");
            }
            shares.put(share.getKey(), new double[] {cpus, gpus});
          }
          return new Quota(shares);
        });
  }

  public static FinishedJob readFinal(JsonNode value) throws UnreadableRecordException {
    return read(
        value,
        context -> {
          if (!context.path("done").isBoolean()) {
            throw new Json.MalformedJsonException("done");
          }
          return new FinishedJob(
              context.path("done").booleanValue(),
              (int) Json.count(context, "tasks"),
              (int) Json.count(context, "finished"));
        });
  }
}
