package org.fieldtrestle.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.transport.Http;

/** A stand-in for a machine and its worker, by the protocol of reports, tokens and leases. */
final class SimulatedWorker implements Http.Handler {
  private static final long LEASE_STEP_MS = 50;

  private static final class Task {
    long attempt;
    String state;
    String cause;
    boolean running;
    long order;
  }

  final String id;
  final String address;
  final String type;
  final String zone;
  final boolean spot;
  final long rentedAt;
  boolean up;
  boolean failed;
  boolean failsTasks;
  int slowness = 1;
  private final SimulatedTime time;
  private final SimulatedCluster cluster;
  private final TreeMap<String, Task> tasks = new TreeMap<>();
  private final Set<String> images = new HashSet<>();
  private boolean gone;
  private long hungUntil;
  private long deafUntil;
  private long muteUntil;
  private String lostLabel = "";
  private long lostUntil;
  private long session = 1;
  private long seq;
  private long token;
  private long leaseFrom;
  private long lastReport = -10_000;
  private boolean inFlight;
  private boolean due;
  private boolean changed;
  private byte[] lastBody = new byte[0];
  private int node;
  private long orders;

  /** Direct commands carried out or refused long after they were sent, and while it was mute. */
  int carriedOutLate;

  int refusedLate;

  int directWhileMute;

  SimulatedWorker(
      SimulatedTime time,
      SimulatedCluster cluster,
      String id,
      String address,
      String type,
      String zone,
      boolean spot) {
    this.time = time;
    this.cluster = cluster;
    this.id = id;
    this.address = address;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.rentedAt = time.now();
  }

  private boolean alive() {
    return up && !gone && !failed;
  }

  void boot() {
    if (gone) {
      return;
    }
    up = true;
    leaseFrom = time.now();
    node = (int) time.between(0, cluster.labels().size() - 1);
    cluster.net.serve(address, zone, this);
    beat();
    watchLease();
  }

  void vanish() {
    killAll();
    gone = true;
    cluster.net.stop(address);
  }

  void die() {
    if (alive()) {
      killAll();
      failed = true;
      cluster.net.stop(address);
    }
  }

  void hang(long ms) {
    hungUntil = time.now() + ms;
  }

  /** Its reports still go out, but nothing comes in. */
  void deafen(long ms) {
    deafUntil = time.now() + ms;
  }

  private boolean deaf() {
    return time.now() < deafUntil;
  }

  /** It reaches no controller, while direct commands still reach it. */
  void mute(long ms) {
    muteUntil = time.now() + ms;
  }

  private boolean muted() {
    return time.now() < muteUntil;
  }

  /** It does not reach one controller, which still reaches it. */
  void lose(String label, long ms) {
    lostLabel = label;
    lostUntil = time.now() + ms;
  }

  private boolean reaches(String label) {
    return !muted() && !(label.equals(lostLabel) && time.now() < lostUntil);
  }

  /** What it reported last, as a copy of it may arrive at any controller at any later time. */
  byte[] lastReport() {
    return lastBody;
  }

  /** The controller that it reports to. */
  String reportsTo() {
    return cluster.labels().get(node);
  }

  boolean holds(String task) {
    return tasks.containsKey(task) && !tasks.get(task).state.equals("exited");
  }

  /** The tasks on it that have not ended. */
  void addTasksTo(Set<String> all) {
    tasks.forEach(
        (name, task) -> {
          if (!task.state.equals("exited")) {
            all.add(name);
          }
        });
  }

  /** Whether it goes on and has room for a task of so many CPUs. */
  boolean hasRoom(double cpus) {
    return alive() && !hung() && !deaf() && !muted() && used() + cpus <= SimulatedCloud.CPUS + 1e-6;
  }

  private double used() {
    double used = 0;
    for (var one : tasks.entrySet()) {
      if (!one.getValue().state.equals("exited")) {
        used += cluster.jobs.get(InvariantChecker.jobOf(one.getKey())).cpus;
      }
    }
    return used;
  }

  private boolean hung() {
    return time.now() < hungUntil;
  }

  private void killAll() {
    for (String name : List.copyOf(tasks.keySet())) {
      leave(name);
    }
    tasks.clear();
  }

  private void leave(String name) {
    Task task = tasks.get(name);
    if (task.running) {
      task.running = false;
      cluster.rules.left(name, id);
    }
  }

