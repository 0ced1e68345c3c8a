package org.fieldtrestle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** The users' interface: names and shapes of its messages. */
public final class UserProtocol {
  public static final String JOBS = "/v2/runs";
  public static final String CANCEL = "abort";
  public static final String READY = "/ready";
  public static final String STATS = "/stats";
  public static final int MAX_TASKS = 100_000;

  /** For how long a user waits for the answer to a question. */
  public static final long POLL_TIMEOUT_MS = 2000;

  private static final Pattern ID = Pattern.compile("job-[0-9]{1,40}");
  private static final int MAX_NAME = 512;

  private UserProtocol() {}

  public static boolean validId(String id) {
    return ID.matcher(id).matches();
  }

  public static JobSpec readJob(byte[] body) throws Json.MalformedJsonException {
    JobSpec spec = readJob(Json.parse(body));
    if (spec.tasks() < 1 || spec.tasks() > MAX_TASKS) {
      throw new Json.MalformedJsonException("boards");
    }
    return spec;
  }

  /** Also the form in which a job is kept at the state service. */
  public static JobSpec readJob(JsonNode context) throws Json.MalformedJsonException {
    String id = Json.text(context, "uid");
    if (!validId(id)) {
      throw new Json.MalformedJsonException("uid");
    }
    JobSpec.Kind kind =
        switch (Json.text(context, "cut")) {
          case "array" -> JobSpec.Kind.ARRAY;
          case "group" -> JobSpec.Kind.GANG;
          case "daemon" -> JobSpec.Kind.SERVICE;
          default -> throw new Json.MalformedJsonException("cut");
        };
    long tasks = Json.count(context, "boards");
    if (tasks > MAX_TASKS) {
      throw new Json.MalformedJsonException("boards");
    }
    List<String> types = new ArrayList<>();
    if (!Json.absent(context, "rigs")) {
      if (!context.get("rigs").isArray() || context.get("rigs").isEmpty()) {
        throw new Json.MalformedJsonException("rigs");
      }
      for (JsonNode type : context.get("rigs")) {
        if (!type.isTextual()) {
          throw new Json.MalformedJsonException("rigs");
        }
        types.add(name(type.textValue(), "rigs"));
      }
    }
    double cpus = Json.amount(context, "cpus");
    double gpus = Json.amount(context, "gpus");
    double memoryGb = Json.amount(context, "memoryGb");
    if (cpus + gpus + memoryGb <= 0) {
      throw new Json.MalformedJsonException("cpus");
    }
    return new JobSpec(
        id,
        name(Json.text(context, "lot"), "lot"),
        name(Json.text(context, "crew"), "crew"),
        kind,
        priority(Json.text(context, "urgency")),
        (int) tasks,
        cpus,
        gpus,
        memoryGb,
        name(Json.text(context, "blueprint"), "blueprint"),
        Json.amount(context, "pullGb"),
        List.copyOf(types),
        Json.absent(context, "yard") ? null : name(Json.text(context, "yard"), "yard"),
        Json.flag(context, "together"),
        Json.flag(context, "scatter"),
        Json.flag(context, "loaners"),
        Json.amount(context, "expectedS"),
        Json.amount(context, "tallyS"),
        Json.amount(context, "stackS"),
        Json.absent(context, "dueS") ? -1 : Json.amount(context, "dueS"));
  }

  private static String name(String text, String field) throws Json.MalformedJsonException {
    if (text.isEmpty() || text.length() > MAX_NAME) {
      throw new Json.MalformedJsonException(field);
    }
    return text;
  }

  private static Priority priority(String text) throws Json.MalformedJsonException {
    return switch (text) {
      case "critical" -> Priority.CRITICAL;
      case "urgent" -> Priority.URGENT;
      case "normal" -> Priority.NORMAL;
      case "low" -> Priority.LOW;
      default -> throw new Json.MalformedJsonException("urgency");
    };
  }

  public static ObjectNode writeJob(JobSpec spec) {
    ObjectNode context = Json.object();
    context.put("uid", spec.id());
    context.put("lot", spec.jobClass());
    context.put("crew", spec.team());
    context.put(
        "cut",
        switch (spec.kind()) {
          case ARRAY -> "array";
          case GANG -> "group";
          case SERVICE -> "daemon";
        });
    context.put(
        "urgency",
        switch (spec.priority()) {
          case CRITICAL -> "critical";
          case URGENT -> "urgent";
          case NORMAL -> "normal";
          case LOW -> "low";
        });
    context.put("boards", spec.tasks());
    context.put("cpus", spec.cpus());
    context.put("gpus", spec.gpus());
    context.put("memoryGb", spec.memoryGb());
    context.put("blueprint", spec.image());
    context.put("pullGb", spec.imageGb());
    if (!spec.types().isEmpty()) {
      ArrayNode types = context.putArray("rigs");
      spec.types().forEach(types::add);
    }
    if (spec.zone() != null) {
      context.put("yard", spec.zone());
    }
    context.put("together", spec.oneZone());
    context.put("scatter", spec.spread());
    context.put("loaners", spec.spot());
    context.put("expectedS", spec.estimateS());
    context.put("tallyS", spec.checkpointS());
    context.put("stackS", spec.saveS());
    if (spec.deadlineS() >= 0) {
      context.put("dueS", spec.deadlineS());
    }
    return context;
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
