package org.fieldtrestle.shard;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.leadership.LeadershipTransfer;
import org.fieldtrestle.protocol.FreeCapacity;
import org.fieldtrestle.protocol.Heartbeat;
import org.fieldtrestle.protocol.PeerMessage;
import org.fieldtrestle.scaling.MachineInventory;
import org.fieldtrestle.state.StateKey;
import org.fieldtrestle.transport.Actor;
import org.fieldtrestle.transport.EventLoopMeter.Activity;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.worker.FreeResources;
import org.fieldtrestle.worker.LeadershipTerm;
import org.fieldtrestle.worker.ShardEvents;
import org.fieldtrestle.worker.TaskAttempt;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.TaskRanges;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerCommands;
import org.fieldtrestle.worker.WorkerRegistry;

/**
 * The actor that leads a shard for one leadership term. It places the tasks of the shard's task
 * ranges on the shard's workers. The placement of tasks is not stored; the leader of each term
 * learns it from the workers' heartbeats.
 */
public final class ShardLeader extends Actor<ShardLeader.Message> {
  /** A message to a shard leader. */
  public sealed interface Message {}

  /** A worker of the shard has sent a heartbeat; {@code reply} sends the answer. */
  public record HeartbeatReceived(Heartbeat heartbeat, Consumer<Http.Response> reply)
      implements Message {}

  /** A key in the state cache has changed; it may belong to another shard. */
  public record KeyChanged(StateKey key) implements Message {}

  /** Another controller has reported that a job is cancelled. */
  public record JobCancelled(String job) implements Message {}

  /** Periodic checks are due. */
  public record Tick() implements Message {}

  /** The leadership term has ended: another controller leads the shard, or none does. */
  public record TermEnded() implements Message {}

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final ShardComponents components;
  private final PlacementScheduler placementScheduler;
  private final HeartbeatReplies heartbeatReplies;
  private final ShardLog shardLog;
  private final Runnable onActivated;
  private long lastTickAtMs;

  /**
   * Creates the leader of a shard. It becomes active once the state cache contains everything that
   * was written before the epoch began.
   *
   * @param formerLeaderMayAct whether the former leader may still act, because it may not know yet
   *     that its term has ended
   * @param onActivated runs once, when this leader becomes active
   */
  public ShardLeader(
      ControllerContext context,
      String name,
      long epoch,
      boolean formerLeaderMayAct,
      Runnable onActivated) {
    super(context.reactor());
    this.context = context;
    this.onActivated = onActivated;
    this.term = new LeadershipTerm(context, name, epoch, formerLeaderMayAct);
    this.components = new ShardComponents(context, term, new ComponentEvents());
    this.heartbeatReplies =
        new HeartbeatReplies(term, components.workers, components.heartbeatProcessor);
    this.placementScheduler =
        new PlacementScheduler(context, term, components.placer, this::onPassFinished);
    this.shardLog = new ShardLog(context, term, components.workers, components.ranges);
  }

  /** Carries out the requests of the shard's components. */
  private final class ComponentEvents implements ShardEvents {
    @Override
    public void requestPlacementPass() {
      placementScheduler.request();
    }

    @Override
    public void rangeAdded(TaskRange range) {
      components.placer.rangeAdded(range);
      components.autoscaler.rangeAdded(range);
    }

    @Override
    public void workerUp(String worker) {
      components.inventory.markUp(worker);
    }

    @Override
    public void sendCommands() {
      components.directCommands.sendPending();
    }
  }

  // ---- messages

  @Override
  protected void receive(Message message) {
    if (term.isOver()) {
      if (message instanceof HeartbeatReceived received) {
        HeartbeatReplies.refuse(received.reply());
      }
      return;
    }
    if (!term.isActive() && context.stateCache().appliedRevision() >= term.epoch()) {
      activate();
    }
    if (message instanceof HeartbeatReceived received) {
      context.metrics().eventLoopMeter.run(Activity.WORKER_REPORT, () -> onHeartbeat(received));
    } else if (message instanceof KeyChanged changed) {
      onKeyChanged(changed.key());
    } else if (message instanceof JobCancelled cancelled) {
      components.ranges.jobCancelled(cancelled.job());
    } else if (message instanceof Tick) {
      context.metrics().eventLoopMeter.run(Activity.PERIODIC_CHECKS, this::tick);
    } else if (message instanceof TermEnded) {
      term.end();
      shardLog.logLeadership("leadership ends");
      heartbeatReplies.answerDelayed();
    }
  }

  /** Called once the state cache contains everything that was written before this epoch began. */
  private void activate() {
    term.activate();
    components.inventoryFollower.inherit();
    components.ranges.inherit();
    shardLog.logLeadership("leadership begins");
    components.autoscaler.leadershipBegan();
    placementScheduler.request();
    onActivated.run();
  }

