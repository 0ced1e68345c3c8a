package org.fieldtrestle.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Reads a heartbeat token by token. Heartbeats are most of what a controller receives, and building
 * a tree of each would cost several times as much. Each instance reads a single heartbeat.
 */
final class HeartbeatReader {
  private static final Pattern MACHINE_NAME = Pattern.compile("[A-Za-z0-9._-]{1,100}");
  private static final Pattern ADDRESS = Pattern.compile("[0-9.]{7,15}:[0-9]{1,5}");

  /** Maximum number of tasks in a heartbeat; no machine can hold that many. */
  private static final int MAX_TASKS = 10_000;

  private static final long ABSENT = -1;

  private final JsonParser parser;
  private String machine;
  private String address;
  private String type;
  private String zone;
  private Boolean spot;
  private long incarnation = ABSENT;
  private long sequence = ABSENT;
  private long fencingToken = ABSENT;
  private double spotNoticeS = ABSENT;
  private List<TaskStatus> tasks = List.of();

  private HeartbeatReader(JsonParser parser) {
    this.parser = parser;
  }

  static Heartbeat read(byte[] body) throws MalformedJsonException {
    try (JsonParser parser = Json.parser(body)) {
      return new HeartbeatReader(parser).readHeartbeat();
    } catch (IOException e) {
      throw new MalformedJsonException("not JSON");
    }
  }

  private Heartbeat readHeartbeat() throws IOException, MalformedJsonException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new MalformedJsonException("not an object");
    }
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String field = parser.currentName();
      parser.nextToken();
      readField(field);
    }
    if (parser.nextToken() != null) {
      throw new MalformedJsonException("not JSON");
    }
    return new Heartbeat(
        requireMatch(MACHINE_NAME, machine, "bench"),
        requireMatch(ADDRESS, address, "address"),
        requirePresent(type, "rig"),
        requirePresent(zone, "yard"),
        requirePresent(spot, "loaners"),
        requirePresent(incarnation, "shift"),
        requirePresent(sequence, "tally"),
        requirePresent(fencingToken, "warrant"),
        spotNoticeS,
        tasks);
  }

  private void readField(String field) throws IOException, MalformedJsonException {
    switch (field) {
      case "bench" -> machine = readText(field);
      case "address" -> address = readText(field);
      case "rig" -> type = readText(field);
      case "yard" -> zone = readText(field);
      case "loaners" -> spot = readBoolean(field);
      case "shift" -> incarnation = readCount(field);
      case "tally" -> sequence = readCount(field);
      case "warrant" -> fencingToken = readCount(field);
      case "recallS" -> spotNoticeS = isNull() ? ABSENT : readAmount(field);
      case "boards" -> tasks = isNull() ? List.of() : readTasks();
      default -> parser.skipChildren();
    }
  }

  private List<TaskStatus> readTasks() throws IOException, MalformedJsonException {
    if (parser.currentToken() != JsonToken.START_ARRAY) {
      throw new MalformedJsonException("boards");
    }
    List<TaskStatus> list = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      if (list.size() == MAX_TASKS || parser.currentToken() != JsonToken.START_OBJECT) {
        throw new MalformedJsonException("boards");
      }
      list.add(readTask());
    }
    return list;
  }

  private TaskStatus readTask() throws IOException, MalformedJsonException {
    String id = null;
    long attempt = ABSENT;
    TaskState state = null;
    ExitCause cause = ExitCause.NONE;
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String field = parser.currentName();
      parser.nextToken();
      switch (field) {
        case "board" -> id = readText(field);
        case "try" -> attempt = readCount(field);
        case "stage" -> state = parseState(readText(field));
        case "cause" -> cause = readCause();
        default -> parser.skipChildren();
      }
    }
    return new TaskStatus(
        TaskId.parse(requirePresent(id, "board")),
        requirePresent(attempt, "try"),
        requirePresent(state, "stage"),
        cause);
  }

  private static TaskState parseState(String stage) {
    return switch (stage) {
      case "running" -> TaskState.RUNNING;
      case "saving" -> TaskState.SAVING;
      case "exited" -> TaskState.EXITED;
      // "fetching"; "waiting", for a task of a gang; and any state that a later version of the
      // worker may report for a task that does not run yet.
      default -> TaskState.FETCHING;
    };
  }

  private ExitCause readCause() throws IOException {
    if (parser.currentToken().isStructStart()) {
      parser.skipChildren();
      return ExitCause.NONE;
    }
    return switch (parser.getValueAsString("")) {
      case "done" -> ExitCause.DONE;
      // "peers" and "alone": the other tasks of the gang did not start or have ended.
      case "halted", "peers", "alone" -> ExitCause.STOPPED;
      case "full" -> ExitCause.NO_ROOM;
      case "in_use" -> ExitCause.OTHER_ATTEMPT_PRESENT;
      case "unknown" -> ExitCause.UNKNOWN;
      case "" -> ExitCause.NONE;
      default -> ExitCause.ERROR;
    };
  }

  private boolean isNull() {
    return parser.currentToken() == JsonToken.VALUE_NULL;
  }

  private String readText(String field) throws IOException, MalformedJsonException {
    if (parser.currentToken() != JsonToken.VALUE_STRING) {
      throw new MalformedJsonException(field);
    }
    return parser.getText();
  }

  private boolean readBoolean(String field) throws IOException, MalformedJsonException {
    if (!parser.currentToken().isBoolean()) {
      throw new MalformedJsonException(field);
    }
    return parser.getBooleanValue();
  }

  /** Reads a count. Rejects counts that exceed a signed long, although the protocol allows them. */
  private long readCount(String field) throws IOException, MalformedJsonException {
    if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT
        || parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
        || parser.getLongValue() < 0) {
      throw new MalformedJsonException(field);
    }
    return parser.getLongValue();
  }

  private double readAmount(String field) throws IOException, MalformedJsonException {
    if (!parser.currentToken().isNumeric()) {
      throw new MalformedJsonException(field);
    }
    double value = parser.getDoubleValue();
    if (!Double.isFinite(value) || value < 0) {
      throw new MalformedJsonException(field);
    }
    return value;
  }

  private static <T> T requirePresent(T value, String field) throws MalformedJsonException {
    if (value == null) {
      throw new MalformedJsonException(field);
    }
    return value;
  }

  private static long requirePresent(long value, String field) throws MalformedJsonException {
    if (value == ABSENT) {
      throw new MalformedJsonException(field);
    }
    return value;
  }

  private static String requireMatch(Pattern pattern, String text, String field)
      throws MalformedJsonException {
    if (text == null || !pattern.matcher(text).matches()) {
      throw new MalformedJsonException(field);
    }
    return text;
  }
}
