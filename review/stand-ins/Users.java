package review;

import java.net.http.HttpClient;
import java.util.List;

/** Users who repeat a request until it has a final answer, at one node after the other. */
final class Users {
  private final Recorder recorder;
  private final Controllers controllers;
  private final HttpClient client = Web.client();

  Users(Recorder recorder, Controllers controllers) {
    this.recorder = recorder;
    this.controllers = controllers;
  }

  void awaitReady(String label, long timeoutMs) throws Exception {
    long endMs = System.currentTimeMillis() + timeoutMs;
    while (Web.call(client, controllers.front(label), "GET", "/ready", null, 1000).status() != 200) {
      if (System.currentTimeMillis() > endMs) {
        throw new IllegalStateException(label + " is not ready");
      }
      Thread.sleep(100);
    }
    recorder.log("READY  " + label);
  }

  void submit(Jobs.Job job) throws Exception {
    recorder.log("USER   submits " + job.submission());
    request("submission of " + job.id(), "POST", "/v2/runs", job.submission(), List.of(200, 201));
  }

  String cancel(String job) throws Exception {
    Web.Answer answer =
        request("abort of " + job, "POST", "/v2/runs/" + job + "/abort", Web.object(), List.of(200));
    return answer.body().path("stage").asText();
  }

  String stage(String job) throws Exception {
    Web.Answer answer =
        request("question about " + job, "GET", "/v2/runs/" + job, null, List.of(200, 404));
    return answer.status() == 404 ? "404" : answer.body().path("stage").asText();
  }

  private Web.Answer request(
      String what,
      String method,
      String path,
      com.fasterxml.jackson.databind.JsonNode body,
      List<Integer> finalStatus)
      throws Exception {
    long endMs = System.currentTimeMillis() + 60_000;
    for (int i = 0; System.currentTimeMillis() < endMs; i++) {
      String label = Controllers.LABELS.get(i % Controllers.LABELS.size());
      Web.Answer answer = Web.call(client, controllers.front(label), method, path, body, 5000);
      recorder.log("USER   " + what + " at " + label + ": " + answer.status() + " " + answer.body());
      if (finalStatus.contains(answer.status())) {
        return answer;
      }
      Thread.sleep(1000);
    }
    throw new IllegalStateException("no final answer: " + what);
  }
}
