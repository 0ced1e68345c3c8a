package org.fieldtrestle.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.random.RandomGenerator;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.controller.Controller;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.transport.EventLoopMeter;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.Reactor;

/** Three controllers of the real code amid stand-ins for all else, with users and troubles. */
final class SimulatedCluster {
  static final String STATE = "10.2.0.1:2379";
  static final String CLOUD = "10.2.0.2:8443";

  /** How often the invariants are checked for what lasts. */
  static final long SWEEP_MS = 500;

  /** What the workers and the rules know of a job. */
  static final class Job {
    String id;
    String team;
    int tasks;
    double cpus;
    String image;
    long runMs;
    String type;
    String zone;
    boolean oneZone;
    boolean spread;
    boolean spot;
    boolean broken;

    /** By how many run times each task takes longer than the one before it. */
    int uneven;

    /** It can never run, or lacks a field: to be refused, and never accepted. */
    boolean hopeless;

    long submittedAt;

    /** For how long troubles had been on by then. */
    long troubledBeforeMs;

    byte[] body;

    String jobClass() {
      return runMs < 3000 ? "rush" : "batch";
    }
  }

  private static final class Process {
    boolean alive = true;

    /** Until when it stands still, while its clocks run on and what comes for it piles up. */
    long frozenUntil;

    /** How long each of its turns takes, and until when it is busy with those before. */
    long turnMs;

    long busyUntil;

    /** Until when what it says does not leave: it stands still between deciding and sending. */
    long unsentUntil;

    Controller controller;
  }

  private static final IntFunction<String> SIMULATED_WORKER_ADDRESS =
      number -> "10.1." + number / 250 + "." + (number % 250 + 1) + ":9000";

  /** The address of the worker of the machine that was rented as the n-th. */
  final IntFunction<String> workerAddress;

  final SimulatedTime time;
  final FaultyNetwork net;
  final SimulatedKeyValueStore state;
  final SimulatedCloud cloud;
  final InvariantChecker rules;
  final Map<String, Job> jobs = new HashMap<>();
  final Set<String> cancelledByUser = new HashSet<>();
  final Set<String> results = new HashSet<>();
  final long heartbeatIntervalsMs;
  final long leaseMs;
  final long cancelMs;
  private final Map<String, Process> processes = new HashMap<>();
  private final Map<String, String> zoneOf = new HashMap<>();
  private final Map<String, Long> isolatedUntil = new HashMap<>();

  /** Until when what a controller says and hears is lost, by whom it is said to or heard from. */
  private final Map<String, Long> lostUntil = new HashMap<>();

  private long calmSince;

  /** By how much an answer of the state service comes late, though it acted in time. */
  interface LateAnswers {
    /** In place of a delay: the answer never comes, and its request is given up. */
    long LOST = -1;

    long late(String controller, String path, byte[] body);
  }

  LateAnswers stateAnswerLateMs = (controller, path, body) -> 0;

  /** What becomes of a message that is about to be sent or taken in; nothing by default. */
  interface MessageObserver {
    /** The message goes on without delay. */
    long PROMPT = 0;

    /**
     * @param peer whom the controller sends to or has the answer from
     * @return by how many ms it is held back, or {@link LateAnswers#LOST}
     */
    default long beforeSending(String controller, String peer, String path, byte[] body) {
      return PROMPT;
    }

    default long beforeAnswer(String controller, String peer, String path, byte[] body) {
      return PROMPT;
    }

    default long beforeRequest(String controller, String path) {
      return PROMPT;
    }
  }

  /** Told of every message. */
  MessageObserver messages = new MessageObserver() {};

  /** Share of jobs that their users call off at the moment at which their last task is done. */
  double cancelAtEnd;

  /** What the controllers' settings say; for those that start after a change of it. */
  Deployment deployment;

  /** How many times longer images take than usual. */
  int slowLinks = 1;

