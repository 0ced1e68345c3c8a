package org.fieldtrestle.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;

/** Paths and messages of the interface for workers: heartbeats, commands and answers. */
public final class WorkerProtocol {
  /** Path of the controller to which workers send heartbeats. */
  public static final String HEARTBEAT_PATH = "/hello";

  /** Path of the worker that accepts direct commands. */
  public static final String COMMANDS_PATH = "/commands";

  /** Path of the worker that answers with a heartbeat. */
  public static final String INSPECT_PATH = "/inspect";

  /** How long a worker waits for the answer to a heartbeat. */
  public static final long HEARTBEAT_TIMEOUT_MS = 4000;

  private WorkerProtocol() {}

  /**
   * Reads a heartbeat.
   *
   * @throws MalformedJsonException if the body violates the protocol
   */
  public static Heartbeat readHeartbeat(byte[] body) throws MalformedJsonException {
    return HeartbeatReader.read(body);
  }

  /** Writes the answer to a heartbeat. */
  public static byte[] writeHeartbeatAnswer(long fencingToken, List<WorkerCommand> commands) {
    return Json.writeObject(
        out -> {
          out.writeNumberField("warrant", fencingToken);
          writeCommandList(out, commands);
        });
  }

  /** Writes direct commands, which the worker executes only during the given incarnation. */
  public static byte[] writeCommands(
      long fencingToken, long incarnation, List<WorkerCommand> commands) {
    return Json.writeObject(
        out -> {
          out.writeNumberField("warrant", fencingToken);
          out.writeNumberField("shift", incarnation);
          writeCommandList(out, commands);
        });
  }

  private static void writeCommandList(JsonGenerator out, List<WorkerCommand> commands)
      throws IOException {
    out.writeArrayFieldStart("orders");
    for (WorkerCommand command : commands) {
      out.writeStartObject();
      if (command instanceof WorkerCommand.Start) {
        out.writeStringField("order", "start");
      } else if (command instanceof WorkerCommand.Stop stop) {
        out.writeStringField("order", "stop");
        out.writeNumberField("windupS", stop.gracePeriodS());
      } else {
        out.writeStringField("order", "clear");
      }
      out.writeStringField("board", command.task().toString());
      out.writeNumberField("try", command.attempt());
      out.writeEndObject();
    }
    out.writeEndArray();
  }

  /**
   * Writes an answer that redirects a worker to another controller.
   *
   * @param controller label of the other controller; {@code null} if it is unknown
   */
  public static byte[] writeRedirect(String controller) {
    ObjectNode json = Json.object();
    if (controller != null) {
      json.put("foreman", controller);
    }
    return Json.bytes(json);
  }
}
