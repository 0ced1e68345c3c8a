package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A worker on one machine, as "Workers -> controller nodes" and "Controller nodes -> workers" in
 * PROTOCOL describe it. It reports to a single node at a time, one report in flight at a time.
 */
final class Machine {
  private static final long MIN_GAP_MS = 500;
  private static final long ANSWER_TIMEOUT_MS = 4000;

  private static final class Task {
    final String board;
    final long attempt;
    String stage = "fetching";
    String cause;
    long changesAtMs = Long.MAX_VALUE;

    Task(String board, long attempt) {
      this.board = board;
      this.attempt = attempt;
    }

    boolean isLive() {
      return !stage.equals("exited");
    }
  }

  private final Recorder recorder;
  private final Deployment deployment;
  private final Jobs jobs;
  private final String name;
  private final String zone;
  private final boolean spot;

  /** The nodes' addresses by label, which may be those of proxies. */
  private final Map<String, String> nodes;

  private final HttpServer server;
  private final HttpClient client = Web.client();
  private final List<Task> tasks = new ArrayList<>();
  private final Set<String> images = new HashSet<>();
  private String address;
  private String node;
  private long shift = 1;
  private long tally;
  private long warrant;
  private long leaseStartMs = nowMs();
  private long recallAtMs = -1;
  private boolean changed = true;
  private long nextReportMs;
  private long lastReportMs = nowMs() - 10_000;
  private long answeredReports;
  private boolean stopped;
  private long stoppedAtMs;

  Machine(
      Recorder recorder,
      Deployment deployment,
      Jobs jobs,
      String name,
      String zone,
      boolean spot,
      Map<String, String> nodes,
      String firstNode)
      throws IOException {
    this.recorder = recorder;
    this.deployment = deployment;
    this.jobs = jobs;
    this.name = name;
    this.zone = zone;
    this.spot = spot;
    this.nodes = nodes;
    this.node = firstNode;
    this.server = Web.serve(this::handle);
    this.address = Web.address(server);
  }

  String name() {
    return name;
  }

  String zone() {
    return zone;
  }

  boolean spot() {
    return spot;
  }

  synchronized String address() {
    return address;
  }

  /** Where direct commands reach the worker; a proxy's address leads to {@link #ownAddress}. */
  synchronized void announce(String proxyAddress) {
    address = proxyAddress;
  }

  String ownAddress() {
    return Web.address(server);
  }