  private final Map<String, Long> answeredWorkerAt = new HashMap<>();

  SimulatedCluster(RandomGenerator random, int capacity) {
    this(random, capacity, 2500, 16_000, 46_000);
  }

  SimulatedCluster(
      RandomGenerator random,
      int capacity,
      long heartbeatIntervalsMs,
      long leaseMs,
      long cancelMs) {
    this(random, capacity, Deployment.small(heartbeatIntervalsMs, leaseMs, cancelMs));
  }

  SimulatedCluster(RandomGenerator random, int capacity, Deployment deployment) {
    this(random, capacity, deployment, SIMULATED_WORKER_ADDRESS);
    labels().forEach(this::start);
    sweep();
  }

  /**
   * Everything but the controllers and the checks of the rules, for a driver whose controllers are
   * real processes.
   */
  SimulatedCluster(
      RandomGenerator random,
      int capacity,
      Deployment deployment,
      IntFunction<String> workerAddress) {
    this.workerAddress = workerAddress;
    this.deployment = deployment;
    this.heartbeatIntervalsMs = deployment.heartbeatIntervalsMs();
    this.leaseMs = deployment.leaseMs();
    this.cancelMs = deployment.cancelMs();
    time = new SimulatedTime(random);
    net = new FaultyNetwork(time);
    state = new SimulatedKeyValueStore(time, deployment);
    rules = new InvariantChecker(time, this);
    cloud = new SimulatedCloud(time, this, capacity);
    net.controllers = labels().stream().map(this::address).toList();
    net.serve(STATE, "regional", state);
    net.serve(CLOUD, "regional", cloud);
  }

  private void sweep() {
    rules.sweep();
    cloud.machines.values().forEach(m -> zoneOf.put(m.id, m.zone));
    time.after(SWEEP_MS, this::sweep);
  }

  List<String> labels() {
    return List.of("trestle-0", "trestle-1", "trestle-2");
  }

  String address(String label) {
    return "10.0.0." + label.charAt(label.length() - 1) + ":8080";
  }

  private static String peerAddress(String label) {
    return "10.0.0." + label.charAt(label.length() - 1) + ":8081";
  }

  private static String zone(String label) {
    return label.endsWith("1") ? "b" : "a";
  }

  String zoneOf(String machine) {
    SimulatedWorker worker = cloud.machines.get(machine);
    return worker == null ? zoneOf.getOrDefault(machine, "?") : worker.zone;
  }

  double limit(String team) {
    return team.equals("limited") ? 40 : Double.MAX_VALUE;
  }

  private Settings settings(String label) {
    List<Settings.Peer> peers = new ArrayList<>();
    for (String other : List.of("trestle-0", "trestle-1", "trestle-2")) {
      if (!other.equals(label)) {
        peers.add(new Settings.Peer(other, zone(other), peerAddress(other)));
      }
    }
    return new Settings(
        label,
        zone(label),
        "0.0.0.0:1",
        peerAddress(label),
        peers,
        CLOUD,
        STATE,
        List.of("a", "b"),
        100,
        List.of(new Settings.Team("limited", 16, 40, 0, 0), new Settings.Team("open", 16, 0, 0, 0)),
        List.of(new Settings.Objective("wait", "rush", 0.9, 1, 5)),
        new Settings.Workers(heartbeatIntervalsMs / 1000.0, leaseMs / 1000.0, cancelMs / 1000.0),
        deployment.state(),
        deployment.cloud(),
        deployment.limits());
  }

