package org.fieldtrestle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads and writes the JSON form of a job, in which users submit jobs and controllers store them.
 */
public final class JobSpecCodec {
  private static final int MAX_NAME_LENGTH = 512;
  private static final double NO_DEADLINE = -1;

  private JobSpecCodec() {}

  /**
   * Reads a job.
   *
   * @throws MalformedJsonException if a field is missing or invalid; the message is the field's
   *     name
   */
  public static JobSpec read(JsonNode json) throws MalformedJsonException {
    String id = Json.text(json, "uid");
    if (!UserProtocol.isValidJobId(id)) {
      throw new MalformedJsonException("uid");
    }
    JobSpec.Kind kind = parseKind(Json.text(json, "cut"));
    long tasks = Json.count(json, "boards");
    if (tasks > UserProtocol.MAX_TASKS) {
      throw new MalformedJsonException("boards");
    }
    List<String> types = readMachineTypes(json);
    double cpus = Json.amount(json, "cpus");
    double gpus = Json.amount(json, "gpus");
    double memoryGb = Json.amount(json, "memoryGb");
    if (cpus + gpus + memoryGb <= 0) {
      throw new MalformedJsonException("cpus");
    }
    return new JobSpec(
        id,
        readName(json, "lot"),
        readName(json, "crew"),
        kind,
        parsePriority(Json.text(json, "urgency")),
        (int) tasks,
        cpus,
        gpus,
        memoryGb,
        readName(json, "blueprint"),
        Json.amount(json, "pullGb"),
        types,
        Json.isAbsent(json, "yard") ? null : readName(json, "yard"),
        Json.flag(json, "together"),
        Json.flag(json, "scatter"),
        Json.flag(json, "loaners"),
        Json.amount(json, "expectedS"),
        Json.amount(json, "tallyS"),
        Json.amount(json, "stackS"),
        Json.isAbsent(json, "dueS") ? NO_DEADLINE : Json.amount(json, "dueS"));
  }

  private static List<String> readMachineTypes(JsonNode json) throws MalformedJsonException {
    if (Json.isAbsent(json, "rigs")) {
      return List.of();
    }
    JsonNode rigs = json.get("rigs");
    if (!rigs.isArray() || rigs.isEmpty()) {
      throw new MalformedJsonException("rigs");
    }
    List<String> types = new ArrayList<>();
    for (JsonNode type : rigs) {
      if (!type.isTextual()) {
        throw new MalformedJsonException("rigs");
      }
      types.add(requireValidName(type.textValue(), "rigs"));
    }
    return List.copyOf(types);
  }

  private static String readName(JsonNode json, String field) throws MalformedJsonException {
    return requireValidName(Json.text(json, field), field);
  }

  private static String requireValidName(String text, String field) throws MalformedJsonException {
    if (text.isEmpty() || text.length() > MAX_NAME_LENGTH) {
      throw new MalformedJsonException(field);
    }
    return text;
  }

  private static JobSpec.Kind parseKind(String text) throws MalformedJsonException {
    return switch (text) {
      case "array" -> JobSpec.Kind.ARRAY;
      case "group" -> JobSpec.Kind.GANG;
      case "daemon" -> JobSpec.Kind.SERVICE;
      default -> throw new MalformedJsonException("cut");
    };
  }

  private static String wireName(JobSpec.Kind kind) {
    return switch (kind) {
      case ARRAY -> "array";
      case GANG -> "group";
      case SERVICE -> "daemon";
    };
  }

  private static Priority parsePriority(String text) throws MalformedJsonException {
    return switch (text) {
      case "critical" -> Priority.CRITICAL;
      case "urgent" -> Priority.URGENT;
      case "normal" -> Priority.NORMAL;
      case "low" -> Priority.LOW;
      default -> throw new MalformedJsonException("urgency");
    };
  }

  private static String wireName(Priority priority) {
    return switch (priority) {
      case CRITICAL -> "critical";
      case URGENT -> "urgent";
      case NORMAL -> "normal";
      case LOW -> "low";
    };
  }

  /** Writes a job. */
  public static ObjectNode write(JobSpec spec) {
    ObjectNode json = Json.object();
    json.put("uid", spec.id());
    json.put("lot", spec.jobClass());
    json.put("crew", spec.team());
    json.put("cut", wireName(spec.kind()));
    json.put("urgency", wireName(spec.priority()));
    json.put("boards", spec.tasks());
    json.put("cpus", spec.cpus());
    json.put("gpus", spec.gpus());
    json.put("memoryGb", spec.memoryGb());
    json.put("blueprint", spec.image());
    json.put("pullGb", spec.imageGb());
    if (!spec.types().isEmpty()) {
      ArrayNode types = json.putArray("rigs");
      spec.types().forEach(types::add);
    }
    if (spec.zone() != null) {
      json.put("yard", spec.zone());
    }
    json.put("together", spec.oneZone());
    json.put("scatter", spec.spread());
    json.put("loaners", spec.spot());
    json.put("expectedS", spec.estimateS());
    json.put("tallyS", spec.checkpointIntervalS());
    json.put("stackS", spec.saveTimeS());
    if (spec.deadlineS() >= 0) {
      json.put("dueS", spec.deadlineS());
    }
    return json;
  }
}
