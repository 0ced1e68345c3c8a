import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * A machine with its worker, as PROTOCOL describes both: it reports to one controller at a time,
 * keeps to tokens, leases and sessions, and runs tasks. It can stop for good, and for a time it can
 * fail every task that it starts, or run its tasks slower.
 */
final class Machine {
  private static final long TIMEOUT_MS = 4000;
  private static final long RETRY_MS = 1000;
  private static final long MIN_REPORT_MS = 500;
  private static final long FETCH_MS = 300;
  private static final long FAIL_MS = 300;

  /** A task on the machine. */
  private static final class Task {
    final long attempt;
    final double cpus;
    final double memoryGb;
    String stage = "fetching";
    String cause;
    long fetchedAtMs;

    /** Run time that is left, in milliseconds at the machine's usual speed. */
    double leftMs;

    Task(long attempt, double cpus, double memoryGb) {
      this.attempt = attempt;
      this.cpus = cpus;
      this.memoryGb = memoryGb;
    }

    boolean isLive() {
      return !stage.equals("exited");
    }
  }

  /** What all machines of a deployment have in common. */
  record Site(
      Records records,
      Zones zones,
      Jobs jobs,
      Running running,
      Map<String, String> controllers,
      double reportS,
      double leaseS,
      double cpus,
      double memoryGb,
      String type) {}

  final String name;
  final String zone;
  final boolean spot;
  final Site site;
  final long upSinceMs;
  private final HttpServer server;
  private final List<String> labels;
  private final Random random;
  private final TreeMap<String, Task> tasks = new TreeMap<>();
  private final Set<String> images = new HashSet<>();
  private int target;
  private long shift = 1;
  private long tally;
  private long warrant;
  private long leaseFromMs;
  private long tokenReportedAtMs = Long.MIN_VALUE / 2;
  private boolean changed = true;
  private volatile boolean gone;
  private volatile long goneAtMs;
  private volatile boolean sick;
  private volatile double slowness = 1;
  private long ranUntilMs;
  private String answeredBy = "";

  Machine(Site site, String name, String zone, boolean spot, String firstController)
      throws IOException {
    this.site = site;
    this.name = name;
    this.zone = zone;
    this.spot = spot;
    this.labels = List.copyOf(site.controllers().keySet());
    this.target = labels.indexOf(firstController);
    this.random = new Random(name.hashCode());
    this.upSinceMs = site.records().nowMs();
    this.leaseFromMs = upSinceMs;
    this.server = Web.serve((method, path, query, body) -> command(method, path, body));
    site.records().line(name, "is up in " + zone + (spot ? ", cheap" : ""));
    Web.THREADS.execute(this::reportForever);
    Web.THREADS.execute(this::runForever);
  }

  // ---- faults

  /** The machine stops with all that is on it. */
  void die(String why) {
    synchronized (this) {
      if (gone) {
        return;
      }
      gone = true;
      goneAtMs = site.records().nowMs();
      killAll(why);
    }
    site.records().line(name, "is gone: " + why);
    server.stop(0);
  }

  boolean isGone() {
    return gone;
  }

  long goneForMs() {
    return site.records().nowMs() - goneAtMs;
  }

  /** While this is set, the machine fails every task that it starts. */
  void setSick(boolean on) {
    sick = on;
    site.records().line(name, on ? "fails every task that it starts" : "is well again");
  }

  /** The machine runs its tasks slower by this factor; 1 is its usual speed. */
  void setSlowness(double factor) {
    slowness = factor;
    site.records().line(name, "runs its tasks " + factor + " times slower");
  }

  // ---- what a case asks

  String address() {
    return Web.address(server);
  }

  synchronized double freeCpus() {
    return gone ? 0 : site.cpus() - usedCpus();
  }

  synchronized double freeMemoryGb() {
    double used = 0;
    for (Task task : tasks.values()) {
      used += task.isLive() ? task.memoryGb : 0;
    }
    return gone ? 0 : site.memoryGb() - used;
  }

  private double usedCpus() {
    double used = 0;
    for (Task task : tasks.values()) {
      used += task.isLive() ? task.cpus : 0;
    }
    return used;
  }

  // ---- reports