  void start(String label) {
    Process process = new Process();
    processes.put(label, process);
    Reactor reactor =
        time.process(
            () -> process.alive,
            work -> turn(process, work),
            time.random.nextDouble() * 0.0005,
            time.between(-100, 100));
    Http.Caller caller =
        (address, method, path, body, timeoutMs, done) -> {
          if (address.equals(STATE) && isolated(label) > 0) {
            time.after(
                2, () -> process.alive, () -> done.accept(new Http.Answer(503, new byte[0])));
            return;
          }
          long sentAt = time.now();
          String to = address.equals(STATE) ? "state" : address.equals(CLOUD) ? "cloud" : "workers";
          if (lost(label, to)) {
            Http.Outcome none =
                time.chance(0.5) ? new Http.NotSent("timeout") : new Http.Unknown("timeout");
            time.after(timeoutMs, () -> process.alive, () -> done.accept(none));
            return;
          }
          long heldBack = messages.beforeSending(label, to, path, body);
          if (heldBack == LateAnswers.LOST) {
            time.after(
                timeoutMs, () -> process.alive, () -> done.accept(new Http.Unknown("timeout")));
            return;
          }
          sendAfter(
              heldBack,
              process,
              () ->
                  net.call(
                      zone(label),
                      () -> process.alive,
                      address,
                      method,
                      path,
                      body,
                      timeoutMs,
                      outcome -> {
                        // Watches that are open wait as they would in an outage.
                        long wait = path.startsWith("/watch") ? isolated(label) : 0;
                        Http.Outcome received = outcome;
                        long late = messages.beforeAnswer(label, to, path, body);
                        if (address.equals(STATE) && late == MessageObserver.PROMPT) {
                          late = stateAnswerLateMs.late(label, path, body);
                        }
                        if (late != MessageObserver.PROMPT) {
                          boolean lost = late == LateAnswers.LOST;
                          received = lost ? new Http.Unknown("timeout") : outcome;
                          wait += lost ? sentAt + timeoutMs - time.now() : late;
                        }
                        Http.Outcome seen = received;
                        time.after(
                            wait,
                            () -> process.alive,
                            () -> turn(process, () -> done.accept(seen)));
                      }));
        };
    process.controller =
        new Controller(
            settings(label),
            OperatorSettings.DEFAULT,
            reactor,
            time.random,
            caller,
            (address, frame) -> {
              if (!lost(label, "peers")) {
                peerFrame(address, frame);
              }
            },
            new EventLoopMeter(reactor::nanoTime));
    reactor.execute(() -> process.controller.start(() -> listen(label, process)));
  }

  private void listen(String label, Process process) {
    net.serve(
        address(label),
        zone(label),
        (request, reply) -> {
          boolean report = request.path().equals("/hello");
          long heldBack = messages.beforeRequest(label, request.path());
          if (heldBack == LateAnswers.LOST || lost(label, report ? "workers" : "users")) {
            return;
          }
          Runnable handle =
              () ->
                  turn(
                      process,
                      () ->
                          process.controller.handle(
                              request,
                              answer -> {
                                if (report && answer.status() == 200) {
                                  answeredWorkerAt.put(label, time.now());
                                }
                                send(process, () -> reply.accept(answer));
                              }));
          if (heldBack == MessageObserver.PROMPT) {
            handle.run();
          } else {
            time.after(heldBack, () -> process.alive, handle);
          }
        });
    listening.accept(label);
  }

  private void sendAfter(long heldBackMs, Process process, Runnable message) {
    if (heldBackMs == MessageObserver.PROMPT) {
      send(process, message);
    } else {
      time.after(heldBackMs, () -> process.alive, () -> send(process, message));
    }
  }

  private void send(Process process, Runnable message) {
    long wait = process.unsentUntil - time.now();
    if (wait > 0) {
      time.after(wait, () -> process.alive, message);
    } else {
      message.run();
    }
  }

  /**
   * A controller stands still between deciding and sending: whatever it decides within the next
   * tenth of a second leaves only once it goes on.
   */
  void freezeBeforeSending(String label, long ms) {
    processes.get(label).unsentUntil = time.now() + ms;
    time.after(100, () -> freeze(label, ms - 100));
  }

