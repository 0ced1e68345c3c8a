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
 * The actor that leads a shard for one term: places the tasks of its ranges on its workers. Where
 * tasks are is known from heartbeats alone; the leader of the next term learns it from them again.
 */
public final class ShardLeader extends Actor<ShardLeader.Message> {
  /** What a shard's leader is told. */
  public sealed interface Message {}

  /** A worker of the shard has sent a heartbeat, which {@code reply} answers. */
  public record HeartbeatReceived(Heartbeat heartbeat, Consumer<Http.Response> reply)
      implements Message {}

  /** A key in the state cache has changed, which may concern the shard. */
  public record KeyChanged(StateKey key) implements Message {}

  /** Another controller says that a job is cancelled. */
  public record JobCancelled(String job) implements Message {}

  /** Periodic checks are due. */
  public record Tick() implements Message {}

  /** The term is over: another controller leads the shard, or none does. */
  public record TermEnded() implements Message {}

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final ShardComponents parts;
  private final PlacementScheduler placement;
  private final HeartbeatReplies replies;
  private final ShardLog log;
  private final Runnable activated;
  private long tickedAtMs;

  /**
   * The leader of a shard, which acts once everything written before the epoch began is known.
   *
   * @param formerLeaderMayAct whether the leader before may not know yet that its term has ended
   * @param activated runs once the shard is led
   */
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
    this.parts = new ShardComponents(context, term, new Events());
    this.replies = new HeartbeatReplies(term, parts.workers, parts.heartbeats);
    this.placement = new PlacementScheduler(context, term, parts.placer, this::afterPass);
    this.log = new ShardLog(context, term, parts.workers, parts.ranges);
  }

  /** What the parts of the shard ask for. */
  private final class Events implements ShardEvents {
    @Override
    public void requestPlacementPass() {
      placement.request();
    }

    @Override
    public void rangeAdded(TaskRange range) {
      parts.placer.arrived(range);
      parts.autoscaler.arrived(range);
    }

    @Override
    public void workerUp(String worker) {
      parts.inventory.up(worker);
    }

    @Override
    public void sendCommands() {
      parts.directCommands.sendPending();
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
      context.metrics().work.run(Activity.WORKER_REPORT, () -> heartbeatReceived(received));
    } else if (message instanceof KeyChanged changed) {
      keyChanged(changed.key());
    } else if (message instanceof JobCancelled cancelled) {
      parts.ranges.jobCancelled(cancelled.job());
    } else if (message instanceof Tick) {
      context.metrics().work.run(Activity.PERIODIC_CHECKS, this::tick);
    } else if (message instanceof TermEnded) {
      term.end();
      log.logLeadership("leadership ends");
      replies.answerDelayed();
    }
  }

  /** Everything written before this epoch began is known now. */
  private void activate() {
    term.activate();
    parts.inventoryFollower.inherit();
    parts.ranges.inherit();
    log.logLeadership("leadership begins");
    parts.autoscaler.activated();
    placement.request();
    activated.run();
  }

  private void heartbeatReceived(HeartbeatReceived received) {
    Worker worker = parts.workers.get(received.heartbeat().machine());
    if (worker == null || worker.isTerminating() || !term.isLeading()) {
      HeartbeatReplies.refuse(received.reply());
      return;
    }
    switch (parts.heartbeats.process(worker, received.heartbeat())) {
      case REFUSED -> HeartbeatReplies.refuse(received.reply());
      case UNCHANGED -> replies.answer(worker, received.reply());
      case CHANGED -> {
        if (placement.isDue()) {
          // Its room may be taken by the pass that is due, and the starts then go with the answer.
          replies.delay(worker, received.reply());
        } else {
          replies.answer(worker, received.reply());
        }
      }
    }
  }

  private void keyChanged(StateKey key) {
    if (!term.isActive()) {
      return;
    }
    boolean mayLetTasksStart = false;
    if (key instanceof StateKey.RangeKey rangeKey) {
      mayLetTasksStart = parts.ranges.sync(rangeKey);
    } else if (key instanceof StateKey.MachineKey machineKey) {
      parts.inventoryFollower.sync(machineKey.machine());
    } else if (key instanceof StateKey.JobKey jobKey) {
      mayLetTasksStart = parts.ranges.syncJob(jobKey.job());
    }
    if (mayLetTasksStart) {
      placement.request();
    }
  }

  private void tick() {
    if (!term.isActive()) {
      return;
    }
    long now = context.now();
    if (!term.isLeading() || now - tickedAtMs > context.heartbeatIntervalsMs(1)) {
      parts.workers.restartListening(now);
    }
    tickedAtMs = now;
    parts.leases.expireLeases();
    parts.ranges.refreshAll();
    parts.ranges.logPendingStops(now);
    if (term.isLeading()) {
      parts.quotaShares.tick();
      context.metrics().work.run(Activity.FLEET_SIZING, () -> parts.autoscaler.tick(now));
      parts.ranges.progressWriter().writeDue(parts.ranges.all(), now);
      parts.reassignment.tick(now);
      log.logSummary(now);
      placement.request();
    }
  }

  private void afterPass() {
    replies.answerDelayed();
    parts.directCommands.sendPending();
  }

  // ---- queries, on the reactor's thread

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
    return parts.workers;
  }

  /** The shard's ranges of tasks. */
  public TaskRanges ranges() {
    return parts.ranges;
  }

  /** The shard's durable list of workers. */
  public MachineInventory inventory() {
    return parts.inventory;
  }

  WorkerCommands commands() {
    return parts.commands;
  }

  /** Whether this controller may lead the shard now. */
  public boolean isLeading() {
    return term.isLeading();
  }

  /** Whether the shard's state is known, so that it is led. */
  public boolean isActive() {
    return term.isActive();
  }

  /** How many of the shard's workers are in use, and how many were silent for longer than so. */
  public LeadershipTransfer.WorkerReachability reachability(long silentAfterMs) {
    int up = 0;
    int silent = 0;
    for (Worker worker : parts.workers.all()) {
      if (worker.isUp() && !worker.isDraining()) {
        up++;
        silent += parts.workers.silentForMs(worker, context.now()) > silentAfterMs ? 1 : 0;
      }
    }
    return new LeadershipTransfer.WorkerReachability(up, silent);
  }

  /** Free room by zone and the CPUs that wait, by which controllers split jobs over the shards. */
  public PeerMessage.ShardLoad load() {
    Map<String, double[]> freeByZone = new TreeMap<>();
    for (FreeResources free : parts.workers.freeResources(context.now())) {
      double[] sums = freeByZone.computeIfAbsent(free.worker().zone(), z -> new double[3]);
      sums[0] += free.cpus();
      sums[1] += free.gpus();
      sums[2] += free.memoryGb();
    }
    List<FreeCapacity> all = new ArrayList<>();
    freeByZone.forEach((zone, sums) -> all.add(new FreeCapacity(zone, sums[0], sums[1], sums[2])));
    return new PeerMessage.ShardLoad(
        context.membership().self(),
        name(),
        epoch(),
        parts.ranges.waitingCpus(),
        parts.workers.capacityCpus(),
        all);
  }

  /** How many tasks of a job run on this shard's workers. */
  public int runningOf(String job) {
    int count = 0;
    for (TaskRange range : parts.ranges.ofJob(job)) {
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
