package org.fieldtrestle;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.fieldtrestle.protocol.CloudProtocol;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.protocol.UserProtocol;
import org.fieldtrestle.protocol.WorkerProtocol;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.Reactor;

/**
 * State service, cloud, one worker and one user for the warm-up run: just enough of each for a
 * controller to run a job to its end and to cancel another.
 */
final class WarmUpServices implements Http.Handler {
  private static final String MACHINE = "host-000001";
  private static final String RUNS_JOB = "job-000001";
  private static final String CANCELLED_JOB = "job-000002";
  private static final String UNKNOWN_JOB = "job-000003";
  private static final long STEP_MS = 50;
  private static final long TIMEOUT_MS = 2000;
  private static final int TASKS = 3;

  private final Reactor reactor;
  private final Http.Caller caller;
  private final Runnable done;
  private final Map<String, Task> tasks = new LinkedHashMap<>();

  /** The change that wrote each key at the state service last. */
  private final Map<String, JsonNode> written = new TreeMap<>();

  private String ownAddress;
  private String front;
  private boolean rented;
  private boolean cancelling;
  private long revision = 1;
  private long reports;
  private long token;

  /** A task on the worker. */
  private static final class Task {
    long attempt;
    String stage = "fetching";
  }

  WarmUpServices(Reactor reactor, Http.Caller caller, Runnable done) {
    this.reactor = reactor;
    this.caller = caller;
    this.done = done;
  }

  /** Begins to report and to submit jobs, once the addresses are known. */
  void start(String address, String controller) {
    reactor.execute(
        () -> {
          ownAddress = address;
          front = controller;
          submit(RUNS_JOB);
          report();
        });
  }

  @Override
  public void handle(Http.Request request, Consumer<Http.Response> reply) {
    String path = request.path();
    JsonNode body = Json.parseOrEmpty(request.body());
    if (path.equals(KeyValueProtocol.WATCH_PATH)) {
      reactor.schedule(STEP_MS, () -> reply.accept(ok(watched())));
    } else if (path.equals(KeyValueProtocol.KEYS_PATH)) {
      reply.accept(ok(listed(request.query())));
    } else if (path.equals(KeyValueProtocol.COMMIT_PATH)) {
      body.path("apply").forEach(this::apply);
      reply.accept(ok(Json.object().put("ledger", ++revision)));
    } else if (path.startsWith(KeyValueProtocol.LEASES_PATH)) {
      reply.accept(ok(Json.object().put("permit", 1)));
    } else if (path.equals(CloudProtocol.TYPES_PATH)) {
      reply.accept(ok(types()));
    } else if (path.equals(CloudProtocol.MACHINES_PATH)) {
      reply.accept(request.method().equals("POST") ? rent() : ok(machines()));
    } else if (path.equals(WorkerProtocol.COMMANDS_PATH)) {
      carryOut(body);
      reply.accept(ok(reportBody()));
    } else {
      reply.accept(ok(Json.object()));
    }
  }

  private static Http.Response ok(JsonNode body) {
    return new Http.Response(200, Json.bytes(body));
  }

  // ---- state service and cloud

  private void apply(JsonNode change) {
    if (change.has("write")) {
      written.put(change.path("write").asText(), change);
    } else {
      written.remove(change.path("remove").asText());
    }
  }

  private ObjectNode listed(Map<String, String> query) {
    ObjectNode listing = Json.object().put("more", false).put("ledger", revision);
    ArrayNode items = listing.putArray("items");
    for (String key : written.keySet()) {
      if (key.startsWith(query.get("prefix"))
          && key.compareTo(query.getOrDefault("from", "")) > 0) {
        items.add(entry(key));
      }
    }
    return listing;
  }

  private ObjectNode entry(String key) {
    ObjectNode entry = Json.object().put("key", key).put("entry", revision);
    entry.set("v", written.get(key).path("v"));
    return entry;
  }

  private ObjectNode watched() {
    ObjectNode events = Json.object();
    ObjectNode change = events.putArray("log").addObject();
    change.put("write", "ft/live/member/other").put("entry", ++revision);
    change.putObject("v").put("f", 1).put("boot", "warm-up");
    return events.put("ledger", revision);
  }

  private static ObjectNode types() {
    ObjectNode body = Json.object();
    ObjectNode type = body.putArray("rigs").addObject();
    type.put("name", "type").put("cpus", 8).put("gpus", 0).put("memoryGb", 8).put("cacheGb", 8);
    type.put("pullGbPerS", 1.0).put("hourly", 1.0).put("lowPrice", 0.5).put("readyS", 1);
    type.putArray("yards").add("here").add("there");
    return body;
  }