  /** A copy of a report arrives at a controller. */
  void deliverCopy(String label, byte[] report) {
    Process to = processes.get(label);
    if (to.alive && net.serves(address(label))) {
      turn(
          to,
          () ->
              to.controller.handle(
                  new Http.Request("POST", "/hello", Map.of(), report),
                  answer -> copiesAnswered += answer.status() == 200 ? 1 : 0));
    }
  }

  /** Told of each controller that begins to accept requests, before any comes. */
  Consumer<String> listening = label -> {};

  /** Direct commands that any machine carried out long after they were sent. */
  int commandsCarriedOutLate;

  /** Copies of reports that a controller took for new ones. */
  int copiesAnswered;

  /** When a controller last answered a report with 200. */
  long answeredWorkerAt(String label) {
    return answeredWorkerAt.getOrDefault(label, -1L);
  }

  /** A task's worker says that it is done, and no task of its job is left. */
  void taskDone(Job job) {
    for (int i = 0; i < job.tasks; i++) {
      if (!results.contains(job.id + "/" + i)) {
        return;
      }
    }
    if (cancelAtEnd > 0) {
      time.after(time.between(0, 300), () -> ask(job.id));
      time.after(time.between(0, 300), () -> again(job));
      if (time.chance(cancelAtEnd)) {
        time.after(time.between(0, 300), () -> cancel(job));
      }
    }
  }

