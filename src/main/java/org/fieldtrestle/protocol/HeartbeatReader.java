package org.fieldtrestle.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.fieldtrestle.protocol.WorkerProtocol.Cause;
import org.fieldtrestle.protocol.WorkerProtocol.Heartbeat;
import org.fieldtrestle.protocol.WorkerProtocol.ReportedTask;
import org.fieldtrestle.protocol.WorkerProtocol.TaskState;

/**
 * Reads workers' reports token by token: they are most of what a controller receives, and a tree of
 * each would cost several times as much.
 */
final class HeartbeatReader {
  private static final Pattern MACHINE = Pattern.compile("[A-Za-z0-9._-]{1,100}");
  private static final Pattern ADDRESS = Pattern.compile("[0-9.]{7,15}:[0-9]{1,5}");

  /** More tasks than any machine could hold; a report with more is absurd. */
  private static final int MAX_TASKS = 10_000;

  private static final long ABSENT = -1;

  private final JsonParser parser;
  private String machine;
  private String address;
  private String type;
  private String zone;
  private Boolean spot;
  private long session = ABSENT;
  private long sequence = ABSENT;
  private long token = ABSENT;
  private double noticeS = ABSENT;
  private List<ReportedTask> tasks = List.of();

  private HeartbeatReader(JsonParser parser) {
    this.parser = parser;
  }

  static Heartbeat read(byte[] body) throws Json.MalformedJsonException {
    try (JsonParser parser = Json.parser(body)) {
      return new HeartbeatReader(parser).report();
    } catch (IOException e) {
      throw new Json.MalformedJsonException("not JSON");
    }
  }

  private Heartbeat report() throws IOException, Json.MalformedJsonException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new Json.MalformedJsonException("not an object");
    }
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String field = parser.currentName();
      parser.nextToken();
      read(field);
    }
    if (parser.nextToken() != null) {
      throw new Json.MalformedJsonException("not JSON");
    }
    return new Heartbeat(
        matching(MACHINE, machine, "bench"),
        matching(ADDRESS, address, "address"),
        present(type, "rig"),
        present(zone, "yard"),
        present(spot, "loaners"),
        present(session, "shift"),
        present(sequence, "tally"),
        present(token, "warrant"),
        noticeS,
        tasks);
  }

  private void read(String field) throws IOException, Json.MalformedJsonException {
    switch (field) {
      case "bench" -> machine = text(field);
      case "address" -> address = text(field);
      case "rig" -> type = text(field);
      case "yard" -> zone = text(field);
      case "loaners" -> spot = flag(field);
      case "shift" -> session = count(field);
      case "tally" -> sequence = count(field);
      case "warrant" -> token = count(field);
      case "recallS" -> noticeS = isNull() ? ABSENT : amount(field);
      case "boards" -> tasks = isNull() ? List.of() : tasks();
      default -> parser.skipChildren();
    }
  }

  private List<ReportedTask> tasks() throws IOException, Json.MalformedJsonException {
    if (parser.currentToken() != JsonToken.START_ARRAY) {
      throw new Json.MalformedJsonException("boards");
    }
    List<ReportedTask> all = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      if (all.size() == MAX_TASKS || parser.currentToken() != JsonToken.START_OBJECT) {
        throw new Json.MalformedJsonException("boards");
      }
      all.add(task());
    }
    return all;
  }

  private ReportedTask task() throws IOException, Json.MalformedJsonException {
    String id = null;
    long attempt = ABSENT;
    TaskState state = null;
    Cause cause = Cause.NONE;
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
    return new ReportedTask(
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
      // "fetching", a gang's "waiting" for its peers, and whatever a later worker may call a task
      // that is not running yet
      default -> TaskState.FETCHING;
    };
  }

  private Cause cause() throws IOException {
    if (parser.currentToken().isStructStart()) {
      parser.skipChildren();
      return Cause.NONE;
    }
    return switch (parser.getValueAsString("")) {
      case "done" -> Cause.DONE;
      // The latter two: a gang's task whose peers did not come, or went.
      case "halted", "peers", "alone" -> Cause.STOPPED;
      case "full" -> Cause.NO_ROOM;
      case "in_use" -> Cause.BUSY;
      case "unknown" -> Cause.UNKNOWN;
      case "" -> Cause.NONE;
      default -> Cause.ERROR;
    };
  }

  // ---- values

  private boolean isNull() {
    return parser.currentToken() == JsonToken.VALUE_NULL;
  }

  private String text(String field) throws IOException, Json.MalformedJsonException {
    if (parser.currentToken() != JsonToken.VALUE_STRING) {
      throw new Json.MalformedJsonException(field);
    }
    return parser.getText();
  }

  private boolean flag(String field) throws IOException, Json.MalformedJsonException {
    if (!parser.currentToken().isBoolean()) {
      throw new Json.MalformedJsonException(field);
    }
    return parser.getBooleanValue();
  }

  /** A count; those beyond a signed long, though allowed on the wire, are never sent to us. */
  private long count(String field) throws IOException, Json.MalformedJsonException {
    if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT
        || parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
        || parser.getLongValue() < 0) {
      throw new Json.MalformedJsonException(field);
    }
    return parser.getLongValue();
  }

  private double amount(String field) throws IOException, Json.MalformedJsonException {
    if (!parser.currentToken().isNumeric()) {
      throw new Json.MalformedJsonException(field);
    }
    double value = parser.getDoubleValue();
    if (!Double.isFinite(value) || value < 0) {
      throw new Json.MalformedJsonException(field);
    }
    return value;
  }

  private static <T> T present(T value, String field) throws Json.MalformedJsonException {
    if (value == null) {
      throw new Json.MalformedJsonException(field);
    }
    return value;
  }

  private static long present(long value, String field) throws Json.MalformedJsonException {
    if (value == ABSENT) {
      throw new Json.MalformedJsonException(field);
    }
    return value;
  }

  private static String matching(Pattern pattern, String text, String field)
      throws Json.MalformedJsonException {
    if (text == null || !pattern.matcher(text).matches()) {
      throw new Json.MalformedJsonException(field);
    }
    return text;
  }
}