  private Http.Response rent() {
    if (rented) {
      return new Http.Response(503, Json.bytes(Json.object().put("error", "no capacity")));
    }
    rented = true;
    ObjectNode body = Json.object();
    body.putArray("benches").add(MACHINE);
    return ok(body);
  }

  private ObjectNode machines() {
    ObjectNode body = Json.object().put("more", false);
    ArrayNode list = body.putArray("benches");
    if (rented) {
      list.addObject()
          .put("uid", MACHINE)
          .put("address", ownAddress)
          .put("rig", "type")
          .put("yard", "here")
          .put("loaners", true)
          .put("stage", "running")
          .put("heldS", 1.0);
    }
    return body;
  }

  // ---- the worker

  private void report() {
    if (rented) {
      tasks.values().forEach(task -> task.stage = next(task.stage));
      call("POST", WorkerProtocol.HEARTBEAT_PATH, reportBody(), answer -> carryOut(answer));
    }
    reactor.schedule(STEP_MS, this::report);
  }

  private static String next(String stage) {
    return stage.equals("fetching") ? "running" : "exited";
  }

  private ObjectNode reportBody() {
    ObjectNode body =
        Json.object()
            .put("bench", MACHINE)
            .put("address", ownAddress)
            .put("rig", "type")
            .put("yard", "here")
            .put("loaners", true)
            .put("shift", 1)
            .put("tally", ++reports)
            .put("warrant", token)
            .putNull("recallS");
    ArrayNode list = body.putArray("boards");
    tasks.forEach(
        (name, task) -> {
          ObjectNode one = list.addObject();
          one.put("board", name).put("try", task.attempt).put("stage", task.stage);
          if (task.stage.equals("exited")) {
            one.put("cause", "done");
          }
        });
    return body;
  }

  private void carryOut(JsonNode answer) {
    token = Math.max(token, answer.path("warrant").asLong());
    for (JsonNode order : answer.path("orders")) {
      String name = order.path("board").asText();
      if (order.path("order").asText().equals("start")) {
        tasks.computeIfAbsent(name, n -> new Task()).attempt = order.path("try").asLong();
      } else {
        tasks.remove(name);
      }
    }
  }

  // ---- the user

  private void submit(String id) {
    ObjectNode job =
        Json.object()
            .put("uid", id)
            .put("lot", "class")
            .put("crew", "team")
            .put("cut", "array")
            .put("urgency", "normal")
            .put("boards", TASKS)
            .put("cpus", 1.0)
            .put("gpus", 0.0)
            .put("memoryGb", 1.0)
            .put("together", false)
            .put("scatter", false)
            .put("loaners", true)
            .put("blueprint", "image")
            .put("pullGb", 0.1)
            .put("expectedS", 1.0)
            .put("tallyS", 0.0)
            .put("stackS", 0.0)
            .put("dueS", 100.0);
    call("POST", UserProtocol.JOBS_PATH, job, answer -> ask(id));
  }

  private void ask(String id) {
    call("GET", UserProtocol.JOBS_PATH + "/" + id, Json.object(), answer -> answered(id, answer));
  }

  private void answered(String id, JsonNode answer) {
    String stage = answer.path("stage").asText();
    if (id.equals(RUNS_JOB) && stage.equals("done")) {
      submit(CANCELLED_JOB);
    } else if (id.equals(CANCELLED_JOB) && !cancelling) {
      cancelling = true;
      call(
          "POST",
          UserProtocol.JOBS_PATH + "/" + CANCELLED_JOB + "/" + UserProtocol.CANCEL_SEGMENT,
          Json.object(),
          cancelled -> lookAround());
    } else if (!stage.isEmpty()) {
      reactor.schedule(STEP_MS, () -> ask(id));
    } else {
      reactor.schedule(STEP_MS, () -> submit(id));
    }
  }

  private void lookAround() {
    call(
        "GET",
        UserProtocol.JOBS_PATH + "/" + UNKNOWN_JOB,
        Json.object(),
        unknown ->
            call(
                "GET",
                UserProtocol.READY_PATH,
                Json.object(),
                ready -> call("GET", UserProtocol.STATS_PATH, Json.object(), stats -> done.run())));
  }

  private void call(String method, String path, JsonNode body, Consumer<JsonNode> answered) {
    byte[] bytes = method.equals("GET") ? Http.Response.EMPTY : Json.bytes(body);
    caller.call(
        front,
        method,
        path,
        bytes,
        TIMEOUT_MS,
        outcome ->
            answered.accept(
                outcome instanceof Http.Answer answer
                    ? Json.parseOrEmpty(answer.body())
                    : Json.object()));
  }
}