  /** The controller that most machines with tasks of a job report to. */
  String leaderOf(Job job) {
    Map<String, Integer> counts = new HashMap<>();
    for (SimulatedWorker machine : cloud.machines.values()) {
      for (int i = 0; i < job.tasks; i++) {
        if (machine.holds(job.id + "/" + i)) {
          counts.merge(machine.reportsTo(), 1, Integer::sum);
        }
      }
    }
    return counts.entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey)
        .orElse(labels().get(0));
  }

  private void turn(Process process, Runnable work) {
    whenNotFrozen(
        process,
        () -> {
          if (process.turnMs == 0) {
            work.run();
            return;
          }
          process.busyUntil = Math.max(process.busyUntil, time.now()) + process.turnMs;
          time.after(
              process.busyUntil - time.now(),
              () -> process.alive,
              () -> whenNotFrozen(process, work));
        });
  }

  /** Does something now, or once a controller that stands still goes on. */
  private void whenNotFrozen(Process process, Runnable work) {
    long wait = process.frozenUntil - time.now();
    if (wait > 0) {
      time.after(wait, () -> process.alive, () -> whenNotFrozen(process, work));
    } else {
      work.run();
    }
  }

  /** Each turn of a controller takes so long from now on, so that all that it does comes late. */
  void slowDown(String label, long turnMs) {
    processes.get(label).turnMs = turnMs;
  }

  /** For how long what comes for a controller now has to wait until it is its turn. */
  long lagMs(String label) {
    return Math.max(0, processes.get(label).busyUntil - time.now());
  }

  /** A controller does nothing for a while; then it has everything at once. */
  void freeze(String label, long ms) {
    processes.get(label).frozenUntil = time.now() + ms;
  }

  private boolean frozen(String label) {
    return time.now() < processes.get(label).frozenUntil;
  }

  /** For a while a controller and these others do not reach each other. */
  void lose(String label, long ms, String... others) {
    for (String other : others) {
      lostUntil.put(label + " " + other, time.now() + ms);
    }
  }

  private boolean lost(String label, String other) {
    return time.now() < lostUntil.getOrDefault(label + " " + other, 0L);
  }

  private void peerFrame(String address, ByteBuffer frame) {
    ByteBuffer body = frame.duplicate();
    body.position(4);
    byte[] bytes = new byte[body.remaining()];
    body.get(bytes);
    String label = "trestle-" + address.charAt(address.indexOf(':') - 1);
    Process to = processes.get(label);
    if (lost(label, "peers")) {
      return;
    }
    int copies = time.chance(0.05) ? 2 : 1; // repeated and late frames happen
    for (int i = 0; i < copies; i++) {
      time.after(
          time.chance(0.05) ? time.between(500, 60_000) : time.between(1, 5),
          () -> to.alive,
          () -> turn(to, () -> to.controller.frame(ByteBuffer.wrap(bytes))));
    }
  }

  void kill(String label, long backAfterMs) {
    Process process = processes.get(label);
    if (!process.alive) {
      return;
    }
    process.alive = false;
    net.stop(address(label));
    time.after(backAfterMs, () -> start(label));
  }

  /** The state service alone refuses everything that this controller asks. */
  void isolate(String label, long ms) {
    isolatedUntil.put(label, time.now() + ms);
  }

  private long isolated(String label) {
    return Math.max(0, isolatedUntil.getOrDefault(label, 0L) - time.now());
  }

  /** What one controller says of a job within two seconds; 0 where that is nothing. */
  int ask(String label, String id) {
    int[] status = {0};
    processes
        .get(label)
        .controller
        .handle(
            new Http.Request("GET", "/v2/runs/" + id, Map.of(), new byte[0]),
            response -> status[0] = response.status());
    time.runUntil(time.now() + 2000);
    return status[0];
  }

  /** What a controller answers to the load balancer. */
  boolean ready(String label) {
    if (!processes.containsKey(label)) {
      return net.serves(address(label));
    }
    int[] status = {0};
    boolean reached = net.serves(address(label)) && !frozen(label) && !lost(label, "users");
    if (processes.get(label).alive && reached) {
      processes
          .get(label)
          .controller
          .handle(
              new Http.Request("GET", "/ready", Map.of(), new byte[0]),
              response -> status[0] = response.status());
    }
    return status[0] == 200;
  }

  /** Notes that something is being done to the service. */
  void trouble(long forMs) {
    calmSince = Math.max(calmSince, time.now() + forMs);
  }

  long calmSince() {
    return calmSince;
  }

  // ---- users

  Job submit(String id, java.util.function.Consumer<Job> shape) {
    Job job = define(id, shape);
    post(job, 0);
    return job;
  }

  /** A job that workers and rules know of, but that is not handed in yet. */
  Job define(String id, java.util.function.Consumer<Job> shape) {
    Job job = new Job();
    job.id = id;
    job.team = "open";
    job.tasks = 1;
    job.cpus = 4;
    job.image = "img";
    job.runMs = 5000;
    job.spot = true;
    shape.accept(job);
    ObjectNode body =
        Json.object()
            .put("uid", id)
            .put("lot", job.jobClass())
            .put("crew", job.team)
            .put("cut", "array")
            .put("urgency", job.runMs < 3000 ? "urgent" : "normal")
            .put("boards", job.tasks)
            .put("cpus", job.cpus)
            .put("gpus", 0.0)
            .put("memoryGb", 1.0)
            .put("blueprint", job.image)
            .put("pullGb", 1.0)
            .put("yard", job.zone)
            .put("together", job.oneZone)
            .put("scatter", job.spread)
            .put("loaners", job.spot)
            .put("expectedS", job.runMs / 1000.0)
            .put("tallyS", 0.0)
            .put("stackS", 0.0)
            .put("dueS", 200.0);
    if (job.type != null) {
      body.putArray("rigs").add(job.type);
    }
    job.body = Json.bytes(body);
    job.submittedAt = time.now();
    job.troubledBeforeMs = rules.troubledMs();
    jobs.put(id, job);
    return job;
  }

  /** A job that must not be accepted, as its user sends it; it is sent once. */
  void submitHopeless(String id, byte[] body, int expected) {
    Job job = new Job();
    job.id = id;
    job.hopeless = true;
    job.team = "open";
    job.body = body;
    jobs.put(id, job);
    call(
        "POST",
        "/v2/runs",
        body,
        5000,
        answer -> {
          if (answer.status() == 200 || answer.status() == 201) {
            rules.accepted(id);
          } else if (answer.status() < 429 && answer.status() != expected && answer.status() > 0) {
            rules.broken.add("hopeless " + id + " gets " + answer.status());
          }
        });
  }

  /** A repeated submission, at any time, also of a job that has ended. */
  void submitAgain(Job job) {
    again(job);
  }

  private void call(
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      java.util.function.Consumer<Http.Answer> done) {
    List<String> ready = labels().stream().filter(this::ready).toList();
    List<String> from = ready.isEmpty() ? labels() : ready;
    callAt(from.get((int) time.between(0, from.size() - 1)), method, path, body, timeoutMs, done);
  }

  private void callAt(
      String label,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      java.util.function.Consumer<Http.Answer> done) {
    net.call(
        "regional",
        () -> true,
        address(label),
        method,
        path,
        body,
        timeoutMs,
        outcome ->
            done.accept(
                outcome instanceof Http.Answer answer ? answer : new Http.Answer(0, new byte[0])));
  }

  /** A user's submission that comes to one controller, and to none but it. */
  void submitAt(String label, Job job, Consumer<Http.Answer> answered) {
    callAt(
        label,
        "POST",
        "/v2/runs",
        job.body,
        5000,
        answer -> {
          if (answer.status() == 200 || answer.status() == 201) {
            rules.accepted(job.id);
          }
          answered.accept(answer);
        });
  }

  /** Hands a job in, for the first time or again. */
  private void hand(Job job, java.util.function.Consumer<Http.Answer> done) {
    call("POST", "/v2/runs", job.body, 5000, done);
  }

  private void post(Job job, int tries) {
    hand(
        job,
        answer -> {
          if (answer.status() == 200 || answer.status() == 201) {
            rules.accepted(job.id);
            poll(job);
            if (tries > 0 || time.chance(0.2)) {
              time.after(time.between(1000, 60_000), () -> again(job));
            }
          } else if (answer.status() == 400 || answer.status() == 422) {
            rules.broken.add("refused " + job.id + " with " + answer.status());
          } else if (tries < 600) {
            time.after(1000, () -> post(job, tries + 1));
          }
        });
  }

  /** A retry that arrives at any later time. */
  private void again(Job job) {
    long asked = time.now();
    hand(
        job,
        answer -> {
          if (answer.status() == 400 || answer.status() == 422 || answer.status() == 201) {
            rules.broken.add("forgotten: repeated " + job.id + " gets " + answer.status());
          } else if (answer.status() == 200) {
            rules.told(job.id, 200, Json.parseOrEmpty(answer.body()).path("stage").asText(), asked);
          }
        });
  }

  private void poll(Job job) {
    ask(job.id);
    time.after(time.between(3000, 6000), () -> poll(job));
  }

  void ask(String id) {
    long asked = time.now();
    call(
        "GET",
        "/v2/runs/" + id,
        new byte[0],
        2000,
        answer ->
            rules.told(
                id,
                answer.status(),
                Json.parseOrEmpty(answer.body()).path("stage").asText(),
                asked));
  }

  void cancel(Job job) {
    call("POST", abort(job), new byte[0], 5000, cancelled(job, () -> cancel(job)));
  }

  /** A user's cancellation that comes to one controller, and to none but it. */
  void cancelAt(String label, Job job) {
    callAt(
        label, "POST", abort(job), new byte[0], 5000, cancelled(job, () -> cancelAt(label, job)));
  }

  private static String abort(Job job) {
    return "/v2/runs/" + job.id + "/abort";
  }

  private java.util.function.Consumer<Http.Answer> cancelled(Job job, Runnable again) {
    long asked = time.now();
    cancelledByUser.add(job.id);
    return answer -> {
      if (answer.status() == 200) {
        rules.told(job.id, 200, Json.parseOrEmpty(answer.body()).path("stage").asText(), asked);
      } else {
        time.after(1000, again);
      }
    };
  }
}
