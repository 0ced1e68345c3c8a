package org.fieldtrestle.shard;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.leadership.LeadershipFence;
import org.fieldtrestle.leadership.LeadershipTransfer;
import org.fieldtrestle.metrics.ControllerMetrics;
import org.fieldtrestle.protocol.CloudProtocol.MachineType;
import org.fieldtrestle.protocol.PeerProtocol;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.protocol.WorkerProtocol;
import org.fieldtrestle.scaling.Autoscaler;
import org.fieldtrestle.scaling.MachineInventory;
import org.fieldtrestle.scheduling.QuotaShares;
import org.fieldtrestle.scheduling.RangeReassignment;
import org.fieldtrestle.scheduling.SelectivePreemption;
import org.fieldtrestle.scheduling.TaskPlacer;
import org.fieldtrestle.state.Records;
import org.fieldtrestle.transport.Actor;
import org.fieldtrestle.transport.EventLoopMeter.Activity;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.worker.FailureTracker;
import org.fieldtrestle.worker.FreeResources;
import org.fieldtrestle.worker.LeadershipTerm;
import org.fieldtrestle.worker.ShardEvents;
import org.fieldtrestle.worker.TaskAttempt;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.TaskRanges;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One of Falcon's shards: places the tasks of its ranges on its workers. Where tasks are is known
 * from reports alone; whoever acts as this shard next learns it from them again.
 */
