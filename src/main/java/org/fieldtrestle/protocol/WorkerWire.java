package org.fieldtrestle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** The workers' interface: reports, commands and answers. */
public final class WorkerWire {
  public static final String REPORT = "/hello";
  public static final String COMMANDS = "/commands";
  public static final String INSPECT = "/inspect";

  /** A worker waits so long for the answer to a report. */
  public static final long ANSWER_WITHIN_MS = 4000;

  private static final Pattern MACHINE = Pattern.compile("[A-Za-z0-9._-]{1,100}");
  private static final Pattern ADDRESS = Pattern.compile("[0-9.]{7,15}:[0-9]{1,5}");

  /** More tasks than any machine could hold; a report with more is absurd. */
  private static final int MAX_TASKS = 10_000;

  private WorkerWire() {}

  /** Where a task on a machine stands. */
  public enum TaskState {
    FETCHING,
    RUNNING,
    SAVING,
    EXITED
  }

  /** Why a task exited. */
  public enum Cause {
    NONE,
    DONE,
    STOPPED,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN
  }

  public record ReportedTask(TaskId task, long attempt, TaskState state, Cause cause) {}

  /** A worker's report; {@code noticeS} below 0 is none. */
  public record Report(
      String machine,
      String address,
      String type,
      String zone,
      boolean spot,
      long session,
      long seq,
      long token,
      double noticeS,
      List<ReportedTask> tasks) {
    public boolean newerThan(long otherSession, long otherSeq) {
      return session > otherSession || (session == otherSession && seq > otherSeq);
    }
  }

  /** An order to a worker. */
  public sealed interface Command {
    TaskId task();

    long attempt();
  }

  public record Start(TaskId task, long attempt) implements Command {}

  public record Stop(TaskId task, long attempt, double graceS) implements Command {}

  public record Clear(TaskId task, long attempt) implements Command {}

  public static Report readReport(byte[] body) throws Json.Malformed {
    JsonNode node = Json.parse(body);
    List<ReportedTask> tasks = new ArrayList<>();
    JsonNode list = node.path("boards");
    if (!list.isMissingNode() && !list.isNull() && !list.isArray() || list.size() > MAX_TASKS) {
      throw new Json.Malformed("boards");
    }
    for (JsonNode item : list) {
      TaskState state =
          switch (Json.text(item, "stage")) {
            case "running" -> TaskState.RUNNING;
            case "saving" -> TaskState.SAVING;
            case "exited" -> TaskState.EXITED;
            // "fetching", a gang's "waiting" for its peers, and whatever a later worker may call a
            // task that is not running yet
            default -> TaskState.FETCHING;
          };
      Cause cause =
          switch (item.path("cause").asText("")) {
            case "done" -> Cause.DONE;
            // The latter two: a gang's task whose peers did not come, or went.
            case "halted", "peers", "alone" -> Cause.STOPPED;
            case "full" -> Cause.NO_ROOM;
            case "in_use" -> Cause.BUSY;
            case "unknown" -> Cause.UNKNOWN;
            case "" -> Cause.NONE;
            default -> Cause.ERROR;
          };
      tasks.add(
          new ReportedTask(
              TaskId.parse(Json.text(item, "board")), Json.count(item, "try"), state, cause));
    }
    String machine = Json.text(node, "bench");
    if (!MACHINE.matcher(machine).matches()) {
      throw new Json.Malformed("bench");
    }
    String address = Json.text(node, "address");
    if (!ADDRESS.matcher(address).matches()) {
      throw new Json.Malformed("address");
    }
    return new Report(
        machine,
        address,
        Json.text(node, "rig"),
        Json.text(node, "yard"),
        Json.flag(node, "loaners"),
        Json.count(node, "shift"),
        Json.count(node, "tally"),
        Json.count(node, "warrant"),
        Json.absent(node, "recallS") ? -1 : Json.amount(node, "recallS"),
        tasks);
  }

  private static ArrayNode orders(List<Command> commands) {
    ArrayNode orders = Json.array();
    for (Command command : commands) {
      ObjectNode order = orders.addObject();
      if (command instanceof Start) {
        order.put("order", "start");
      } else if (command instanceof Stop stop) {
        order.put("order", "stop");
        order.put("windupS", stop.graceS());
      } else {
        order.put("order", "clear");
      }
      order.put("board", command.task().toString());
      order.put("try", command.attempt());
    }
    return orders;
  }

  /** The answer to a report. */
  public static byte[] answer(long token, List<Command> commands) {
    ObjectNode node = Json.object().put("warrant", token);
    node.set("orders", orders(commands));
    return Json.bytes(node);
  }

  /** Commands sent straight to a worker. */
  public static byte[] commands(long token, long session, List<Command> commands) {
    ObjectNode node = Json.object().put("warrant", token).put("shift", session);
    node.set("orders", orders(commands));
    return Json.bytes(node);
  }

  /** Sends a worker on to another node; null where we cannot say to which. */
  public static byte[] redirect(String label) {
    ObjectNode node = Json.object();
    if (label != null) {
      node.put("foreman", label);
    }
    return Json.bytes(node);
  }
}