  void boot() {
    start(this::report);
    start(this::live);
    recorder.log("UP     " + name);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  // ---- for the test

  synchronized long answeredReports() {
    return answeredReports;
  }

  synchronized boolean knows(String board) {
    return tasks.stream().anyMatch(task -> task.board.equals(board));
  }

  synchronized boolean knowsAnyOf(String job) {
    return tasks.stream().anyMatch(task -> task.board.startsWith(job + "/"));
  }

  synchronized boolean isRunning(String board) {
    return tasks.stream()
        .anyMatch(task -> task.board.equals(board) && task.stage.equals("running"));
  }

  /** Ends a running task: its work is done. */
  synchronized void complete(String board) {
    for (Task task : tasks) {
      if (task.board.equals(board) && task.stage.equals("running")) {
        exit(task, "done");
      }
    }
  }

  /** The cloud's notice that it takes the machine back. */
  synchronized void recall(double seconds) {
    recallAtMs = nowMs() + Math.round(seconds * 1000);
    recorder.log("CLOUD  takes " + name + " back in " + seconds + " s");
    changed = true;
  }

  /** The machine and all that is on it are gone. */
  synchronized void stop(String why) {
    stopped = true;
    stoppedAtMs = nowMs();
    killAll(why);
    server.stop(0);
  }

  /** CPUs that no task takes; none once the machine is gone. */
  synchronized double freeCpus() {
    double free = stopped ? 0 : deployment.machineCpus();
    for (Task task : tasks) {
      free -= task.isLive() ? jobs.of(task.board).cpus() : 0;
    }
    return free;
  }

  /** Returns for how long the machine has been gone; 0 while it is there. */
  synchronized long goneForMs() {
    return stopped ? nowMs() - stoppedAtMs : 0;
  }

  // ---- tasks

  private void live() {
    while (true) {
      synchronized (this) {
        if (stopped) {
          return;
        }
        checkLease();
        for (Task task : List.copyOf(tasks)) {
          if (task.changesAtMs <= nowMs()) {
            proceed(task);
          }
        }
        if (recallAtMs >= 0 && nowMs() > recallAtMs) {
          stop("taken back");
        }
      }
      sleep(10);
    }
  }

  private static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private void checkLease() {
    if (nowMs() - leaseStartMs > deployment.leaseS() * 1000) {
      recorder.log("LEASE  of " + name + " ends, session " + shift);
      killAll("lease");
      shift++;
      leaseStartMs = nowMs();
      changed = true;
    }
  }

  private void killAll(String why) {
    for (Task task : tasks) {
      recorder.taskLeaves(task.board, name, why);
    }
    tasks.clear();
  }

  private void proceed(Task task) {
    Jobs.Job job = jobs.of(task.board);
    if (task.stage.equals("fetching")) {
      images.add(job.image());
      if (jobs.hasResult(task.board)) {
        exit(task, "done");
        return;
      }
      task.stage = "running";
      task.changesAtMs = job.runMs() < 0 ? Long.MAX_VALUE : nowMs() + job.runMs();
      recorder.taskStarts(task.board, name);
      changed = true;
    } else if (task.stage.equals("running")) {
      exit(task, "done");
    }
  }

  private void exit(Task task, String cause) {
    if (cause.equals("done")) {
      jobs.keepResult(task.board);
    }
    recorder.taskLeaves(task.board, name, cause);
    task.stage = "exited";
    task.cause = cause;
    task.changesAtMs = Long.MAX_VALUE;
    changed = true;
  }

  private void execute(JsonNode orders) {
    for (JsonNode order : orders) {
      String board = order.path("board").asText();
      long attempt = order.path("try").asLong();
      Task same = null;
      for (Task task : tasks) {
        if (task.board.equals(board) && task.attempt == attempt) {
          same = task;
        }
      }
      switch (order.path("order").asText()) {
        case "start" -> {
          if (same == null) {
            startTask(board, attempt);
          }
        }
        case "stop" -> {
          if (same != null && same.isLive()) {
            exit(same, "halted");
          }
        }
        case "clear" -> {
          if (same != null && !same.isLive()) {
            tasks.remove(same);
            changed = true;
          }
        }
        default -> {}
      }
    }
  }

  private void startTask(String board, long attempt) {
    Task task = new Task(board, attempt);
    Jobs.Job job = jobs.of(board);
    double usedCpus = 0;
    double usedGb = 0;
    boolean inUse = false;
    for (Task other : tasks) {
      if (other.isLive()) {
        usedCpus += jobs.of(other.board).cpus();
        usedGb += jobs.of(other.board).memoryGb();
        inUse |= other.board.equals(board);
      }
    }
    tasks.add(task);
    changed = true;
    if (job == null) {
      exit(task, "unknown");
    } else if (inUse) {
      exit(task, "in_use");
    } else if (usedCpus + job.cpus() > deployment.machineCpus()
        || usedGb + job.memoryGb() > deployment.machineMemoryGb()) {
      exit(task, "full");
    } else {
      boolean cached = images.contains(job.image());
      task.changesAtMs =
          nowMs() + (cached ? 0 : Math.round(job.imageGb() / deployment.fetchGbPerS() * 1000));
      if (cached) {
        proceed(task);
      }
    }
  }

  // ---- messages

  private synchronized ObjectNode status() {
    ObjectNode json = Web.object().put("bench", name).put("address", address);
    json.put("rig", deployment.machineType()).put("yard", zone).put("loaners", spot);
    json.put("shift", shift).put("tally", ++tally).put("warrant", warrant);
    if (recallAtMs < 0) {
      json.putNull("recallS");
    } else {
      json.put("recallS", Math.max(0, recallAtMs - nowMs()) / 1000.0);
    }
    ArrayNode boards = json.putArray("boards");
    for (Task task : tasks) {
      ObjectNode item = boards.addObject().put("board", task.board).put("try", task.attempt);
      item.put("stage", task.stage);
      if (task.cause != null) {
        item.put("cause", task.cause);
      }
    }
    return json;
  }

  private synchronized Web.Answer handle(
      String method, String path, Map<String, String> query, JsonNode body) {
    if (stopped) {
      return null;
    }
    checkLease();
    if (path.equals("/inspect")) {
      return new Web.Answer(200, status());
    }
    if (!body.has("warrant") || !body.has("shift")) {
      return Web.answer(400);
    }
    boolean current =
        body.path("warrant").asLong() >= warrant && body.path("shift").asLong() == shift;
    recorder.log("DIRECT " + name + " " + (current ? "executes " : "refuses ") + body);
    if (current) {
      warrant = body.path("warrant").asLong();
      execute(body.path("orders"));
    }
    return new Web.Answer(current ? 200 : 409, status());
  }

  private void report() {
    while (true) {
      JsonNode body;
      String to;
      long sentMs;
      long sentShift;
      synchronized (this) {
        if (stopped) {
          return;
        }
        sentMs = nowMs();
        boolean due = sentMs >= nextReportMs || changed;
        if (!due || sentMs - lastReportMs < MIN_GAP_MS) {
          to = null;
          body = null;
        } else {
          changed = false;
          lastReportMs = sentMs;
          long intervalMs = Math.round(deployment.reportS() * 1000);
          nextReportMs =
              sentMs + ThreadLocalRandom.current().nextLong(intervalMs * 3 / 4, intervalMs * 5 / 4);
          body = status();
          to = node;
        }
        sentShift = shift;
      }
      if (body == null) {
        sleep(10);
        continue;
      }
      Web.Answer answer = call(to, body);
      boolean again = received(answer, to, sentMs, sentShift, body);
      if (!again) {
        sleep(1000);
        synchronized (this) {
          changed = true;
        }
      }
    }
  }

  private Web.Answer call(String to, JsonNode body) {
    try {
      return Web.call(client, nodes.get(to), "POST", "/hello", body, ANSWER_TIMEOUT_MS);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns whether the next report may go out at once. */
  private synchronized boolean received(
      Web.Answer answer, String to, long sentMs, long sentShift, JsonNode body) {
    if (stopped) {
      return true;
    }
    boolean orders = answer.body().path("orders").size() > 0;
    if (orders || answer.status() != 200 || body.path("boards").size() > 0) {
      recorder.log(
          "REPORT " + name + " to " + to + " " + brief(body) + ": " + answer.status() + " "
              + answer.body());
    }
    if (answer.status() == 200) {
      checkLease();
      long given = answer.body().path("warrant").asLong(-1);
      if (nowMs() - sentMs > ANSWER_TIMEOUT_MS || sentShift != shift || given < warrant) {
        return true;
      }
      changed |= given > warrant; // happens too rarely here for its limit to matter
      warrant = given;
      leaseStartMs = Math.max(leaseStartMs, sentMs);
      answeredReports++;
      execute(answer.body().path("orders"));
      return true;
    }
    String foreman = answer.body().path("foreman").asText("");
    if (answer.status() == 421 && nodes.containsKey(foreman) && !foreman.equals(to)) {
      node = foreman;
      changed = true;
      return true;
    }
    List<String> labels = Controllers.LABELS;
    node = labels.get((labels.indexOf(to) + 1) % labels.size());
    return false;
  }

  private static String brief(JsonNode body) {
    StringBuilder text = new StringBuilder("tally " + body.path("tally") + " [");
    for (JsonNode task : body.path("boards")) {
      text.append(task.path("board").asText()).append(' ').append(task.path("stage").asText());
      text.append(task.has("cause") ? "/" + task.path("cause").asText() : "").append(", ");
    }
    return text.append(body.path("recallS").isNull() ? "]" : "] recall").toString();
  }
}
