package org.fieldtrestle;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.fieldtrestle.protocol.Json;

/**
 * A stub of the worker on the machine of {@link StubCloud}. Each task is done two heartbeats after
 * its start.
 */
final class StubWorker {
  private static final String FETCHING = "fetching";
  private static final String RUNNING = "running";
  private static final String EXITED = "exited";

  private static final class Task {
    private long attempt;
    private String stage = FETCHING;
  }

  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private long sequence;
  private long fencingToken;

  /** Advances each task by one stage. */
  void advanceTasks() {
    tasks.values().forEach(task -> task.stage = task.stage.equals(FETCHING) ? RUNNING : EXITED);
  }

  /**
   * Returns the body of the next heartbeat.
   *
   * @param address the address on which this worker listens
   */
  ObjectNode heartbeat(String address) {
    ObjectNode body =
        Json.object()
            .put("bench", StubCloud.MACHINE)
            .put("address", address)
            .put("rig", StubCloud.MACHINE_TYPE)
            .put("yard", StubCloud.ZONE)
            .put("loaners", true)
            .put("shift", 1)
            .put("tally", ++sequence)
            .put("warrant", fencingToken)
            .putNull("recallS");
    ArrayNode statuses = body.putArray("boards");
    tasks.forEach((name, task) -> statuses.add(status(name, task)));
    return body;
  }

  private static ObjectNode status(String name, Task task) {
    ObjectNode status =
        Json.object().put("board", name).put("try", task.attempt).put("stage", task.stage);
    if (task.stage.equals(EXITED)) {
      status.put("cause", "done");
    }
    return status;
  }

  /** Executes the commands in the answer to a heartbeat or in a direct call from a controller. */
  void execute(JsonNode commands) {
    fencingToken = Math.max(fencingToken, commands.path("warrant").asLong());
    for (JsonNode command : commands.path("orders")) {
      String name = command.path("board").asText();
      if (command.path("order").asText().equals("start")) {
        tasks.computeIfAbsent(name, task -> new Task()).attempt = command.path("try").asLong();
      } else {
        tasks.remove(name);
      }
    }
  }
}
