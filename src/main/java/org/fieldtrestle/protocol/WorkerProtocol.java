package org.fieldtrestle.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;

/** The workers' interface: reports, commands and answers. */
public final class WorkerProtocol {
  public static final String REPORT = "/hello";
  public static final String COMMANDS = "/commands";
  public static final String INSPECT = "/inspect";

  /** A worker waits so long for the answer to a report. */
  public static final long ANSWER_WITHIN_MS = 4000;

  private WorkerProtocol() {}

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
  public record Heartbeat(
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

  /** Reads a worker's report. */
  public static Heartbeat readHeartbeat(byte[] body) throws Json.MalformedJsonException {
    return HeartbeatReader.read(body);
  }

  private static void writeOrders(JsonGenerator out, List<Command> commands) throws IOException {
    out.writeArrayFieldStart("orders");
    for (Command command : commands) {
      out.writeStartObject();
      if (command instanceof Start) {
        out.writeStringField("order", "start");
      } else if (command instanceof Stop stop) {
        out.writeStringField("order", "stop");
        out.writeNumberField("windupS", stop.graceS());
      } else {
        out.writeStringField("order", "clear");
      }
      out.writeStringField("board", command.task().toString());
      out.writeNumberField("try", command.attempt());
      out.writeEndObject();
    }
    out.writeEndArray();
  }

  /** The answer to a report. */
  public static byte[] answer(long token, List<Command> commands) {
    return Json.write(
        out -> {
          out.writeNumberField("warrant", token);
          writeOrders(out, commands);
        });
  }

  /** Commands sent straight to a worker. */
  public static byte[] commands(long token, long session, List<Command> commands) {
    return Json.write(
        out -> {
          out.writeNumberField("warrant", token);
          out.writeNumberField("shift", session);
          writeOrders(out, commands);
        });
  }

  /** Sends a worker on to another node; null where we cannot say to which. */
  public static byte[] redirect(String label) {
    ObjectNode context = Json.object();
    if (label != null) {
      context.put("foreman", label);
    }
    return Json.bytes(context);
  }
}
