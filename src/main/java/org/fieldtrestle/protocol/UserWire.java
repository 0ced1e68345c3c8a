package org.fieldtrestle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** The users' interface: names and shapes of its messages. */
public final class UserWire {
  public static final String JOBS = "/v2/runs";
  public static final String CANCEL = "abort";
  public static final String READY = "/ready";
  public static final String STATS = "/stats";
  public static final int MAX_TASKS = 100_000;

  /** For how long a user waits for the answer to a question. */
  public static final long POLL_TIMEOUT_MS = 2000;

  private static final Pattern ID = Pattern.compile("job-[0-9]{1,40}");
  private static final int MAX_NAME = 512;

  private UserWire() {}

  public static boolean validId(String id) {
    return ID.matcher(id).matches();
  }

  public static JobSpec readJob(byte[] body) throws Json.Malformed {
    JobSpec spec = readJob(Json.parse(body));
    if (spec.tasks() < 1 || spec.tasks() > MAX_TASKS) {
      throw new Json.Malformed("boards");
    }
    return spec;
  }

  /** Also the form in which a job is kept at the state service. */
  public static JobSpec readJob(JsonNode node) throws Json.Malformed {
    String id = Json.text(node, "uid");
    if (!validId(id)) {
      throw new Json.Malformed("uid");
    }
    JobSpec.Kind kind =
        switch (Json.text(node, "cut")) {
          case "array" -> JobSpec.Kind.ARRAY;
          case "group" -> JobSpec.Kind.GANG;
          case "daemon" -> JobSpec.Kind.SERVICE;
          default -> throw new Json.Malformed("cut");
        };
    long tasks = Json.count(node, "boards");
    if (tasks > MAX_TASKS) {
      throw new Json.Malformed("boards");
    }
    List<String> types = new ArrayList<>();
    if (!Json.absent(node, "rigs")) {
      if (!node.get("rigs").isArray() || node.get("rigs").isEmpty()) {
        throw new Json.Malformed("rigs");
      }
      for (JsonNode type : node.get("rigs")) {
        if (!type.isTextual()) {
          throw new Json.Malformed("rigs");
        }
        types.add(name(type.textValue(), "rigs"));
      }
    }
    double cpus = Json.amount(node, "cpus");
    double gpus = Json.amount(node, "gpus");
    double memoryGb = Json.amount(node, "memoryGb");
    if (cpus + gpus + memoryGb <= 0) {
      throw new Json.Malformed("cpus");
    }
    return new JobSpec(
        id,
        name(Json.text(node, "lot"), "lot"),
        name(Json.text(node, "crew"), "crew"),
        kind,
        priority(Json.text(node, "urgency")),
        (int) tasks,
        cpus,
        gpus,
        memoryGb,
        name(Json.text(node, "blueprint"), "blueprint"),
        Json.amount(node, "pullGb"),
        List.copyOf(types),
        Json.absent(node, "yard") ? null : name(Json.text(node, "yard"), "yard"),
        Json.flag(node, "together"),
        Json.flag(node, "scatter"),
        Json.flag(node, "loaners"),
        Json.amount(node, "expectedS"),
        Json.amount(node, "tallyS"),
        Json.amount(node, "stackS"),
        Json.absent(node, "dueS") ? -1 : Json.amount(node, "dueS"));
  }

  private static String name(String text, String field) throws Json.Malformed {
    if (text.isEmpty() || text.length() > MAX_NAME) {
      throw new Json.Malformed(field);
    }
    return text;
  }

  private static Priority priority(String text) throws Json.Malformed {
    return switch (text) {
      case "critical" -> Priority.CRITICAL;
      case "urgent" -> Priority.URGENT;
      case "normal" -> Priority.NORMAL;
      case "low" -> Priority.LOW;
      default -> throw new Json.Malformed("urgency");
    };
  }

  public static ObjectNode writeJob(JobSpec spec) {
    ObjectNode node = Json.object();
    node.put("uid", spec.id());
    node.put("lot", spec.jobClass());
    node.put("crew", spec.team());
    node.put(
        "cut",
        switch (spec.kind()) {
          case ARRAY -> "array";
          case GANG -> "group";
          case SERVICE -> "daemon";
        });
    node.put(
        "urgency",
        switch (spec.priority()) {
          case CRITICAL -> "critical";
          case URGENT -> "urgent";
          case NORMAL -> "normal";
          case LOW -> "low";
        });
    node.put("boards", spec.tasks());
    node.put("cpus", spec.cpus());
    node.put("gpus", spec.gpus());
    node.put("memoryGb", spec.memoryGb());
    node.put("blueprint", spec.image());
    node.put("pullGb", spec.imageGb());
    if (!spec.types().isEmpty()) {
      ArrayNode types = node.putArray("rigs");
      spec.types().forEach(types::add);
    }
    if (spec.zone() != null) {
      node.put("yard", spec.zone());
    }
    node.put("together", spec.oneZone());
    node.put("scatter", spec.spread());
    node.put("loaners", spec.spot());
    node.put("expectedS", spec.estimateS());
    node.put("tallyS", spec.checkpointS());
    node.put("stackS", spec.saveS());
    if (spec.deadlineS() >= 0) {
      node.put("dueS", spec.deadlineS());
    }
    return node;
  }

  /** What a user is told of a job. */
  public enum Stage {
    QUEUED("queued"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("cancelled");

    private final String wire;

    Stage(String wire) {
      this.wire = wire;
    }
  }

  public static byte[] accepted(String id, Stage stage) {
    return Json.bytes(Json.object().put("uid", id).put("stage", stage.wire));
  }

  public static byte[] status(String id, Stage stage, int done, int running) {
    return Json.bytes(
        Json.object()
            .put("uid", id)
            .put("stage", stage.wire)
            .put("done", done)
            .put("running", running));
  }

  public static byte[] error(String reason) {
    return Json.bytes(Json.object().put("error", reason));
  }
}
