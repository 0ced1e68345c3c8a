package org.fieldtrestle.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Reads heartbeats token by token: they are most of what a controller receives, and a tree of each
 * would cost several times as much. One reader reads one heartbeat.
 */
final class HeartbeatReader {
  private static final Pattern MACHINE = Pattern.compile("[A-Za-z0-9._-]{1,100}");
  private static final Pattern ADDRESS = Pattern.compile("[0-9.]{7,15}:[0-9]{1,5}");

  /** More tasks than any machine can hold. */
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
      return new HeartbeatReader(parser).heartbeat();
    } catch (IOException e) {
      throw new MalformedJsonException("not JSON");
    }
  }

  private Heartbeat heartbeat() throws IOException, MalformedJsonException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new MalformedJsonException("not an object");
    }
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String field = parser.currentName();
      parser.nextToken();
      read(field);
    }
    if (parser.nextToken() != null) {
      throw new MalformedJsonException("not JSON");
    }
    return new Heartbeat(
        matching(MACHINE, machine, "bench"),
        matching(ADDRESS, address, "address"),
        present(type, "rig"),
        present(zone, "yard"),
        present(spot, "loaners"),
        present(incarnation, "shift"),
        present(sequence, "tally"),
        present(fencingToken, "warrant"),
        spotNoticeS,
        tasks);
  }

  private void read(String field) throws IOException, MalformedJsonException {
    switch (field) {
      case "bench" -> machine = text(field);
      case "address" -> address = text(field);
      case "rig" -> type = text(field);
      case "yard" -> zone = text(field);
      case "loaners" -> spot = flag(field);
      case "shift" -> incarnation = count(field);
      case "tally" -> sequence = count(field);
      case "warrant" -> fencingToken = count(field);
      case "recallS" -> spotNoticeS = isNull() ? ABSENT : amount(field);
      case "boards" -> tasks = isNull() ? List.of() : taskList();
      default -> parser.skipChildren();
    }
  }

  private List<TaskStatus> taskList() throws IOException, MalformedJsonException {
    if (parser.currentToken() != JsonToken.START_ARRAY) {
      throw new MalformedJsonException("boards");
    }
    List<TaskStatus> list = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      if (list.size() == MAX_TASKS || parser.currentToken() != JsonToken.START_OBJECT) {
        throw new MalformedJsonException("boards");
      }
      list.add(task());
    }
    return list;
  }

  private TaskStatus task() throws IOException, MalformedJsonException {
    String id = null;
    long attempt = ABSENT;
    TaskState state = null;
    ExitCause cause = ExitCause.NONE;
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String field = parser.currentName();
      parser.nextToken();
      switch (field) {
        case "board" -> id = text(field);
        case "try" -> attempt = count(field);
        case "stage" -> state = state(text(field));
        case "cause" -> cause = cause();
        default -> parser.skipChildren();
      }
    }
    return new TaskStatus(
        TaskId.parse(present(id, "board")),
        present(attempt, "try"),
        present(state, "stage"),
        cause);
  }

  private static TaskState state(String stage) {
    return switch (stage) {
      case "running" -> TaskState.RUNNING;
      case "saving" -> TaskState.SAVING;
      case "exited" -> TaskState.EXITED;
      // "fetching", "waiting" of a gang's task, and what a later worker may call a task that does
      // not run yet
      default -> TaskState.FETCHING;
    };
  }

  private ExitCause cause() throws IOException {
    if (parser.currentToken().isStructStart()) {
      parser.skipChildren();
      return ExitCause.NONE;
    }
    return switch (parser.getValueAsString("")) {
      case "done" -> ExitCause.DONE;
      // The latter two: the other tasks of the gang did not start, or have ended.
      case "halted", "peers", "alone" -> ExitCause.STOPPED;
      case "full" -> ExitCause.NO_ROOM;
      case "in_use" -> ExitCause.BUSY;
      case "unknown" -> ExitCause.UNKNOWN;
      case "" -> ExitCause.NONE;
      default -> ExitCause.ERROR;
    };
  }

  private boolean isNull() {
    return parser.currentToken() == JsonToken.VALUE_NULL;
  }

  private String text(String field) throws IOException, MalformedJsonException {
    if (parser.currentToken() != JsonToken.VALUE_STRING) {
      throw new MalformedJsonException(field);
    }
    return parser.getText();
  }

  private boolean flag(String field) throws IOException, MalformedJsonException {
    if (!parser.currentToken().isBoolean()) {
      throw new MalformedJsonException(field);
    }
    return parser.getBooleanValue();
  }

  /** A count; those beyond a signed long, though the protocol allows them, are refused. */
  private long count(String field) throws IOException, MalformedJsonException {
    if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT
        || parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
        || parser.getLongValue() < 0) {
      throw new MalformedJsonException(field);
    }
    return parser.getLongValue();
  }

  private double amount(String field) throws IOException, MalformedJsonException {
    if (!parser.currentToken().isNumeric()) {
      throw new MalformedJsonException(field);
    }
    double value = parser.getDoubleValue();
    if (!Double.isFinite(value) || value < 0) {
      throw new MalformedJsonException(field);
    }
    return value;
  }

  private static <T> T present(T value, String field) throws MalformedJsonException {
    if (value == null) {
      throw new MalformedJsonException(field);
    }
    return value;
  }

  private static long present(long value, String field) throws MalformedJsonException {
    if (value == ABSENT) {
      throw new MalformedJsonException(field);
    }
    return value;
  }

  private static String matching(Pattern pattern, String text, String field)
      throws MalformedJsonException {
    if (text == null || !pattern.matcher(text).matches()) {
      throw new MalformedJsonException(field);
    }
    return text;
  }
}
