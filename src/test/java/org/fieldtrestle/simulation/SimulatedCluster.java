package org.fieldtrestle.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.fieldtrestle.transport.Http;

/**
 * Three controllers of the real code in simulated time, with simulated stand-ins for network,
 * key-value store, cloud, workers and users. The same seed and the same actions of a test give the
 * same events.
 */
final class SimulatedCluster {
  /** How often the invariants that concern durations are checked. */
  static final long CHECK_INTERVAL_MS = 500;

  final SimulatedTime time;
  final FaultyNetwork network;
  final SimulatedKeyValueStore store;
  final SimulatedCloud cloud;
  final InvariantChecker invariants;
  final ClusterFaults faults;
  final SimulatedUsers users;

  /** All jobs that users know, by their identifiers. */
  final Map<String, SimulatedJob> jobs = new HashMap<>();

  final long heartbeatIntervalMs;
  final long leaseMs;
  final long cancelMs;
  private final IntFunction<String> workerAddress;
  private final Map<String, SimulatedController> controllers = new HashMap<>();

  /** The zones of all machines there ever were. */
  private final Map<String, String> zones = new HashMap<>();

  private final Set<String> results = new HashSet<>();
  private final Map<String, Long> heartbeatAnsweredAtMs = new HashMap<>();
  private Deployment deployment;
  private StoreAnswerDelays storeAnswerDelays = (label, path, body) -> MessageObserver.NO_DELAY;
  private MessageObserver messageObserver = new MessageObserver() {};
  private Consumer<String> listeningObserver = label -> {};
  private int imageFetchFactor = 1;
  private int lateCommandsExecuted;
  private int copiesAnswered;

  /** By how much answers of the key-value store, which has acted in time, come late. */
  interface StoreAnswerDelays {
    /**
     * Returns the delay in ms, or {@link MessageObserver#LOST}.
     *
     * @param body of the request
     */
    long delayMs(String label, String path, byte[] body);
  }

  /** Creates everything but the controllers. */
  SimulatedCluster(
      long seed, int machines, Deployment deployment, IntFunction<String> workerAddress) {
    this.workerAddress = workerAddress;
    this.deployment = deployment;
    this.heartbeatIntervalMs = deployment.heartbeatIntervalMs();
    this.leaseMs = deployment.leaseMs();
    this.cancelMs = deployment.cancelMs();
    time = new SimulatedTime(new SplittableRandom(seed));
    network = new FaultyNetwork(time);
    store = new SimulatedKeyValueStore(time, deployment);
    faults = new ClusterFaults(this);
    users = new SimulatedUsers(this);
    invariants = new InvariantChecker(this);
    cloud = new SimulatedCloud(time, this, machines);
    network.copiesGoTo(ClusterLayout.LABELS.stream().map(ClusterLayout::address).toList());
    network.serve(ClusterLayout.STORE_ADDRESS, ClusterLayout.REGIONAL_ZONE, store);
    network.serve(ClusterLayout.CLOUD_ADDRESS, ClusterLayout.REGIONAL_ZONE, cloud);
  }

  static SimulatedClusterBuilder builder() {
    return new SimulatedClusterBuilder();
  }

  /** Starts all controllers and the periodic check of the invariants. */
  void startAll() {
    ClusterLayout.LABELS.forEach(this::start);
    checkPeriodically();
  }

  private void checkPeriodically() {
    invariants.checkDurations();
    cloud.machines.values().forEach(machine -> zones.put(machine.id, machine.zone));
    time.after(CHECK_INTERVAL_MS, this::checkPeriodically);
  }

  List<String> labels() {
    return ClusterLayout.LABELS;
  }

  String workerAddress(int number) {
    return workerAddress.apply(number);
  }

  Deployment deployment() {
    return deployment;
  }

  /** Changes the settings of the controllers that start from now on. */
  void changeDeployment(Deployment changed) {
    deployment = changed;
  }

  /** Runs the simulation for some time. */
  void runFor(long ms) {
    time.runUntil(time.now() + ms);
  }

  // ---- machines and tasks

  /** The zone of a machine, also of one that was returned. */
  String zoneOf(String machine) {
    SimulatedWorker worker = cloud.machines.get(machine);
    return worker == null ? zones.getOrDefault(machine, "?") : worker.zone;
  }

