package org.fieldtrestle;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.UserProtocol;
import org.fieldtrestle.transport.Reactor;

/**
 * A stub of a user, who submits a job and polls it until it is done, submits a second job and
 * cancels it, and then makes each other kind of request once.
 */
final class StubUser {
  private static final String FIRST_JOB = "job-000001";
  private static final String CANCELLED_JOB = "job-000002";
  private static final String UNKNOWN_JOB = "job-000003";
  private static final long RETRY_DELAY_MS = 50;
  private static final int TASKS = 3;

  /** Makes calls to the controller and passes on an empty object if there is no answer. */
  interface ControllerCaller {
    void call(String method, String path, JsonNode body, Consumer<JsonNode> onAnswer);
  }

  private final Reactor reactor;
  private final ControllerCaller controller;
  private final Runnable onFinished;
  private boolean cancelRequested;

  /**
   * Creates a user who makes no requests before {@link #start} is called.
   *
   * @param onFinished run once all requests have been answered
   */
  StubUser(Reactor reactor, ControllerCaller controller, Runnable onFinished) {
    this.reactor = reactor;
    this.controller = controller;
    this.onFinished = onFinished;
  }

  void start() {
    submit(FIRST_JOB);
  }

  private void submit(String id) {
    controller.call("POST", UserProtocol.JOBS_PATH, job(id), answer -> poll(id));
  }

  private static ObjectNode job(String id) {
    return Json.object()
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
  }

  private void poll(String id) {
    get(UserProtocol.JOBS_PATH + "/" + id, answer -> handlePollAnswer(id, answer));
  }

  private void handlePollAnswer(String id, JsonNode answer) {
    String stage = answer.path("stage").asText();
    if (id.equals(FIRST_JOB) && stage.equals("done")) {
      submit(CANCELLED_JOB);
    } else if (id.equals(CANCELLED_JOB) && !cancelRequested) {
      cancelRequested = true;
      cancel(id);
    } else if (!stage.isEmpty()) {
      reactor.schedule(RETRY_DELAY_MS, () -> poll(id));
    } else {
      reactor.schedule(RETRY_DELAY_MS, () -> submit(id));
    }
  }

  private void cancel(String id) {
    String path = UserProtocol.JOBS_PATH + "/" + id + "/" + UserProtocol.CANCEL_SEGMENT;
    controller.call("POST", path, Json.object(), answer -> makeOtherRequests());
  }

  private void makeOtherRequests() {
    get(
        UserProtocol.JOBS_PATH + "/" + UNKNOWN_JOB,
        unknown ->
            get(
                UserProtocol.READY_PATH,
                ready -> get(UserProtocol.STATS_PATH, statistics -> onFinished.run())));
  }

  private void get(String path, Consumer<JsonNode> onAnswer) {
    controller.call("GET", path, Json.object(), onAnswer);
  }
}