  private void onHeartbeat(HeartbeatReceived received) {
    Worker worker = components.workers.get(received.heartbeat().machine());
    if (worker == null || worker.isTerminating() || !term.isLeading()) {
      HeartbeatReplies.refuse(received.reply());
      return;
    }
    switch (components.heartbeatProcessor.process(worker, received.heartbeat())) {
      case REFUSED -> HeartbeatReplies.refuse(received.reply());
      case UNCHANGED -> heartbeatReplies.answer(worker, received.reply());
      case CHANGED -> {
        if (placementScheduler.isPending()) {
          // The pending pass may place tasks on this worker; the answer then carries their start
          // commands.
          heartbeatReplies.delay(worker, received.reply());
        } else {
          heartbeatReplies.answer(worker, received.reply());
        }
      }
    }
  }

  private void onKeyChanged(StateKey key) {
    if (!term.isActive()) {
      return;
    }
    boolean mayLetTasksStart = false;
    if (key instanceof StateKey.RangeKey rangeKey) {
      mayLetTasksStart = components.ranges.sync(rangeKey);
    } else if (key instanceof StateKey.MachineKey machineKey) {
      components.inventoryFollower.sync(machineKey.machine());
    } else if (key instanceof StateKey.JobKey jobKey) {
      mayLetTasksStart = components.ranges.syncJob(jobKey.job());
    }
    if (mayLetTasksStart) {
      placementScheduler.request();
    }
  }

  private void tick() {
    if (!term.isActive()) {
      return;
    }
    long nowMs = context.nowMs();
    if (!term.isLeading() || nowMs - lastTickAtMs > context.heartbeatIntervalsMs(1)) {
      components.workers.restartListening(nowMs);
    }
    lastTickAtMs = nowMs;
    components.leaseMonitor.expireLeases();
    components.ranges.refreshAll();
    components.ranges.logPendingStops(nowMs);
    if (term.isLeading()) {
      components.quotaShares.tick();
      context
          .metrics()
          .eventLoopMeter
          .run(Activity.FLEET_SIZING, () -> components.autoscaler.tick(nowMs));
      components.ranges.progressWriter().writeDue(components.ranges.all(), nowMs);
      components.rangeReassignment.tick(nowMs);
      shardLog.logSummary(nowMs);
      placementScheduler.request();
    }
  }

  private void onPassFinished() {
    heartbeatReplies.answerDelayed();
    components.directCommands.sendPending();
  }

  // ---- queries, to be called on the reactor's thread

  /** Returns the shard's name. */
  public String name() {
    return term.shard();
  }

  /** Returns the epoch of this leadership term. */
  public long epoch() {
    return term.epoch();
  }

  /** Returns the leadership term of this leader. */
  public LeadershipTerm term() {
    return term;
  }

  /** Returns the shard's workers. */
  public WorkerRegistry workers() {
    return components.workers;
  }

  /** Returns the shard's task ranges. */
  public TaskRanges ranges() {
    return components.ranges;
  }

  /** Returns the shard's machine inventory, which is stored in the key-value store. */
  public MachineInventory inventory() {
    return components.inventory;
  }

  WorkerCommands commands() {
    return components.commands;
  }

  /** Whether this controller may answer the shard's workers and give them commands now. */
  public boolean isLeading() {
    return term.isLeading();
  }

  /** Whether this leader is active: it knows everything that was written before its epoch began. */
  public boolean isActive() {
    return term.isActive();
  }

  /**
   * Returns how many of the shard's workers are up and not draining, and how many of these have
   * been silent for longer than the threshold.
   */
  public LeadershipTransfer.WorkerReachability reachability(long silenceThresholdMs) {
    int up = 0;
    int silent = 0;
    for (Worker worker : components.workers.all()) {
      if (worker.isUp() && !worker.isDraining()) {
        up++;
        silent +=
            components.workers.silentForMs(worker, context.nowMs()) > silenceThresholdMs ? 1 : 0;
      }
    }
    return new LeadershipTransfer.WorkerReachability(up, silent);
  }

  /**
   * Returns the shard's free capacity by zone and the CPUs that its waiting tasks need. Controllers
   * use this load to split jobs over the shards.
   */
  public PeerMessage.ShardLoad currentLoad() {
    Map<String, double[]> freeByZone = new TreeMap<>();
    for (FreeResources free : components.workers.freeResources(context.nowMs())) {
      double[] freeSums = freeByZone.computeIfAbsent(free.worker().zone(), z -> new double[3]);
      freeSums[0] += free.cpus();
      freeSums[1] += free.gpus();
      freeSums[2] += free.memoryGb();
    }
    List<FreeCapacity> freeCapacity = new ArrayList<>();
    freeByZone.forEach(
        (zone, freeSums) ->
            freeCapacity.add(new FreeCapacity(zone, freeSums[0], freeSums[1], freeSums[2])));
    return new PeerMessage.ShardLoad(
        context.membership().ownLabel(),
        name(),
        epoch(),
        components.ranges.waitingCpus(),
        components.workers.capacityCpus(),
        freeCapacity);
  }

  /** Returns how many tasks of a job are running on this shard's workers. */
  public int runningTaskCount(String job) {
    int count = 0;
    for (TaskRange range : components.ranges.ofJob(job)) {
      for (TaskAttempt attempt : range.placed().values()) {
        if (attempt.state() == TaskAttempt.State.RUNNING
            || attempt.state() == TaskAttempt.State.SAVING) {
          count++;
        }
      }
    }
    return count;
  }
}
