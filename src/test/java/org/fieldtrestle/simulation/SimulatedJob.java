package org.fieldtrestle.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fieldtrestle.protocol.Json;

/** What the simulated users, the workers and the invariant checker know about a job. */
final class SimulatedJob {
  private static final long SHORT_JOB_RUN_MS = 3000;

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

  /** Returns the identifier of the job of a task. */
  static String idOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  /** Returns the index of a task in its job. */
  static int indexOf(String task) {
    return Integer.parseInt(task.substring(task.lastIndexOf('/') + 1));
  }

  /** Returns the name of the task with an index. */
  String task(int index) {
    return id + "/" + index;
  }

  double cpus() {
    return cpus;
  }

  /** Sets the number of CPUs of each task. */
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

  /** Sets the approximate run time of each task. */
  SimulatedJob runMs(long ms) {
    runMs = ms;
    return this;
  }

  /** Returns the only machine type that the tasks may run on, or {@code null} for any type. */
  String type() {
    return type;
  }

  SimulatedJob type(String name) {
    type = name;
    return this;
  }

  /** Returns the only zone that the tasks may run in, or {@code null} for any zone. */
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

  /** Sets whether all tasks must run in the same zone, whichever zone it is. */
  SimulatedJob oneZone(boolean value) {
    oneZone = value;
    return this;
  }

  boolean spread() {
    return spread;
  }

  /** Sets whether at most half of the tasks, rounded up, may run in the same zone. */
  SimulatedJob spread(boolean value) {
    spread = value;
    return this;
  }

  /** Returns how many tasks of a spread job may be in one zone at a time. */
  int zoneLimit() {
    return (tasks + 1) / 2;
  }

  boolean spot() {
    return spot;
  }

  /** Sets whether the tasks may run on spot machines. */
  SimulatedJob spot(boolean value) {
    spot = value;
    return this;
  }

  boolean isFailing() {
    return failing;
  }

  /** Sets whether all tasks fail, on any machine. */
  SimulatedJob failing(boolean value) {
    failing = value;
    return this;
  }

  /** Returns by how many run times each task runs longer than the task before it. */
  int unevenness() {
    return unevenness;
  }

  SimulatedJob unevenness(int runTimes) {
    unevenness = runTimes;
    return this;
  }

  /** Whether the job must not be accepted, because it can never run or lacks a field. */
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
    return runMs < SHORT_JOB_RUN_MS;
  }

  /** Returns the body of the request that submits the job. */
  byte[] body() {
    return body;
  }

  /** Sets a body other than the description of the job. */
  SimulatedJob body(byte[] json) {
    body = json;
    return this;
  }

  long submittedAtMs() {
    return submittedAtMs;
  }

  /** Returns for how long there had been faults when the job was submitted. */
  long faultDurationBeforeMs() {
    return faultDurationBeforeMs;
  }

  /** Sets the time of submission, and creates the body from the properties set so far. */
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