public final class ShardLeader extends Actor<ShardLeader.Message>
    implements TaskPlacer.Decisions, ShardEvents {
  private static final Logger LOG = LoggerFactory.getLogger(ShardLeader.class);

  /** How many times as long as the last placement pass took the next one waits. */
  private static final int PASS_REST = 8;

  /** What a shard is told. */
  public sealed interface Message {}

  /** A worker of its machines reports. */
  public record Reported(WorkerProtocol.Heartbeat report, Consumer<Http.Response> reply)
      implements Message {}

  /** A key that it may care for has changed. */
  public record Changed(Records.Key key) implements Message {}

  /** Another controller says that a job is cancelled. */
  public record Cancelled(String job) implements Message {}

  /** Time has passed. */
  public record Tick() implements Message {}

  /** The epoch is over. */
  public record Ended() implements Message {}

  /** A report whose answer waits for the pass that it has asked for. */
  private record Unanswered(Worker worker, Consumer<Http.Response> reply) {}

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskRanges ranges;
  private final TaskPlacer placement;
  private final MachineInventory inventory;
  private final Autoscaler autoscaler;
  private final QuotaShares shares;
  private final FailureTracker failures;
  private final RangeReassignment reassignment;
  private final Runnable activated;
  private final List<Unanswered> unanswered = new ArrayList<>();
  private boolean passDue;
  private long passNotBefore;
  private long reportedAt;
  private long tickedAt;
  private long loggedOpening;

  public ShardLeader(
      ControllerContext context,
      String name,
      long epoch,
      boolean formerLeaderMayAct,
      Runnable activated) {
    super(context.reactor());
    this.context = context;
    this.activated = activated;
    this.term = new LeadershipTerm(context, name, epoch, formerLeaderMayAct);
    this.failures = new FailureTracker(context, this::workers);
    this.ranges = new TaskRanges(context, term, failures, this);
    this.workers = new WorkerRegistry(context, term, ranges, this);
    this.inventory = new MachineInventory(context, term);
    this.shares = new QuotaShares(context, term, workers, ranges);
    this.reassignment = new RangeReassignment(context, term, workers, ranges);
    this.placement =
        new TaskPlacer(
            context,
            name,
            term.policy(),
            new SelectivePreemption(context.operatorSettings(), context.random()),
            workers,
            ranges,
            shares,
            failures,
            workers.downloads(),
            this);
    this.autoscaler =
        new Autoscaler(context, term, workers, ranges, failures, inventory, placement::reserve);
  }

  @Override
  protected void receive(Message message) {
    if (term.isOver()) {
      if (message instanceof Reported reported) {
        refuse(reported.reply());
      }
      return;
    }
    if (!term.isActive() && context.stateCache().appliedRevision() >= term.epoch()) {
      activate();
    }
    if (message instanceof Reported reported) {
      context
          .metrics()
          .work
          .run(Activity.WORKER_REPORT, () -> reported(reported.report(), reported.reply()));
    } else if (message instanceof Changed changed) {
      changed(changed.key());
    } else if (message instanceof Cancelled cancelled) {
      ranges.cancelled(cancelled.job());
    } else if (message instanceof Tick) {
      context.metrics().work.run(Activity.PERIODIC_CHECKS, this::tick);
    } else if (message instanceof Ended) {
      term.end();
      logLeadership("leadership ends");
      answerAll();
    }
  }

  // ---- what its parts ask of it

  /** The shard's name. */
  public String name() {
    return term.shard();
  }

  /** The epoch of this term. */
  public long epoch() {
    return term.epoch();
  }

  /** The term in which this controller leads the shard. */
  public LeadershipTerm term() {
    return term;
  }

  /** The shard's workers. */
  public WorkerRegistry workers() {
    return workers;
  }

  /** The shard's ranges of tasks. */
  public TaskRanges ranges() {
    return ranges;
  }

  /** The shard's durable list of workers. */
  public MachineInventory inventory() {
    return inventory;
  }

  /** Whether this controller may lead the shard now. */
  public boolean isLeading() {
    return term.isLeading();
  }

  /** Whether the shard's state is known, so that it is led. */
  public boolean isActive() {
    return term.isActive();
  }

  @Override
  public void rangeAdded(TaskRange range) {
    placement.arrived(range);
    autoscaler.arrived(range);
  }

  @Override
  public void machineUp(String machine) {
    inventory.up(machine);
  }

  @Override
  public void sendCommands() {
    workers.commands().sendDirect();
  }

  @Override
  public String stopPendingReason(TaskAttempt task) {
    return workers.commands().stopPendingReason(task);
  }

  @Override
  public boolean hasUnreconciledWorkers() {
    return workers.anyUnresolved();
  }

  /** How many of the shard's workers are in use, and how many were silent for longer than so. */
  public LeadershipTransfer.WorkerReachability reachability(long silentAfterMs) {
    int up = 0;
    int silent = 0;
    for (Worker worker : workers.all()) {
      if (worker.isUp() && !worker.isDraining()) {
        up++;
        silent += workers.silentFor(worker, context.now()) > silentAfterMs ? 1 : 0;
      }
    }
    return new LeadershipTransfer.WorkerReachability(up, silent);
  }

  @Override
  public void stop(TaskAttempt task, double graceS) {
    workers.commands().stop(task, graceS);
  }

  @Override
  public long nextAttempt() {
    return term.nextAttempt();
  }

  @Override
  public void place(TaskRange range, int offset, Worker worker, long attempt) {
    long now = context.now();
    TaskRange.Retry retry = range.retries().get(offset);
    long since = retry == null ? range.waitingSince() : retry.waitingSince;
    TaskId id = new TaskId(range.key().job(), range.record().from() + offset);
    TaskAttempt task = new TaskAttempt(id, attempt, worker, range, now, (now - since) / 1000.0);
    MachineType type = context.type(worker.machineType());
    if (worker.fetching() && !worker.hasImage(range.spec().image())) {
      task.expectConcurrentFetch(type.imageFetchS(range.spec()));
    }
    worker.put(task);
    range.place(offset, task);
    worker.markBusy(now);
    workers.commands().newsFor(worker);
    boolean fetches = !worker.hasImage(range.spec().image());
    if (fetches) {
      context.metrics().countImageFetch();
    }
    worker.usesImage(range.spec().image(), range.spec().imageGb(), type.cacheGb());
    context.metrics().countPlaced();
    logFirstStart(task);
    ControllerMetrics.record(context.metrics().startWaitMs, now - since);
    LOG.debug(
        "task {} placed after {} ms{}", task, now - since, fetches ? ", fetching its image" : "");
  }

  /** One line for the first start after each time that the fence was closed: what allowed it. */
  private void logFirstStart(TaskAttempt task) {
    LeadershipFence fence = context.membership().fence();
    if (loggedOpening == fence.openings()) {
      return;
    }
    loggedOpening = fence.openings();
    LOG.atInfo()
        .addKeyValue("shard", name())
        .addKeyValue("epoch", term.epoch())
        .addKeyValue("revision", context.stateCache().appliedRevision())
        .addKeyValue("leaseAgeMs", fence.leaseAgeMs())
        .addKeyValue("stateAgeMs", fence.stateAgeMs())
        .addKeyValue("task", task)
        .log("first start since the fence opened");
  }

  // ---- messages

  /** Everything written before this epoch began is known now. */
  private void activate() {
    term.activate();
    workers.inherit();
    for (var job : List.copyOf(context.stateCache().all().entrySet())) {
      for (int index : List.copyOf(job.getValue().ranges().keySet())) {
        ranges.sync(new Records.RangeKey(job.getKey(), index));
      }
    }
    logLeadership("leadership begins");
    autoscaler.activated();
    requestPlacementPass();
    activated.run();
  }

  private void logLeadership(String what) {
    LOG.atInfo()
        .addKeyValue("shard", name())
        .addKeyValue("epoch", term.epoch())
        .addKeyValue("firstToken", term.firstToken())
        .addKeyValue("revision", context.stateCache().appliedRevision())
        .addKeyValue("machines", workers.count())
        .addKeyValue("ranges", ranges.count())
        .log(what);
  }

  private void changed(Records.Key key) {
    if (!term.isActive()) {
      return;
    }
    if (key instanceof Records.RangeKey k) {
      if (ranges.sync(k)) {
        requestPlacementPass();
      }
    } else if (key instanceof Records.MachineKey k) {
      workers.sync(k.machine(), false);
    } else if (key instanceof Records.JobKey k) {
      if (ranges.syncJob(k.job())) {
        requestPlacementPass();
      }
    }
  }

  private static void refuse(Consumer<Http.Response> reply) {
    reply.accept(new Http.Response(503, Http.Response.EMPTY));
  }

  private void reported(WorkerProtocol.Heartbeat report, Consumer<Http.Response> reply) {
    Worker worker = workers.get(report.machine());
    if (worker == null || worker.isTerminating() || !term.isLeading()) {
      refuse(reply);
      return;
    }
    switch (workers.reported(worker, report)) {
      case REFUSED -> refuse(reply);
      case CHANGED -> {
        if (passDue) {
          // Its room may be taken by the pass that is due, and the starts then go with the answer.
          unanswered.add(new Unanswered(worker, reply));
        } else {
          answer(worker, reply);
        }
      }
      default -> answer(worker, reply);
    }
  }

  private void answer(Worker worker, Consumer<Http.Response> reply) {
    if (!term.isLeading() || worker.isTerminating() || workers.get(worker.id()) != worker) {
      refuse(reply);
      return;
    }
    List<WorkerProtocol.Command> orders = workers.answer(worker);
    reply.accept(new Http.Response(200, WorkerProtocol.answer(worker.fencingToken(), orders)));
  }

  private void answerAll() {
    List<Unanswered> waiting = List.copyOf(unanswered);
    unanswered.clear();
    waiting.forEach(one -> answer(one.worker(), one.reply()));
  }

  private void tick() {
    if (!term.isActive()) {
      return;
    }
    long now = context.now();
    if (!term.isLeading() || now - tickedAt > context.heartbeatIntervalsMs(1)) {
      workers.heardNobody(now);
    }
    tickedAt = now;
    workers.expire();
    ranges.refreshAll();
    ranges.logUnstopped(now);
    if (term.isLeading()) {
      shares.tick();
      context.metrics().work.run(Activity.FLEET_SIZING, () -> autoscaler.tick(now));
      ranges.writePartial(now);
      reassignment.tick(now);
      report(now);
      requestPlacementPass();
    }
  }

  /**
   * A pass soon: all that changes until then shares it. The longer passes take, the further apart
   * they are, so that they never use up the processor.
   */
  @Override
  public void requestPlacementPass() {
    if (passDue) {
      return;
    }
    passDue = true;
    long soon = context.stateCache().watchIntervalMs() / 5;
    reactor.schedule(
        Math.max(soon, passNotBefore - context.now()),
        () -> context.metrics().work.run(Activity.PLACEMENT, this::pass));
  }

  private void pass() {
    passDue = false;
    if (term.isLeading() && !context.types().isEmpty()) {
      long began = context.now();
      placement.pass(began);
      long took = context.now() - began;
      passNotBefore = context.now() + took * PASS_REST;
      ControllerMetrics.record(context.metrics().passMs, took);
    }
    answerAll();
    sendCommands();
  }

  /** One line on where the shard stands, for whoever reads the log later. */
  private void report(long now) {
    if (now - reportedAt < context.heartbeatIntervalsMs(10)) {
      return;
    }
    reportedAt = now;
    double capacity = 0;
    double used = 0;
    double fetching = 0;
    int ordinary = 0;
    int booting = 0;
    for (Worker worker : workers.all()) {
      MachineType type = context.type(worker.machineType());
      if (type == null) {
        continue;
      }
      ordinary += worker.isSpot() ? 0 : 1;
      if (!worker.isUp()) {
        booting++;
        continue;
      }
      capacity += type.cpus();
      used += worker.usedCpus();
      for (TaskAttempt task : worker.attempts()) {
        if (task.live() && task.runningSince() < 0) {
          fetching += task.cpus();
        }
      }
    }
    int waiting = 0;
    for (TaskRange range : ranges.all()) {
      waiting += range.waiting();
    }
    LOG.info(
        "master {}: {} machines ({} ordinary, {} booting), {} of {} CPUs taken, {} of them not"
            + " running yet, {} tasks waiting, {} ranges; {} of {} tasks placed began a fetch;"
            + " passes take {} ms at p95",
        name(),
        workers.count(),
        ordinary,
        booting,
        used,
        capacity,
        fetching,
        waiting,
        ranges.count(),
        context.metrics().imageFetches(),
        context.metrics().placed(),
        context.metrics().passMs.getValueAtPercentile(95));
    LOG.info("work so far: {}", context.metrics().work.summary());
  }

  // ---- what others ask

  /** Free room by zone and CPUs that wait, for whoever splits jobs. */
  public PeerProtocol.ShardLoad load() {
    Map<String, double[]> rooms = new TreeMap<>();
    for (FreeResources free : workers.rooms(context.now())) {
      double[] room = rooms.computeIfAbsent(free.worker().zone(), z -> new double[3]);
      room[0] += free.cpus();
      room[1] += free.gpus();
      room[2] += free.memoryGb();
    }
    List<PeerProtocol.FreeCapacity> all = new ArrayList<>();
    rooms.forEach((zone, r) -> all.add(new PeerProtocol.FreeCapacity(zone, r[0], r[1], r[2])));
    return new PeerProtocol.ShardLoad(
        context.membership().self(),
        name(),
        epoch(),
        ranges.waitingCpus(),
        workers.capacity(),
        all);
  }

  /** Tasks of a job that run on our workers. */
  public int runningOf(String job) {
    int count = 0;
    for (TaskRange range : ranges.ofJob(job)) {
      for (TaskAttempt task : range.placed().values()) {
        if (task.state() == TaskAttempt.State.RUNNING || task.state() == TaskAttempt.State.SAVING) {
          count++;
        }
      }
    }
    return count;
  }
}
