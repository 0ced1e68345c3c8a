package org.fieldtrestle.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.transport.Http;

/**
 * Users who ask about every accepted job, and the longest spell for which one of them got no
 * answer.
 *
 * <p>A user keeps the connection to a controller for as long as that controller answers at all and
 * calls itself ready, as the load balancer moves no open connection. Questions at every controller
 * come on top, and repeated submissions at random ones.
 */
final class UserAnswerLog {
  /** A job that cannot be asked about for so long counts as forgotten, once all faults are over. */
  static final long FORGOTTEN_MS = 75_000;

  private static final long USER_ASKS_EVERY_MS = 5000;
  private static final long USER_WAITS_MS = 2000;
  private static final long USER_WAITS_TO_SUBMIT_MS = 5000;
  private static final long EVERYWHERE_EVERY_MS = 20_000;

  /** The longest spell of a job without an answer. */
  record Spell(String job, long ms, long endedAtMs) {}

  private final SimulatedCluster cluster;
  private final SimulatedTime time;
  private final Set<String> accepted = new HashSet<>();

  /** When the first of the questions about a job was asked that have had no answer since. */
  private final Map<String, Long> unansweredSinceMs = new HashMap<>();

  private final Set<String> ended = new HashSet<>();
  private final Map<Integer, Integer> statuses = new HashMap<>();
  private Spell longest = new Spell("", 0, 0);

  UserAnswerLog(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.time = cluster.time;
  }

  Spell longest() {
    return longest;
  }

  /** How many questions got each status; 0 stands for those without an answer. */
  Map<Integer, Integer> statuses() {
    return statuses;
  }

  /** How many jobs have been told to be done or cancelled. */
  int ended() {
    return ended.size();
  }

  int accepted() {
    return accepted.size();
  }

  /** Submits a job until it is accepted, then asks about it. */
  void submit(SimulatedJob job) {
    submit(job, anyReady());
  }

  private void submit(SimulatedJob job, String label) {
    post(
        label,
        "/v2/runs",
        job.body(),
        response -> {
          if (response.status() == 201 || response.status() == 200) {
            accepted(job);
          } else if (response.status() == 400 || response.status() == 422) {
            cluster.invariants.report("refused " + job.id() + " with " + response.status());
          } else {
            time.after(1000, () -> submit(job, anyReady()));
          }
        });
  }

  private void accepted(SimulatedJob job) {
    if (!accepted.add(job.id())) {
      return;
    }
    cluster.invariants.accepted(job.id());
    time.after(USER_ASKS_EVERY_MS, () -> ask(job, anyReady()));
    for (String label : cluster.labels()) {
      time.after(time.between(0, 300), () -> repeat(job, label));
      time.after(time.between(5000, 120_000), () -> repeat(job, label));
      time.after(time.between(0, EVERYWHERE_EVERY_MS), () -> askAt(job, label));
    }
  }

  /** Calls a job off, again and again until that is confirmed. */
  void cancel(SimulatedJob job) {
    cluster.users.noteCancellation(job.id());
    post(
        anyReady(),
        "/v2/runs/" + job.id() + "/abort",
        Http.Response.EMPTY,
        response -> {
          if (response.status() == 200) {
            told(job, response, time.now());
          } else {
            time.after(1000, () -> cancel(job));
          }
        });
  }

  private void repeat(SimulatedJob job, String label) {
    long asked = time.now();
    post(
        label,
        "/v2/runs",
        job.body(),
        response -> {
          if (response.status() == 200) {
            told(job, response, asked);
          } else if (response.status() == 0 || response.status() >= 429) {
            time.after(USER_ASKS_EVERY_MS, () -> repeat(job, label));
          } else {
            cluster.invariants.report(
                "forgotten: repeated " + job.id() + " gets " + response.status());
          }
        });
  }

  /** A user's question; the next goes to the same controller while that holds the connection. */
  private void ask(SimulatedJob job, String label) {
    long asked = time.now();
    question(
        label,
        job,
        response -> {
          told(job, response, asked);
          if (!ended.contains(job.id())) {
            boolean stays =
                response.status() > 0 && !response.closeConnection() && cluster.isReady(label);
            time.after(USER_ASKS_EVERY_MS, () -> ask(job, stays ? label : anyReady()));
          }
        });
  }

  /** Asks at one controller whatever the user heard, at last once more after the job's end. */
  private void askAt(SimulatedJob job, String label) {
    long asked = time.now();
    boolean lastTime = ended.contains(job.id());
    question(
        label,
        job,
        response -> {
          told(job, response, asked);
          if (response.status() != 200) {
            time.after(USER_ASKS_EVERY_MS, () -> askAt(job, label));
          } else if (!lastTime) {
            time.after(EVERYWHERE_EVERY_MS, () -> askAt(job, label));
          }
        });
  }

  private static String stage(Http.Response response) {
    return Json.parseOrEmpty(response.body()).path("stage").asText();
  }

  private void told(SimulatedJob job, Http.Response response, long asked) {
    statuses.merge(response.status(), 1, Integer::sum);
    long since = unansweredSinceMs.computeIfAbsent(job.id(), id -> asked);
    long calmSpell = time.now() - Math.max(since, cluster.faults.endMs());
    if (calmSpell > longest.ms()) {
      longest = new Spell(job.id(), calmSpell, time.now());
    }
    String stage = stage(response);
    if (response.status() == 200) {
      unansweredSinceMs.remove(job.id());
      if (stage.equals("done") || stage.equals("cancelled")) {
        ended.add(job.id());
      }
    }
    cluster.invariants.told(job.id(), response.status(), stage, asked);
  }

  private String anyReady() {
    List<String> ready = cluster.labels().stream().filter(cluster::isReady).toList();
    List<String> from = ready.isEmpty() ? cluster.labels() : ready;
    return from.get((int) time.between(0, from.size() - 1));
  }

  /** A submission or a cancellation. */
  private void post(String label, String path, byte[] body, Consumer<Http.Response> done) {
    request(label, "POST", path, body, USER_WAITS_TO_SUBMIT_MS, done);
  }

  private void question(String label, SimulatedJob job, Consumer<Http.Response> done) {
    request(label, "GET", "/v2/runs/" + job.id(), Http.Response.EMPTY, USER_WAITS_MS, done);
  }

  /** A request whose answer counts only within some time; status 0 stands for none. */
  private void request(
      String label,
      String method,
      String path,
      byte[] body,
      long withinMs,
      Consumer<Http.Response> done) {
    Consumer<Http.Response> once = FaultyNetwork.once(done);
    Http.Response none = new Http.Response(0, Http.Response.EMPTY);
    time.after(withinMs, () -> once.accept(none));
    if (!cluster.network.serves(ClusterLayout.address(label))) {
      time.after(1, () -> once.accept(none));
      return;
    }
    time.after(
        time.between(1, 3),
        () ->
            cluster.network.deliver(
                ClusterLayout.address(label),
                method,
                path,
                body,
                response -> time.after(time.between(1, 3), () -> once.accept(response))));
  }
}
