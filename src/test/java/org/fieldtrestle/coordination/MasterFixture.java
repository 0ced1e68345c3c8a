package org.fieldtrestle.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.fieldtrestle.bookkeeping.Records;
import org.fieldtrestle.bookkeeping.Store;
import org.fieldtrestle.bookkeeping.View;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.Priority;
import org.fieldtrestle.protocol.Settings;
import org.fieldtrestle.protocol.StateWire;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.protocol.WorkerWire;
import org.fieldtrestle.rehearsal.SimulatedNetwork;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.Reactor;
import org.fieldtrestle.transport.WorkMeter;

/**
 * A master with one machine and one job, on simulated time.
 *
 * <p>The master gets no messages about changes of the state: as in the moment between a change and
 * the message about it, it only has what it can ask.
 */
final class MasterFixture {
  static final String JOB = "job-000001";
  static final int TASKS = 2;
  static final Records.RangeKey RANGE = new Records.RangeKey(JOB, 0);
  private static final String LABEL = "trestle-0";
  private static final String MACHINE = "host-000001";
  private static final String WORKER_ADDRESS = "10.1.0.1:9000";
  private static final long STEP_MS = 500;

  /** Far above what the state service has counted up to here. */
  static final long LATER_REVISION = 1000;

  private static final String MACHINE_TYPES =
      """
      {"rigs":[{"name":"big","cpus":16,"gpus":0,"memoryGb":64,"cacheGb":20,"pullGbPerS":1.0,
        "hourly":1.0,"lowPrice":0.3,"readyS":10,"yards":["a"]}]}
      """;

  final SimulatedNetwork network = new SimulatedNetwork();
  final Node node;
  Master master;
  private long epoch;
  private long reports;
  private long shownToken;

  MasterFixture() {
    network.serveState();
    network.serve(SimulatedNetwork.CLOUD_ADDRESS, MasterFixture::cloud);
    Settings settings = network.settings(LABEL);
    Reactor reactor = network.reactor();
    Http.Caller caller = network.caller();
    Store store = new Store(reactor, caller, settings);
    View view = new View(reactor, store, settings);
    node =
        new Node(
            settings,
            Tuning.DEFAULT,
            reactor,
            new SplittableRandom(1),
            caller,
            store,
            view,
            new Cloud(reactor, caller, settings),
            new Membership(reactor, store, view, settings, "boot"),
            new Loads(reactor, LABEL, STEP_MS),
            new Cancellations(),
            new Stats(new WorkMeter(reactor::nanoTime)));
    view.start();
    node.cloud().start();
    network.runFor(STEP_MS);
    node.membership().start(new Begun());
    network.runFor(STEP_MS);
    write(Records.job(JOB), Records.write(job()));
    write(
        Records.roster(new Records.RosterKey(LABEL, 0)),
        Records.writeRoster(
            Map.of(MACHINE, new Records.Machine(LABEL, 0, "big", "a", true, 0, epoch))));
    master.tell(new Master.Tick());
    network.runFor(STEP_MS);
  }

  private final class Begun implements Membership.Listener {
    @Override
    public void began(String name, long begunEpoch, boolean othersMayAct) {
      epoch = begunEpoch;
      master = new Master(node, name, epoch, othersMayAct, () -> {});
    }

    @Override
    public void ended(String name) {}
  }

  private static void cloud(Http.Request request, Consumer<Http.Response> to) {
    boolean types = request.path().equals("/flavors");
    to.accept(
        types
            ? new Http.Response(200, MACHINE_TYPES.getBytes(StandardCharsets.UTF_8))
            : new Http.Response(503, Http.Response.EMPTY));
  }

  private Records.Job job() {
    JobSpec spec =
        new JobSpec(
            JOB,
            "batch",
            "open",
            JobSpec.Kind.ARRAY,
            Priority.NORMAL,
            TASKS,
            4,
            0,
            1,
            "image",
            1,
            List.of(),
            null,
            false,
            false,
            true,
            60,
            0,
            0,
            -1);
    return new Records.Job(
        spec,
        node.reactor().wall(),
        null,
        List.of(new Records.Part(LABEL, epoch, 0, TASKS, Map.of())));
  }

  /** Writes a key at the state service and lets it be followed. */
  void write(String key, JsonNode value) {
    network.writeState(key, value);
    network.runFor(STEP_MS);
  }

  CommandPolicy policy() {
    return master.policy();
  }

  OwnedRange range() {
    return master.ranges().ofJob(JOB).get(0);
  }

  /** As the answer to a transaction of this controller's own that cancels the job. */
  void commitCancellation() {
    Records.Range range = node.view().range(RANGE).record();
    node.view()
        .committed(
            List.of(
                new StateWire.Delete(Records.job(JOB)),
                new StateWire.Put(Records.range(RANGE), Records.write(range), 0)),
            LATER_REVISION);
  }

  /** As the answer to a transaction by which a later epoch of the master begins. */
  void commitLaterEpoch() {
    commit(Records.master(LABEL), Records.write(new Records.Master("trestle-1")));
  }

  void commit(String key, JsonNode value) {
    node.view().committed(List.of(new StateWire.Put(key, value, 0)), LATER_REVISION);
  }

  /**
   * The machine is known to the master and has shown its token, and nothing is placed on it yet.
   */
  void showToken() {
    report();
  }

  /** The worker reports without any task; returns the answer. */
  Http.Response report() {
    return report(List.of());
  }

  /** The worker reports everything that was placed on it as running; returns the answer. */
  Http.Response reportRunning() {
    return report(
        range().placed.values().stream()
            .map(
                task ->
                    new WorkerWire.ReportedTask(
                        task.task,
                        task.attempt,
                        WorkerWire.TaskState.RUNNING,
                        WorkerWire.Cause.NONE))
            .toList());
  }

  private Http.Response report(List<WorkerWire.ReportedTask> tasks) {
    List<Http.Response> answers = new ArrayList<>();
    WorkerWire.Report report =
        new WorkerWire.Report(
            MACHINE, WORKER_ADDRESS, "big", "a", true, 1, ++reports, shownToken, -1, tasks);
    master.tell(new Master.Reported(report, answers::add));
    network.runFor(STEP_MS);
    shownToken = master.firstToken();
    return answers.get(0);
  }

  /** How often an answer orders something of the job's tasks. */
  static int orders(Http.Response answer, String order) {
    String body = new String(answer.body(), StandardCharsets.UTF_8);
    int count = 0;
    for (int i = 0; i < TASKS; i++) {
      String ordered = "\"order\":\"" + order + "\"";
      String task = "\"board\":\"" + new TaskId(JOB, i) + "\"";
      for (String one : body.split("\\{")) {
        count += one.contains(ordered) && one.contains(task) ? 1 : 0;
      }
    }
    return count;
  }
}
