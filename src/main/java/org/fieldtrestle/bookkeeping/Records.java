package org.fieldtrestle.bookkeeping;

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
import org.fieldtrestle.protocol.UserWire;

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
  private static final String ROSTER = LIVE + "roster/";
  private static final String STRAY = LIVE + "stray/";

  /** Where a machine had a record of its own, before rosters. */
  private static final String FORMER_MACHINE = LIVE + "machine/";

  private static final String MASTER = LIVE + "master/";
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

  /** One part of a master's roster. */
  public record RosterKey(String master, int part) implements Key {}

  /** A machine in some roster; no key of its own, but what those who follow are told of. */
  public record MachineKey(String machine) implements Key {}

  public record StrayKey(String machine) implements Key {}

  public record MasterKey(String master) implements Key {}

  public record MemberKey(String label) implements Key {}

  public record QuotaKey(String team) implements Key {}

  public record ForeignKey(String key) implements Key {}

  public static String job(String id) {
    return JOB + id;
  }

  public static String range(RangeKey key) {
    return RANGE + key.job() + "/" + key.index();
  }

  public static String roster(RosterKey key) {
    return ROSTER + key.master() + "/" + key.part();
  }

  /**
   * Shows that a machine was adopted by somebody other than its renter, whose own record of it may
   * still be under way: its writer makes the absence of this key a condition.
   */
  public static String stray(String machine) {
    return STRAY + machine;
  }

  public static String master(String label) {
    return MASTER + label;
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
    if (key.startsWith(ROSTER) && slash > ROSTER.length() && index >= 0) {
      return new RosterKey(key.substring(ROSTER.length(), slash), index);
    }
    if (key.startsWith(STRAY)) {
      return new StrayKey(key.substring(STRAY.length()));
    }
    if (key.startsWith(MASTER)) {
      return new MasterKey(key.substring(MASTER.length()));
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
  public static final class Unreadable extends Exception {
    private static final long serialVersionUID = 1;

    public Unreadable(String reason) {
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
          one.master(),
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

  /** Some of a job's tasks, as they were first given to a master. */
  public record Part(String master, long epoch, int from, int to, Map<String, Integer> caps) {}

  /**
   * Some of a job's tasks, from {@code from} up to but without {@code to}, in one master's hands,
   * as of an epoch of it: a later epoch knows that they may have been started before, and an
   * earlier one, which may not know yet that it is over, leaves them alone. {@code done} counts
   * from 0. {@code caps} limits how many may be in a zone at a time; none where it is empty. Team
   * and amounts are here too, since tasks of a job that has been cancelled count until they are
   * gone.
   */
  public record Range(
      String master,
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
      return new Range(master, epoch, from, to, more, caps, team, cpus, gpus);
    }

    /** The part of it from {@code a} up to but without {@code b}, counted in the job's tasks. */
    public Range between(int a, int b) {
      return new Range(master, epoch, a, b, done.get(a - from, b - from), caps, team, cpus, gpus);
    }

    public Range ownedBy(String other, long otherEpoch) {
      return new Range(other, otherEpoch, from, to, done, caps, team, cpus, gpus);
    }
  }

  /**
   * A machine in a master's hands, and the epoch of it in which it came up. Nothing is started on
   * it before that is durable, so that a successor need not wait for those that were still booting.
   * {@code sinceWall} tells for how long one has been booting.
   */
  public record Machine(
      String master, int part, String type, String zone, boolean spot, long sinceWall, long upIn) {
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
          && master.equals(that.master)
          && type.equals(that.type)
          && zone.equals(that.zone);
    }

    @Override
    public int hashCode() {
      return Objects.hash(master, part, type, zone, spot, sinceWall, upIn);
    }

    public Machine upIn(long epoch) {
      return new Machine(master, part, type, zone, spot, 0, epoch);
    }
  }

  /** Which controller acts as this master. */
  public record Master(String holder) {}

  /** A controller that is there; kept under its lease. */
  public record Member(String boot) {}

  /** A team's limit, as split over the masters: CPUs and GPUs. */
  public record Quota(Map<String, double[]> shares) {}

  /** How a job ended. */
  public record Final(boolean done, int tasks, int finished) {}

  private static ObjectNode form() {
    return Json.object().put("f", FORM);
  }

  public static JsonNode write(Job job) {
    ObjectNode node = Json.object().put("f", JOB_FORM);
    node.set("job", UserWire.writeJob(job.spec()));
    node.put("at", job.acceptedWall());
    if (job.zone() != null) {
      node.put("zone", job.zone());
    }
    ArrayNode parts = node.putArray("parts");
    for (Part part : job.parts()) {
      ObjectNode one = parts.addObject();
      one.put("m", part.master()).put("e", part.epoch()).put("a", part.from()).put("z", part.to());
      writeCaps(one, part.caps());
    }
    return node;
  }

  private static void writeCaps(ObjectNode node, Map<String, Integer> caps) {
    if (!caps.isEmpty()) {
      ObjectNode written = node.putObject("caps");
      caps.forEach(written::put);
    }
  }

  private static Map<String, Integer> readCaps(JsonNode node) {
    Map<String, Integer> caps = new TreeMap<>();
    for (var cap : node.path("caps").properties()) {
      caps.put(cap.getKey(), cap.getValue().asInt());
    }
    return caps;
  }

  public static JsonNode write(Range range) {
    ObjectNode node = form();
    node.put("m", range.master())
        .put("e", range.epoch())
        .put("a", range.from())
        .put("z", range.to());
    node.put("done", TaskSet.encode(range.done()));
    writeCaps(node, range.caps());
    return node.put("team", range.team()).put("c", range.cpus()).put("g", range.gpus());
  }

  /** What machines of one part of a roster have in common. */
  private record Kind(String type, String zone, boolean spot, long sinceWall, long upIn) {}

  /** One part of a master's roster: machines that have all but their names in common together. */
  public static JsonNode writeRoster(Map<String, Machine> machines) {
    Map<Kind, ArrayNode> kinds = new LinkedHashMap<>();
    ObjectNode node = form();
    ArrayNode groups = node.putArray("groups");
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
    return node;
  }

  public static JsonNode writeStray(String master) {
    return form().put("m", master);
  }

  public static JsonNode write(Master master) {
    return form().put("holder", master.holder());
  }

  public static JsonNode write(Member member) {
    return form().put("boot", member.boot());
  }

  public static JsonNode write(Quota quota) {
    ObjectNode node = form();
    ObjectNode shares = node.putObject("shares");
    quota.shares().forEach((m, s) -> shares.putArray(m).add(s[0]).add(s[1]));
    return node;
  }

  public static JsonNode write(Final end) {
    return form().put("done", end.done()).put("tasks", end.tasks()).put("finished", end.finished());
  }

  /** A reader of one form. */
  private interface Reader<T> {
    T read(JsonNode node) throws Json.Malformed;
  }

  private static <T> T read(JsonNode node, Reader<T> reader) throws Unreadable {
    return read(node, FORM, reader);
  }

  private static <T> T read(JsonNode node, int newest, Reader<T> reader) throws Unreadable {
    JsonNode form = node.path("f");
    if (!form.isInt()) {
      throw new Unreadable("not one of our records");
    }
    if (form.intValue() < FORM || form.intValue() > newest) {
      throw new Unreadable("written in form " + form.intValue() + ", this version reads " + newest);
    }
    try {
      return reader.read(node);
    } catch (Json.Malformed | IllegalArgumentException e) {
      throw new Unreadable("damaged: " + e.getMessage());
    }
  }

  public static Job readJob(JsonNode value) throws Unreadable {
    return read(
        value,
        JOB_FORM,
        node -> {
          JobSpec spec = UserWire.readJob(node.path("job"));
          List<Part> parts = new ArrayList<>();
          for (JsonNode one : node.path("parts")) {
            long from = Json.count(one, "a");
            long to = Json.count(one, "z");
            if (from >= to || to > spec.tasks()) {
              throw new Json.Malformed("parts");
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
              Json.count(node, "at"),
              node.has("zone") ? Json.text(node, "zone") : null,
              List.copyOf(parts));
        });
  }

  public static Range readRange(JsonNode value) throws Unreadable {
    return read(
        value,
        node -> {
          long from = Json.count(node, "a");
          long to = Json.count(node, "z");
          if (from > to || to > UserWire.MAX_TASKS) {
            throw new Json.Malformed("z");
          }
          return new Range(
              Json.text(node, "m"),
              Json.count(node, "e"),
              (int) from,
              (int) to,
              TaskSet.decode(Json.text(node, "done"), (int) (to - from)),
              readCaps(node),
              Json.text(node, "team"),
              node.path("c").asDouble(),
              node.path("g").asDouble());
        });
  }

  /** The machines of one part of a roster by name. */
  public static Map<String, Machine> readRoster(RosterKey key, JsonNode value) throws Unreadable {
    return read(
        value,
        node -> {
          if (!node.path("groups").isArray()) {
            throw new Json.Malformed("groups");
          }
          Map<String, Machine> machines = new TreeMap<>();
          for (JsonNode group : node.path("groups")) {
            Machine machine =
                new Machine(
                    key.master(),
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

  public static Master readMaster(JsonNode value) throws Unreadable {
    return read(value, node -> new Master(Json.text(node, "holder")));
  }

  public static Member readMember(JsonNode value) throws Unreadable {
    return read(value, node -> new Member(Json.text(node, "boot")));
  }

  public static Quota readQuota(JsonNode value) throws Unreadable {
    return read(
        value,
        node -> {
          Map<String, double[]> shares = new TreeMap<>();
          for (var share : node.path("shares").properties()) {
            double cpus = share.getValue().path(0).asDouble(-1);
            double gpus = share.getValue().path(1).asDouble(-1);
            if (!(cpus >= 0) || !(gpus >= 0)) {
              throw new Json.Malformed("shares");
            }
            shares.put(share.getKey(), new double[] {cpus, gpus});
          }
          return new Quota(shares);
        });
  }

  public static Final readFinal(JsonNode value) throws Unreadable {
    return read(
        value,
        node -> {
          if (!node.path("done").isBoolean()) {
            throw new Json.Malformed("done");
          }
          return new Final(
              node.path("done").booleanValue(),
              (int) Json.count(node, "tasks"),
              (int) Json.count(node, "finished"));
        });
  }
}