  private void reportForever() {
    long nextMs = site.records().nowMs();
    long lastMs = -MIN_REPORT_MS;
    while (!gone) {
      try {
        long nowMs = site.records().nowMs();
        boolean due;
        synchronized (this) {
          due = nowMs >= nextMs || changed;
        }
        if (!due || nowMs - lastMs < MIN_REPORT_MS) {
          Thread.sleep(10);
          continue;
        }
        lastMs = nowMs;
        nextMs =
            nowMs + Math.round(site.reportS() * 1000 * (0.75 + random.nextDouble() / 2));
        if (!report()) {
          Thread.sleep(RETRY_MS);
          nextMs = 0;
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends one report; returns false where the next controller is to be asked after a second. */
  private boolean report() throws InterruptedException {
    String label = labels.get(target);
    ObjectNode body;
    long sentShift;
    synchronized (this) {
      checkLease();
      changed = false;
      body = status();
      sentShift = shift;
    }
    long sentAtMs = site.records().nowMs();
    Web.Answer answer = Web.Answer.NONE;
    if (reaches(label)) {
      answer = Web.call("POST", site.controllers().get(label), "/hello", body, TIMEOUT_MS);
    }
    if (!reaches(label)) {
      // Nothing comes from behind a cut: the worker waits for its whole time.
      Thread.sleep(Math.max(0, sentAtMs + TIMEOUT_MS - site.records().nowMs()));
      answer = Web.Answer.NONE;
    }
    if (answer.status() == 200) {
      take(label, answer.body(), sentAtMs, sentShift);
      return true;
    }
    if (answer.status() == 421) {
      int named = labels.indexOf(answer.body().path("foreman").asText(""));
      if (named >= 0 && named != target) {
        site.records().line(name, label + " sends the worker on to " + labels.get(named));
        target = named;
        synchronized (this) {
          changed = true;
        }
        return true;
      }
    }
    site.records()
        .line(
            name,
            "report of "
                + body.toString().length()
                + " bytes to "
                + label
                + " got "
                + (answer.status() == 0 ? "no answer" : answer.status())
                + ", trying the next");
    target = (target + 1) % labels.size();
    return false;
  }

  private boolean reaches(String controller) {
    return site.zones().reaches(zone, site.zones().zoneOf(controller));
  }

  private synchronized void take(String label, JsonNode body, long sentAtMs, long sentShift) {
    checkLease();
    long token = body.path("warrant").asLong(-1);
    if (gone
        || sentShift != shift
        || token < warrant
        || site.records().nowMs() - sentAtMs > TIMEOUT_MS) {
      site.records().line(name, "drops an answer of " + label + " with token " + token);
      return;
    }
    sawToken(token);
    leaseFromMs = Math.max(leaseFromMs, sentAtMs);
    if (!label.equals(answeredBy)) {
      site.records().line(name, "is answered 200 by " + label + ", token " + token);
      answeredBy = label;
    }
    execute(body.path("orders"), "answer of " + label);
  }

  /** A higher token is reported at once, but no more often than once in half a lease. */
  private void sawToken(long token) {
    if (token > warrant) {
      warrant = token;
      long nowMs = site.records().nowMs();
      if (nowMs - tokenReportedAtMs > site.leaseS() * 500) {
        tokenReportedAtMs = nowMs;
        changed = true;
      }
    }
  }

  private ObjectNode status() {
    ObjectNode status = Web.JSON.createObjectNode();
    status.put("bench", name).put("address", address()).put("rig", site.type());
    status.put("yard", zone).put("loaners", spot).put("shift", shift).put("tally", ++tally);
    status.put("warrant", warrant).putNull("recallS");
    ArrayNode boards = status.putArray("boards");
    tasks.forEach(
        (id, task) -> {
          ObjectNode board = boards.addObject();
          board.put("board", id).put("try", task.attempt).put("stage", task.stage);
          if (task.cause != null) {
            board.put("cause", task.cause);
          }
        });
    return status;
  }

  // ---- direct commands

  private Web.Answer command(String method, String path, JsonNode body) {
    synchronized (this) {
      if (gone) {
        return null;
      }
      checkLease();
      if (path.equals("/inspect")) {
        return new Web.Answer(200, status());
      }
      if (!body.has("warrant") || !body.has("shift")) {
        return new Web.Answer(400, Web.JSON.createObjectNode());
      }
      long token = body.path("warrant").asLong();
      if (token < warrant || body.path("shift").asLong() != shift) {
        site.records().line(name, "refuses a direct command with token " + token);
        return new Web.Answer(409, status());
      }
      sawToken(token);
      execute(body.path("orders"), "direct command, token " + token);
      return new Web.Answer(200, status());
    }
  }

  // ---- tasks

  private void execute(JsonNode orders, String by) {
    for (JsonNode order : orders) {
      String id = order.path("board").asText();
      long attempt = order.path("try").asLong();
      Task task = tasks.get(id);
      switch (order.path("order").asText()) {
        case "start" -> start(id, attempt, task, by);
        case "stop" -> {
          if (task != null && task.attempt == attempt && task.isLive()) {
            site.records().line(name, "told to stop " + id + " by " + by);
            exit(id, task, "halted");
          }
        }
        case "clear" -> {
          if (task != null && task.attempt == attempt && !task.isLive()) {
            tasks.remove(id);
            changed = true;
          }
        }
        default -> site.records().line(name, "unknown order " + order);
      }
    }
  }

  private void start(String id, long attempt, Task present, String by) {
    if (present != null && present.attempt == attempt) {
      return;
    }
    site.records().line(name, "told to start " + id + " attempt " + attempt + " by " + by);
    Jobs.Job job = site.jobs().get(id.substring(0, id.lastIndexOf('/')));
    Task task =
        new Task(attempt, job == null ? 0 : job.cpus(), job == null ? 0 : job.memoryGb());
    String refusal = refusal(job, task, present);
    tasks.put(id, task);
    changed = true;
    if (refusal != null) {
      exit(id, task, refusal);
      return;
    }
    String image = job.body.path("blueprint").asText();
    task.fetchedAtMs = site.records().nowMs() + (images.contains(image) ? 0 : FETCH_MS);
  }

  private String refusal(Jobs.Job job, Task task, Task present) {
    if (job == null) {
      return "unknown";
    }
    if (present != null && present.isLive()) {
      return "in_use";
    }
    boolean fits =
        task.cpus <= freeCpus() + 1e-6 && task.memoryGb <= freeMemoryGb() + 1e-6;
    return fits ? null : "full";
  }

  private void exit(String id, Task task, String cause) {
    if (task.stage.equals("running")) {
      site.running().ended(id, name, cause);
    }
    task.stage = "exited";
    task.cause = cause;
    changed = true;
  }

  private void killAll(String why) {
    tasks.forEach(
        (id, task) -> {
          if (task.stage.equals("running")) {
            site.running().ended(id, name, why);
          }
        });
    tasks.clear();
  }

  private void runForever() {
    while (!gone) {
      synchronized (this) {
        checkLease();
        long nowMs = site.records().nowMs();
        for (String id : List.copyOf(tasks.keySet())) {
          advance(id, tasks.get(id), nowMs);
        }
        ranUntilMs = nowMs;
      }
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void advance(String id, Task task, long nowMs) {
    if (!task.isLive() || gone) {
      return;
    }
    if (task.stage.equals("fetching")) {
      if (nowMs >= task.fetchedAtMs) {
        run(id, task);
      }
      return;
    }
    task.leftMs -= (nowMs - ranUntilMs) / slowness;
    if (task.leftMs <= 0) {
      exit(id, task, "error".equals(task.cause) ? "error" : "done");
    }
  }

  private void run(String id, Task task) {
    Jobs.Job job = site.jobs().ofTask(id);
    images.add(job.body.path("blueprint").asText());
    task.stage = "running";
    changed = true;
    task.leftMs = site.running().isDone(id) ? 0 : job.runS.get(Jobs.index(id)) * 1000;
    if (sick) {
      task.leftMs = FAIL_MS;
      task.cause = "error";
    }
    site.running().started(id, name);
  }

  private void checkLease() {
    if (site.records().nowMs() - leaseFromMs > site.leaseS() * 1000) {
      killAll("the worker's lease ran out");
      shift++;
      leaseFromMs = site.records().nowMs();
      changed = true;
      site.records().line(name, "lease ran out, session " + shift + " begins");
    }
  }
}