  /** The machines that there are now, ordered by their names. */
  List<SimulatedWorker> machines() {
    return List.copyOf(cloud.machines.values());
  }

  /** The controller that most machines with tasks of a job report to. */
  String leaderOf(SimulatedJob job) {
    Map<String, Integer> counts = new HashMap<>();
    for (SimulatedWorker machine : cloud.machines.values()) {
      for (int i = 0; i < job.tasks(); i++) {
        if (machine.holds(job.task(i))) {
          counts.merge(machine.reportsTo(), 1, Integer::sum);
        }
      }
    }
    return counts.entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey)
        .orElse(labels().get(0));
  }

  /** Whether the result of a task is on record. */
  boolean hasResult(String task) {
    return results.contains(task);
  }

  /** Notes the result of a task. */
  void addResult(String task) {
    results.add(task);
  }

  /** Called when a worker reports a task as done. */
  void onTaskDone(SimulatedJob job) {
    for (int i = 0; i < job.tasks(); i++) {
      if (!hasResult(job.task(i))) {
        return;
      }
    }
    users.lastTaskDone(job);
  }

  /** How many times longer than usual images take. */
  int imageFetchFactor() {
    return imageFetchFactor;
  }

  void slowImageFetches(int factor) {
    imageFetchFactor = factor;
  }

  /** Called when a machine executes a direct command long after it was sent. */
  void onLateCommandExecuted() {
    lateCommandsExecuted++;
  }

  /** How many direct commands machines executed long after they were sent. */
  int lateCommandsExecuted() {
    return lateCommandsExecuted;
  }

  // ---- controllers

  SimulatedController controller(String label) {
    return controllers.get(label);
  }

  void start(String label) {
    controllers.put(label, new SimulatedController(this, label));
  }

  /** Whether a controller tells the load balancer that it is ready. */
  boolean isReady(String label) {
    boolean serves = network.serves(ClusterLayout.address(label));
    SimulatedController controller = controllers.get(label);
    if (controller == null) { // it is a real process
      return serves;
    }
    int[] status = {0};
    boolean reached = serves && !controller.isFrozen() && !faults.isDisconnected(label, Link.USERS);
    if (controller.isAlive() && reached) {
      controller.handle(
          "GET", "/ready", Http.Response.EMPTY, response -> status[0] = response.status());
    }
    return status[0] == 200;
  }

  /** Called when a controller begins to accept requests, before any comes. */
  void onListening(String label) {
    listeningObserver.accept(label);
  }

  void observeListening(Consumer<String> observer) {
    listeningObserver = observer;
  }

  /** Called when a controller answers a heartbeat with 200. */
  void onHeartbeatAnswered(String label) {
    heartbeatAnsweredAtMs.put(label, time.now());
  }

  /** When a controller last answered a heartbeat with 200; -1: never. */
  long heartbeatAnsweredAtMs(String label) {
    return heartbeatAnsweredAtMs.getOrDefault(label, -1L);
  }

  // ---- messages

  MessageObserver messageObserver() {
    return messageObserver;
  }

  void observeMessages(MessageObserver observer) {
    messageObserver = observer;
  }

  StoreAnswerDelays storeAnswerDelays() {
    return storeAnswerDelays;
  }

  void delayStoreAnswers(StoreAnswerDelays delays) {
    storeAnswerDelays = delays;
  }

  void stopDelayingStoreAnswers() {
    storeAnswerDelays = (label, path, body) -> MessageObserver.NO_DELAY;
  }

  /** A copy of a heartbeat arrives at a controller. */
  void deliverCopy(String label, byte[] heartbeat) {
    SimulatedController to = controllers.get(label);
    if (to.isAlive() && network.serves(ClusterLayout.address(label))) {
      to.turn(
          () ->
              to.handle(
                  "POST",
                  "/hello",
                  heartbeat,
                  response -> copiesAnswered += response.status() == 200 ? 1 : 0));
    }
  }

  /** How many copies of heartbeats controllers took for new ones. */
  int copiesAnswered() {
    return copiesAnswered;
  }
}