  // ---- leases

  /** Looks at the first step after the lease has run out, if nothing renews it until then. */
  private void watchLease() {
    long left = leaseFrom + cluster.leaseMs + 1 - time.now();
    long steps = Math.max(1, (left + LEASE_STEP_MS - 1) / LEASE_STEP_MS);
    time.after(
        steps * LEASE_STEP_MS,
        this::alive,
        () -> {
          checkLease();
          watchLease();
        });
  }

  private void checkLease() {
    if (time.now() - leaseFrom > cluster.leaseMs) {
      // A hanging worker does this when it resumes; its tasks do not run meanwhile.
      killAll();
      if (!hung()) {
        session++;
        leaseFrom = time.now();
        changed();
      }
    }
  }

  // ---- reports

  private void beat() {
    time.after(
        time.between(cluster.heartbeatIntervalsMs * 3 / 4, cluster.heartbeatIntervalsMs * 5 / 4),
        this::alive,
        () -> {
          due = true;
          maybeReport();
          beat();
        });
  }

  private void changed() {
    changed = true;
    maybeReport();
  }

  private void maybeReport() {
    if (!alive() || inFlight || !(due || changed)) {
      return;
    }
    if (hung()) {
      time.after(hungUntil - time.now() + 1, this::alive, this::maybeReport);
      return;
    }
    long wait = lastReport + 500 - time.now();
    if (wait > 0) {
      time.after(wait, this::alive, this::maybeReport);
      return;
    }
    checkLease();
    inFlight = true;
    due = false;
    changed = false;
    lastReport = time.now();
    long sent = time.now();
    long inSession = session;
    String label = cluster.labels().get(node);
    lastBody = report();
    if (!reaches(label)) {
      time.after(
          1,
          this::alive,
          () -> resume(() -> answered(new Http.NotSent("timeout"), sent, inSession, sent)));
      return;
    }
    cluster.net.call(
        zone,
        this::alive,
        cluster.address(label),
        "POST",
        "/hello",
        lastBody,
        4000,
        outcome -> {
          long came = time.now();
          if (deaf()) {
            time.after(
                sent + 4000 - time.now(),
                this::alive,
                () -> resume(() -> answered(new Http.Unknown("timeout"), sent, inSession, came)));
          } else {
            resume(() -> answered(outcome, sent, inSession, came));
          }
        });
  }

  /** Whatever reaches a hanging machine is taken in when it resumes. */
  private void resume(Runnable work) {
    if (hung()) {
      time.after(hungUntil - time.now() + 1, this::alive, () -> resume(work));
    } else {
      checkLease();
      work.run();
    }
  }

  private byte[] report() {
    ObjectNode node =
        Json.object()
            .put("bench", id)
            .put("address", address)
            .put("rig", type)
            .put("yard", zone)
            .put("loaners", spot)
            .put("shift", session)
            .put("tally", ++seq)
            .put("warrant", token);
    ArrayNode list = node.putArray("boards");
    tasks.forEach(
        (name, task) -> {
          ObjectNode one =
              list.addObject().put("board", name).put("try", task.attempt).put("stage", task.state);
          if (task.cause != null) {
            one.put("cause", task.cause);
          }
        });
    return Json.bytes(node);
  }

  private void answered(Http.Outcome outcome, long sent, long inSession, long came) {
    inFlight = false;
    if (outcome instanceof Http.Answer answer && answer.status() == 200) {
      JsonNode body = Json.parseOrEmpty(answer.body());
      long theirs = body.path("warrant").asLong(-1);
      if (time.now() - sent <= 4000 && inSession == session && theirs >= token) {
        boolean higher = theirs > token;
        token = theirs;
        leaseFrom = Math.max(leaseFrom, sent);
        execute(body.path("orders"), came);
        if (higher) {
          changed();
        }
      }
    } else if (outcome instanceof Http.Answer answer && answer.status() == 421) {
      String to = Json.parseOrEmpty(answer.body()).path("foreman").asText("");
      int index = cluster.labels().indexOf(to);
      if (index >= 0 && index != node) {
        node = index;
        changed = true;
      } else {
        next();
      }
    } else {
      next();
    }
    maybeReport();
  }

  private void next() {
    node = (node + 1) % cluster.labels().size();
    time.after(
        1000,
        this::alive,
        () -> {
          due = true;
          maybeReport();
        });
  }

