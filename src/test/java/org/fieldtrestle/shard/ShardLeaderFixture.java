package org.fieldtrestle.shard;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.fieldtrestle.cloud.CloudClient;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.leadership.CancellationNotices;
import org.fieldtrestle.leadership.Membership;
import org.fieldtrestle.metrics.ControllerMetrics;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.protocol.Priority;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.protocol.WorkerProtocol;
import org.fieldtrestle.routing.ShardLoads;
import org.fieldtrestle.simulation.SimulatedNetwork;
import org.fieldtrestle.state.KeyValueClient;
import org.fieldtrestle.state.Records;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.transport.EventLoopMeter;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.Reactor;
import org.fieldtrestle.worker.CommandPolicy;
import org.fieldtrestle.worker.TaskRange;

/**
 * A shard with one machine and one job, on simulated time.
 *
 * <p>The shard gets no messages about changes of the state: as in the moment between a change and
 * the message about it, it only has what it can ask.
 */
public final class ShardLeaderFixture {
  public static final String JOB = "job-000001";
  static final int TASKS = 2;
  public static final Records.RangeKey RANGE = new Records.RangeKey(JOB, 0);
  private static final String LABEL = "trestle-0";
  private static final String MACHINE = "host-000001";
  private static final String WORKER_ADDRESS = "10.1.0.1:9000";
  private static final long STEP_MS = 500;

  /** Far above what the state service has counted up to here. */
  public static final long LATER_REVISION = 1000;

  private static final String MACHINE_TYPES =
      """
      {"rigs":[{"name":"big","cpus":16,"gpus":0,"memoryGb":64,"cacheGb":20,"pullGbPerS":1.0,
        "hourly":1.0,"lowPrice":0.3,"readyS":10,"yards":["a"]}]}
      """;

  public final SimulatedNetwork network = new SimulatedNetwork();
  public final ControllerContext context;
  public ShardLeader shard;
  private long epoch;
  private long reports;
  private long shownToken;

  public ShardLeaderFixture() {
    network.serveState();
    network.serve(SimulatedNetwork.CLOUD_ADDRESS, ShardLeaderFixture::cloud);
    Settings settings = network.settings(LABEL);
    Reactor reactor = network.reactor();
    Http.Caller caller = network.caller();
    KeyValueClient store = new KeyValueClient(reactor, caller, settings);
    StateCache stateCache = new StateCache(reactor, store, settings);
    context =
        new ControllerContext(
            settings,
            OperatorSettings.DEFAULT,
            reactor,
            new SplittableRandom(1),
            caller,
            store,
            stateCache,
            new CloudClient(reactor, caller, settings),
            new Membership(reactor, store, stateCache, settings, "boot"),
            new ShardLoads(reactor, LABEL, STEP_MS),
            new CancellationNotices(),
            new ControllerMetrics(new EventLoopMeter(reactor::nanoTime)));
    stateCache.start();
    context.cloud().start();
    network.runFor(STEP_MS);
    context.membership().start(new Begun());
    network.runFor(STEP_MS);
    write(Records.job(JOB), Records.write(job()));
    write(
        Records.inventory(new Records.InventoryKey(LABEL, 0)),
        Records.writeInventory(
            Map.of(MACHINE, new Records.Machine(LABEL, 0, "big", "a", true, 0, epoch))));
    shard.tell(new ShardLeader.Tick());
    network.runFor(STEP_MS);
  }

  private final class Begun implements Membership.Listener {
    @Override
    public void began(String name, long begunEpoch, boolean formerLeaderMayAct) {
      epoch = begunEpoch;
      shard = new ShardLeader(context, name, epoch, formerLeaderMayAct, () -> {});
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
        context.reactor().wall(),
        null,
        List.of(new Records.Part(LABEL, epoch, 0, TASKS, Map.of())));
  }

  /** Writes a key at the state service and lets it be followed. */
  void write(String key, JsonNode value) {
    network.writeState(key, value);
    network.runFor(STEP_MS);
  }

  public CommandPolicy policy() {
    return shard.term().policy();
  }

  public TaskRange range() {
    return shard.ranges().ofJob(JOB).get(0);
  }

  /** As the answer to a transaction of this controller's own that cancels the job. */
  public void commitCancellation() {
    Records.Range range = context.stateCache().range(RANGE).record();
    context
        .stateCache()
        .committed(
            List.of(
                new KeyValueProtocol.Delete(Records.job(JOB)),
                new KeyValueProtocol.Put(Records.range(RANGE), Records.write(range), 0)),
            LATER_REVISION);
  }

  /** As the answer to a transaction by which a later epoch of the shard begins. */
  public void commitLaterEpoch() {
    commit(Records.shard(LABEL), Records.write(new Records.Shard("trestle-1")));
  }

  public void commit(String key, JsonNode value) {
    context
        .stateCache()
        .committed(List.of(new KeyValueProtocol.Put(key, value, 0)), LATER_REVISION);
  }

  /** The machine is known to the shard and has shown its token, and nothing is placed on it yet. */
  public void showToken() {
    report();
  }

  /** The worker reports without any task; returns the answer. */
  public Http.Response report() {
    return report(List.of());
  }

  /** The worker reports everything that was placed on it as running; returns the answer. */
  Http.Response reportRunning() {
    return report(
        range().placed().values().stream()
            .map(
                task ->
                    new WorkerProtocol.ReportedTask(
                        task.task(),
                        task.attempt(),
                        WorkerProtocol.TaskState.RUNNING,
                        WorkerProtocol.Cause.NONE))
            .toList());
  }

  private Http.Response report(List<WorkerProtocol.ReportedTask> tasks) {
    List<Http.Response> answers = new ArrayList<>();
    WorkerProtocol.Heartbeat report =
        new WorkerProtocol.Heartbeat(
            MACHINE, WORKER_ADDRESS, "big", "a", true, 1, ++reports, shownToken, -1, tasks);
    shard.tell(new ShardLeader.HeartbeatReceived(report, answers::add));
    network.runFor(STEP_MS);
    shownToken = shard.term().firstToken();
    return answers.get(0);
  }

  /** How often an answer orders something of the job's tasks. */
  static int orders(Http.Response answer, String order) {
    String body = new String(answer.body(), StandardCharsets.UTF_8);
    int count = 0;
    for (int i = 0; i < TASKS; i++) {
      String ordered = "\"order\":\"" + order + "\"";
      String task = "\"board\":\"" + new TaskId(JOB, i) + "\"";
      for (String one : body.split("\\{", -1)) {
        count += one.contains(ordered) && one.contains(task) ? 1 : 0;
      }
    }
    return count;
  }
}
