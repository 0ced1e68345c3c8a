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
import org.fieldtrestle.context.JobObjectives;
import org.fieldtrestle.leadership.CancellationNotices;
import org.fieldtrestle.leadership.Membership;
import org.fieldtrestle.metrics.ControllerMetrics;
import org.fieldtrestle.protocol.ExitCause;
import org.fieldtrestle.protocol.Heartbeat;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.protocol.Priority;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.protocol.TaskState;
import org.fieldtrestle.protocol.TaskStatus;
import org.fieldtrestle.routing.ShardLoads;
import org.fieldtrestle.simulation.SimulatedNetwork;
import org.fieldtrestle.state.InitialRange;
import org.fieldtrestle.state.JobRecord;
import org.fieldtrestle.state.KeyValueClient;
import org.fieldtrestle.state.MachineRecord;
import org.fieldtrestle.state.RangeRecord;
import org.fieldtrestle.state.RecordCodec;
import org.fieldtrestle.state.ShardRecord;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.state.StateChanges;
import org.fieldtrestle.state.StateKey;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.transport.EventLoopMeter;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.Reactor;
import org.fieldtrestle.worker.CommandPolicy;
import org.fieldtrestle.worker.TaskRange;

/**
 * A shard with one worker and one job, on simulated time.
 *
 * <p>The shard gets no messages about changes of the state: as in the moment between a change and
 * the message about it, it can only look at the state cache.
 */
public final class ShardLeaderFixture {
  /** The job, which has {@link #TASKS} tasks. */
  public static final String JOB = "job-000001";

  static final int TASKS = 2;

  /** The job's only range. */
  public static final StateKey.RangeKey RANGE = new StateKey.RangeKey(JOB, 0);

  private static final String LABEL = "trestle-0";
  private static final String MACHINE = "host-000001";
  private static final String WORKER_ADDRESS = "10.1.0.1:9000";
  private static final long STEP_MS = 500;

  /** Far above the revisions that the key-value store has counted up to here. */
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
  private long heartbeats;
  private long shownToken;

  /** The shard is led, knows its worker, and has placed nothing. */
  public ShardLeaderFixture() {
    network.serveState();
    network.serve(SimulatedNetwork.CLOUD_ADDRESS, ShardLeaderFixture::cloud);
    Settings settings = network.settings(LABEL);
    Reactor reactor = network.reactor();
    Http.Caller caller = network.caller();
    KeyValueClient store = new KeyValueClient(reactor, caller, settings);
    StateCache stateCache = new StateCache(reactor, store, settings);
    CloudClient cloud = new CloudClient(reactor, caller, settings);
    context =
        new ControllerContext(
            settings,
            OperatorSettings.DEFAULT,
            reactor,
            new SplittableRandom(1),
            caller,
            store,
            stateCache,
            cloud,
            new Membership(reactor, store, stateCache, settings, "boot"),
            new ShardLoads(reactor, LABEL, STEP_MS),
            new CancellationNotices(),
            new ControllerMetrics(new EventLoopMeter(reactor::nanoTime)),
            new JobObjectives(settings, OperatorSettings.DEFAULT, cloud));
    stateCache.start();
    context.cloud().start();
    network.runFor(STEP_MS);
    context.membership().start(new Begun());
    network.runFor(STEP_MS);
    write(StateKeys.job(JOB), RecordCodec.encode(job()));
    write(
        StateKeys.inventory(new StateKey.InventoryKey(LABEL, 0)),
        RecordCodec.encodeInventory(
            Map.of(MACHINE, new MachineRecord(LABEL, 0, "big", "a", true, 0, epoch))));
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

  private JobRecord job() {
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
    return new JobRecord(
        spec,
        context.reactor().wallClockMs(),
        null,
        List.of(new InitialRange(LABEL, epoch, 0, TASKS, Map.of())));
  }

  /** Writes a key in the key-value store and waits until the state cache has it. */
  void write(String key, JsonNode value) {
    network.writeState(key, value);
    network.runFor(STEP_MS);
  }

  /** Decides which commands the shard may give. */
  public CommandPolicy policy() {
    return shard.term().policy();
  }

  /** The job's only range. */
  public TaskRange range() {
    return shard.ranges().ofJob(JOB).get(0);
  }

  /** As the answer to a transaction of this controller's own that cancels the job. */
  public void commitCancellation() {
    RangeRecord range = context.stateCache().range(RANGE).record();
    context
        .stateCache()
        .applyCommit(
            List.of(
                new KeyValueProtocol.Delete(StateKeys.job(JOB)),
                StateChanges.put(StateKeys.range(RANGE), range)),
            LATER_REVISION);
  }

  /** As the answer to a transaction by which a later epoch of the shard begins. */
  public void commitLaterEpoch() {
    commit(StateKeys.shard(LABEL), RecordCodec.encode(new ShardRecord("trestle-1")));
  }

  /** As the answer to a transaction of this controller's own that writes the key. */
  public void commit(String key, JsonNode value) {
    context
        .stateCache()
        .applyCommit(List.of(new KeyValueProtocol.Put(key, value, 0)), LATER_REVISION);
  }

  /** The worker has shown the term's fencing token, and nothing is placed on it yet. */
  public void reconcile() {
    heartbeat();
  }

  /** The worker sends a heartbeat without any task; returns the answer. */
  public Http.Response heartbeat() {
    return heartbeat(List.of());
  }

  /** The worker reports all that was placed on it as running; returns the answer. */
  Http.Response heartbeatWithRunningTasks() {
    return heartbeat(
        range().placed().values().stream()
            .map(
                task ->
                    new TaskStatus(task.task(), task.attempt(), TaskState.RUNNING, ExitCause.NONE))
            .toList());
  }

  private Http.Response heartbeat(List<TaskStatus> tasks) {
    List<Http.Response> answers = new ArrayList<>();
    Heartbeat heartbeat =
        new Heartbeat(
            MACHINE, WORKER_ADDRESS, "big", "a", true, 1, ++heartbeats, shownToken, -1, tasks);
    shard.tell(new ShardLeader.HeartbeatReceived(heartbeat, answers::add));
    network.runFor(STEP_MS);
    shownToken = shard.term().firstToken();
    return answers.get(0);
  }

  /** How many commands of this kind an answer has for the job's tasks. */
  static int countCommands(Http.Response answer, String kind) {
    String body = new String(answer.body(), StandardCharsets.UTF_8);
    int count = 0;
    for (int i = 0; i < TASKS; i++) {
      String ofKind = "\"order\":\"" + kind + "\"";
      String task = "\"board\":\"" + new TaskId(JOB, i) + "\"";
      for (String one : body.split("\\{", -1)) {
        count += one.contains(ofKind) && one.contains(task) ? 1 : 0;
      }
    }
    return count;
  }
}
