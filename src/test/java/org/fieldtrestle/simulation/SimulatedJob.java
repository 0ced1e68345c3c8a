package org.fieldtrestle.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fieldtrestle.protocol.Json;

/** What simulated users, workers and the invariant checker know of a job. */
final class SimulatedJob {
  private static final long SHORT_RUN_MS = 3000;

  private final String id;
  private String team = "open";
  private int tasks = 1;
  private double cpus = 4;
  private String image = "img";
  private long runMs = 5000;
  private String type;
  private String zone;
  private boolean oneZone;
  private boolean spread;
  private boolean spot = true;
  private boolean failing;
  private int unevenness;
  private boolean unsatisfiable;
  private byte[] body;
  private long submittedAtMs;
  private long faultDurationBeforeMs;

  SimulatedJob(String id) {
    this.id = id;
  }

  String id() {
    return id;
  }

  String team() {
    return team;
  }

  SimulatedJob team(String name) {
    team = name;
    return this;
  }

  int tasks() {
    return tasks;
  }

  SimulatedJob tasks(int count) {
    tasks = count;
    return this;
  }

  /** The job of a task. */
  static String idOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  /** The index of a task in its job. */
  static int indexOf(String task) {
    return Integer.parseInt(task.substring(task.lastIndexOf('/') + 1));
  }

  /** The name of a task by its index. */
  String task(int index) {
    return id + "/" + index;
  }

  double cpus() {
    return cpus;
  }

  /** Sets the CPUs of each task. */
  SimulatedJob cpus(double count) {
    cpus = count;
    return this;
  }

  String image() {
    return image;
  }

  SimulatedJob image(String name) {
    image = name;
    return this;
  }

  long runMs() {
    return runMs;
  }

  /** Sets about how long each task runs. */
  SimulatedJob runMs(long ms) {
    runMs = ms;
    return this;
  }

  /** The only machine type that its tasks may run on; null: any. */
  String type() {
    return type;
  }

  SimulatedJob type(String name) {
    type = name;
    return this;
  }

  /** The only zone that its tasks may run in; null: any. */
  String zone() {
    return zone;
  }

  SimulatedJob zone(String name) {
    zone = name;
    return this;
  }

  boolean oneZone() {
    return oneZone;
  }

  /** All tasks run in the same zone, whichever that is. */
  SimulatedJob oneZone(boolean value) {
    oneZone = value;
    return this;
  }

  boolean spread() {
    return spread;
  }

  /** At most half of the tasks run in the same zone. */
  SimulatedJob spread(boolean value) {
    spread = value;
    return this;
  }

  /** How many tasks may be in one zone at a time, of a job that is spread. */
  int zoneLimit() {
    return (tasks + 1) / 2;
  }

  boolean spot() {
    return spot;
  }

  /** Whether its tasks may run on spot machines. */
  SimulatedJob spot(boolean value) {
    spot = value;
    return this;
  }

  boolean isFailing() {
    return failing;
  }

  /** All its tasks fail, wherever they run. */
  SimulatedJob failing(boolean value) {
    failing = value;
    return this;
  }

  /** By how many run times a task takes longer than the one before it. */
  int unevenness() {
    return unevenness;
  }

  SimulatedJob unevenness(int runTimes) {
    unevenness = runTimes;
    return this;
  }

  /** Whether it can never run, or lacks a field, so that it must not be accepted. */
  boolean isUnsatisfiable() {
    return unsatisfiable;
  }

  SimulatedJob unsatisfiable(boolean value) {
    unsatisfiable = value;
    return this;
  }

  String jobClass() {
    return isShort() ? "rush" : "batch";
  }

  private boolean isShort() {
    return runMs < SHORT_RUN_MS;
  }

  /** The body of the request that submits it. */
  byte[] body() {
    return body;
  }

  /** Sets another body than the one that describes the job. */
  SimulatedJob body(byte[] json) {
    body = json;
    return this;
  }

  long submittedAtMs() {
    return submittedAtMs;
  }

  /** For how long there had been faults when it was submitted. */
  long faultDurationBeforeMs() {
    return faultDurationBeforeMs;
  }

  /** Fixes its description and when it is submitted. */
  void describe(long nowMs, long faultsSoFarMs) {
    submittedAtMs = nowMs;
    faultDurationBeforeMs = faultsSoFarMs;
    body = Json.bytes(description());
  }

  private ObjectNode description() {
    ObjectNode description =
        Json.object()
            .put("uid", id)
            .put("lot", jobClass())
            .put("crew", team)
            .put("cut", "array")
            .put("urgency", isShort() ? "urgent" : "normal")
            .put("boards", tasks)
            .put("cpus", cpus)
            .put("gpus", 0.0)
            .put("memoryGb", 1.0)
            .put("blueprint", image)
            .put("pullGb", 1.0)
            .put("yard", zone)
            .put("together", oneZone)
            .put("scatter", spread)
            .put("loaners", spot)
            .put("expectedS", runMs / 1000.0)
            .put("tallyS", 0.0)
            .put("stackS", 0.0)
            .put("dueS", 200.0);
    if (type != null) {
      description.putArray("rigs").add(type);
    }
    return description;
  }
}
