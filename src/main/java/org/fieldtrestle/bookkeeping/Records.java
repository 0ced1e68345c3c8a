package org.fieldtrestle.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.Map;
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

  /** Everything that all controllers follow. */
  public static final String LIVE = "ft/live/";

  private static final String JOB = LIVE + "job/";
  private static final String RANGE = LIVE + "range/";
  private static final String MACHINE = LIVE + "machine/";
  private static final String MASTER = LIVE + "master/";
  private static final String MEMBER = LIVE + "member/";
  private static final String QUOTA = LIVE + "quota/";
  private static final String FINAL = "ft/final/";

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

    @Override
    public String toString() {
      return job + "#" + index;
    }
  }

  public record MachineKey(String machine) implements Key {}

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

  public static String machine(String id) {
    return MACHINE + id;
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
    if (key.startsWith(RANGE)) {
      int slash = key.lastIndexOf('/');
      String index = key.substring(slash + 1);
      if (slash > RANGE.length() && index.matches("[0-9]{1,6}")) {
        return new RangeKey(key.substring(RANGE.length(), slash), Integer.parseInt(index));
      }
    }
    if (key.startsWith(MACHINE)) {
      return new MachineKey(key.substring(MACHINE.length()));
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

  /** A value that we cannot use. */
  public static final class Unreadable extends Exception {
    private static final long serialVersionUID = 1;

    public Unreadable(String reason) {
      super(reason);
    }
  }

  /** An accepted job; {@code zone} is set where all its tasks have to be in one. */
  public record Job(JobSpec spec, long acceptedWall, String zone, int ranges) {}

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
   * A machine in a master's hands. Nothing is started on it before {@code up} is durable, so that a
   * successor need not wait for those that were still booting.
   */
  public record Machine(
      String master,
      String type,
      String zone,
      boolean spot,
      String address,
      long sinceWall,
      boolean up) {}

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
    ObjectNode node = form();
    node.set("job", UserWire.writeJob(job.spec()));
    node.put("at", job.acceptedWall());
    if (job.zone() != null) {
      node.put("zone", job.zone());
    }
    return node.put("ranges", job.ranges());
  }

  public static JsonNode write(Range range) {
    ObjectNode node = form();
    node.put("m", range.master())
        .put("e", range.epoch())
        .put("a", range.from())
        .put("z", range.to());
    node.put("done", TaskSet.encode(range.done()));
    if (!range.caps().isEmpty()) {
      ObjectNode caps = node.putObject("caps");
      range.caps().forEach(caps::put);
    }
    return node.put("team", range.team()).put("c", range.cpus()).put("g", range.gpus());
  }

  public static JsonNode write(Machine machine) {
    return form()
        .put("m", machine.master())
        .put("type", machine.type())
        .put("zone", machine.zone())
        .put("spot", machine.spot())
        .put("addr", machine.address())
        .put("at", machine.sinceWall())
        .put("up", machine.up());
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
    JsonNode form = node.path("f");
    if (!form.isInt()) {
      throw new Unreadable("not one of our records");
    }
    if (form.intValue() != FORM) {
      throw new Unreadable("written in form " + form.intValue() + ", this version reads " + FORM);
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
        node ->
            new Job(
                UserWire.readJob(node.path("job")),
                Json.count(node, "at"),
                node.has("zone") ? Json.text(node, "zone") : null,
                (int) Json.count(node, "ranges")));
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
          Map<String, Integer> caps = new TreeMap<>();
          for (var cap : node.path("caps").properties()) {
            caps.put(cap.getKey(), cap.getValue().asInt());
          }
          return new Range(
              Json.text(node, "m"),
              Json.count(node, "e"),
              (int) from,
              (int) to,
              TaskSet.decode(Json.text(node, "done"), (int) (to - from)),
              caps,
              Json.text(node, "team"),
              node.path("c").asDouble(),
              node.path("g").asDouble());
        });
  }

  public static Machine readMachine(JsonNode value) throws Unreadable {
    return read(
        value,
        node ->
            new Machine(
                Json.text(node, "m"),
                Json.text(node, "type"),
                Json.text(node, "zone"),
                node.path("spot").asBoolean(),
                node.path("addr").asText(""),
                Json.count(node, "at"),
                node.path("up").asBoolean(true)));
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