  // ---- commands

  @Override
  public void handle(Http.Request request, Consumer<Http.Response> reply) {
    handle(request, reply, cluster.net.sentAt());
  }

  private void handle(Http.Request request, Consumer<Http.Response> reply, long sent) {
    if (deaf()) {
      return;
    }
    if (hung()) {
      time.after(hungUntil - time.now() + 1, this::alive, () -> handle(request, reply, sent));
      return;
    }
    checkLease();
    if (request.path().equals("/inspect")) {
      reply.accept(new Http.Response(200, report()));
      return;
    }
    JsonNode body = Json.parseOrEmpty(request.body());
    if (!body.has("warrant") || !body.has("shift")) {
      reply.accept(new Http.Response(400, Http.Response.EMPTY));
      return;
    }
    if (body.path("warrant").asLong() < token || body.path("shift").asLong() != session) {
      refusedLate += time.now() - sent > 1000 ? 1 : 0;
      reply.accept(new Http.Response(409, report()));
      return;
    }
    token = body.path("warrant").asLong();
    if (time.now() - sent > 1000) {
      carriedOutLate++;
      cluster.commandsCarriedOutLate++;
    }
    directWhileMute += muted() ? 1 : 0;
    execute(body.path("orders"), sent);
    reply.accept(new Http.Response(200, report()));
  }

  private void execute(JsonNode list, long sentAt) {
    for (JsonNode order : list) {
      String name = order.path("board").asText();
      long attempt = order.path("try").asLong();
      Task task = tasks.get(name);
      switch (order.path("order").asText()) {
        case "start" -> {
          cluster.rules.ordered(name, sentAt);
          if (task == null) {
            start(name, attempt);
          } else if (task.attempt != attempt && task.state.equals("exited")) {
            tasks.remove(name);
            start(name, attempt);
          }
        }
        case "stop" -> {
          if (task != null && task.attempt == attempt && !task.state.equals("exited")) {
            exit(name, task, "halted");
          }
        }
        default -> {
          if (task != null && task.attempt == attempt && task.state.equals("exited")) {
            tasks.remove(name);
          }
        }
      }
    }
    changed();
  }

  /** Takes a start from a holder of its shard that does not know of its end. */
  void startForFormerHolder(String name, long attempt) {
    start(name, attempt);
    changed();
  }

  private void start(String name, long attempt) {
    Task task = new Task();
    task.attempt = attempt;
    task.order = ++orders;
    task.state = "fetching";
    tasks.put(name, task);
    SimulatedCluster.Job job = cluster.jobs.get(InvariantChecker.jobOf(name));
    if (job == null) {
      exit(name, task, "unknown");
      return;
    }
    if (used() > SimulatedCloud.CPUS) {
      exit(name, task, "full");
      return;
    }
    long order = task.order;
    long fetch = images.contains(job.image) ? 0 : cluster.slowLinks * time.between(500, 3000);
    time.after(fetch, this::alive, () -> resume(() -> fetched(name, order, job)));
  }

  private void fetched(String name, long order, SimulatedCluster.Job job) {
    Task task = tasks.get(name);
    if (task == null || task.order != order || task.state.equals("exited")) {
      return;
    }
    images.add(job.image);
    task.state = "running";
    task.running = true;
    cluster.rules.started(name, this);
    long run =
        cluster.results.contains(name)
            ? 0
            : failsTasks || job.broken
                ? 300
                : slowness
                    * (1 + (long) job.uneven * InvariantChecker.indexOf(name))
                    * time.between(job.runMs * 3 / 4, job.runMs * 5 / 4);
    time.after(run, this::alive, () -> resume(() -> finished(name, order, job)));
    changed();
  }

  private void finished(String name, long order, SimulatedCluster.Job job) {
    Task task = tasks.get(name);
    if (task == null || task.order != order || task.state.equals("exited")) {
      return;
    }
    if (job.broken || failsTasks && !cluster.results.contains(name)) {
      exit(name, task, "error");
    } else {
      cluster.results.add(name);
      exit(name, task, "done");
      cluster.taskDone(job);
    }
  }

  private void exit(String name, Task task, String cause) {
    leave(name);
    task.state = "exited";
    task.cause = cause;
    changed();
  }
}
