package org.fieldtrestle.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.fieldtrestle.bookkeeping.Records;
import org.fieldtrestle.bookkeeping.Store;
import org.fieldtrestle.protocol.CloudWire.MachineType;
import org.fieldtrestle.protocol.PeerWire;
import org.fieldtrestle.protocol.StateWire;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.protocol.WorkerWire;
import org.fieldtrestle.transport.Actor;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.WorkMeter.Work;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One of Falcon's masters: places the tasks of its ranges on its machines. Where tasks are is known
 * from reports alone; whoever acts as this master next learns it from them again.
 */
public final class Master extends Actor<Master.Message> implements Placement.Decisions {
  private static final Logger LOG = LoggerFactory.getLogger(Master.class);

  /**
   * Tokens and attempts are the epoch and a count within it: a later epoch's are higher than all of
   * an earlier one's, without any write.
   */
  private static final int EPOCH_BITS = 24;

  /** How many times as long as the last placement pass took the next one waits. */
  private static final int PASS_REST = 8;

  /** What a master is told. */
  public sealed interface Message {}

  /** A worker of its machines reports. */
  public record Reported(WorkerWire.Report report, Consumer<Http.Response> reply)
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
  private record Unanswered(Host host, Consumer<Http.Response> reply) {}

  final Node node;
  final String name;
  final long epoch;
  private final CommandPolicy policy;
  private final Machines machines;
  private final Ranges ranges;
  private final Placement placement;
  private final Roster roster;
  private final Fleet fleet;
  private final Shares shares;
  private final FailureTracker failures;
  private final RangeReassignment reassignment;
  private final boolean othersMayAct;
  private final Runnable activated;
  private final List<Unanswered> unanswered = new ArrayList<>();
  private boolean active;
  private boolean over;
  private long attempts;
  private boolean passDue;
  private long passNotBefore;
  private long reportedAt;
  private long tickedAt;
  private long loggedOpening;

  public Master(Node node, String name, long epoch, boolean othersMayAct, Runnable activated) {
    super(node.reactor());
    this.node = node;
    this.name = name;
    this.epoch = epoch;
    this.othersMayAct = othersMayAct;
    this.activated = activated;
    this.policy = new CommandPolicy(node, name, epoch);
    this.failures = new FailureTracker(this);
    this.ranges = new Ranges(this);
    this.machines = new Machines(this, ranges);
    this.roster = new Roster(this);
    this.fleet = new Fleet(this, failures);
    this.shares = new Shares(this);
    this.reassignment = new RangeReassignment(this);
    this.placement =
        new Placement(
            node,
            name,
            policy,
            new Falcon(node.tuning(), node.random()),
            machines,
            ranges,
            shares,
            failures,
            machines.downloads(),
            this);
  }

  @Override
  protected void receive(Message message) {
    if (over) {
      if (message instanceof Reported reported) {
        refuse(reported.reply());
      }
      return;
    }
    if (!active && node.view().followed() >= epoch) {
      activate();
    }
    if (message instanceof Reported reported) {
      node.stats()
          .work
          .run(Work.WORKER_REPORT, () -> reported(reported.report(), reported.reply()));
    } else if (message instanceof Changed changed) {
      changed(changed.key());
    } else if (message instanceof Cancelled cancelled) {
      ranges.cancelled(cancelled.job());
    } else if (message instanceof Tick) {
      node.stats().work.run(Work.PERIODIC_CHECKS, this::tick);
    } else if (message instanceof Ended) {
      over = true;
      logLeadership("leadership ends");
      answerAll();
    }
  }

  // ---- what its parts ask of each other

  CommandPolicy policy() {
    return policy;
  }

  Machines machines() {
    return machines;
  }

  Ranges ranges() {
    return ranges;
  }

  Roster roster() {
    return roster;
  }

  FailureTracker failures() {
    return failures;
  }

  boolean running() {
    return active && !over && policy.mayAcknowledge();
  }

  boolean isOver() {
    return over;
  }

  boolean isActive() {
    return active;
  }

  long firstToken() {
    return epoch << EPOCH_BITS;
  }

  long firstTokenOfNext() {
    return (epoch + 1) << EPOCH_BITS;
  }

  /** For how long whoever acted as this master before may go on, unaware of its end. */
  long othersActMs() {
    return othersMayAct ? node.membership().fence().usableMs() : 0;
  }

  boolean anyUnresolved() {
    return machines.anyUnresolved();
  }

  double reserve() {
    return placement.reserve();
  }

  void sendDirect() {
    machines.commands().sendDirect();
  }

  void arrived(OwnedRange range) {
    placement.arrived(range);
    fleet.arrived(range);
  }

  @Override
  public void stop(PlacedTask task, double graceS) {
    machines.commands().stop(task, graceS);
  }

  @Override
  public long nextAttempt() {
    return firstToken() + ++attempts;
  }

  @Override
  public void place(OwnedRange range, int offset, Host host, long attempt) {
    long now = node.now();
    OwnedRange.Retry retry = range.retries.get(offset);
    long since = retry == null ? range.waitingSince : retry.waitingSince;
    TaskId id = new TaskId(range.key.job(), range.record.from() + offset);
    PlacedTask task = new PlacedTask(id, attempt, host, range, now, (now - since) / 1000.0);
    MachineType type = node.type(host.type);
    if (host.fetching() && !host.hasImage(range.spec.image())) {
      task.fetchBesideS = Fleet.fetchS(type, range.spec);
    }
    host.put(task);
    range.place(offset, task);
    host.idleSince = now;
    machines.commands().newsFor(host);
    boolean fetches = !host.hasImage(range.spec.image());
    if (fetches) {
      node.stats().fetches++;
    }
    host.usesImage(range.spec.image(), range.spec.imageGb(), type.cacheGb());
    node.stats().placed++;
    logFirstStart(task);
    Stats.record(node.stats().startWaitMs, now - since);
    LOG.debug(
        "task {} placed after {} ms{}", task, now - since, fetches ? ", fetching its image" : "");
  }

  /** One line for the first start after each time that the fence was closed: what allowed it. */
  private void logFirstStart(PlacedTask task) {
    Fence fence = node.membership().fence();
    if (loggedOpening == fence.openings()) {
      return;
    }
    loggedOpening = fence.openings();
    LOG.atInfo()
        .addKeyValue("master", name)
        .addKeyValue("epoch", epoch)
        .addKeyValue("revision", node.view().followed())
        .addKeyValue("leaseAgeMs", fence.leaseAgeMs())
        .addKeyValue("stateAgeMs", fence.stateAgeMs())
        .addKeyValue("task", task)
        .log("first start since the fence opened");
  }

  /** The condition that makes every write of this epoch fail once the next has begun. */
  StateWire.Condition guard() {
    return new StateWire.Condition(Records.master(name), epoch);
  }

  /**
   * Writes under this epoch's guard. Where it fails or its fate is unknown, the callback comes once
   * the state has been read on, or after a while: the caller looks again and decides anew.
   */
  void write(
      List<StateWire.Condition> conditions,
      List<StateWire.Change> changes,
      Consumer<Boolean> done) {
    List<StateWire.Condition> all = new ArrayList<>(conditions);
    all.add(guard());
    node.store()
        .commit(
            new Store.Txn(all, changes),
            result -> {
              if (result instanceof Store.Committed committed) {
                node.view().committed(changes, committed.revision());
                // The view tells us by message; what depends on it runs after that.
                reactor.execute(() -> done.accept(true));
              } else if (result instanceof Store.Conflict conflict) {
                node.view()
                    .await(
                        conflict.revision(),
                        node.reportMs(1),
                        ok ->
                            reactor.schedule(
                                ok ? 0 : node.view().watchGapMs(), () -> done.accept(false)));
              } else {
                reactor.schedule(node.view().watchGapMs() * 3, () -> done.accept(false));
              }
            });
  }

  // ---- messages

  /** Everything written before this epoch began is known now. */
  private void activate() {
    active = true;
    machines.inherit();
    for (var job : List.copyOf(node.view().all().entrySet())) {
      for (int index : List.copyOf(job.getValue().ranges().keySet())) {
        ranges.sync(new Records.RangeKey(job.getKey(), index));
      }
    }
    logLeadership("leadership begins");
    fleet.activated();
    passSoon();
    activated.run();
  }

  private void logLeadership(String what) {
    LOG.atInfo()
        .addKeyValue("master", name)
        .addKeyValue("epoch", epoch)
        .addKeyValue("firstToken", firstToken())
        .addKeyValue("revision", node.view().followed())
        .addKeyValue("machines", machines.count())
        .addKeyValue("ranges", ranges.count())
        .log(what);
  }

  private void changed(Records.Key key) {
    if (!active) {
      return;
    }
    if (key instanceof Records.RangeKey k) {
      if (ranges.sync(k)) {
        passSoon();
      }
    } else if (key instanceof Records.MachineKey k) {
      machines.sync(k.machine(), false);
    } else if (key instanceof Records.JobKey k) {
      if (ranges.syncJob(k.job())) {
        passSoon();
      }
    }
  }

  private static void refuse(Consumer<Http.Response> reply) {
    reply.accept(new Http.Response(503, Http.Response.EMPTY));
  }

  private void reported(WorkerWire.Report report, Consumer<Http.Response> reply) {
    Host host = machines.get(report.machine());
    if (host == null || host.returning || !running()) {
      refuse(reply);
      return;
    }
    switch (machines.reported(host, report)) {
      case REFUSED -> refuse(reply);
      case CHANGED -> {
        if (passDue) {
          // Its room may be taken by the pass that is due, and the starts then go with the answer.
          unanswered.add(new Unanswered(host, reply));
        } else {
          answer(host, reply);
        }
      }
      default -> answer(host, reply);
    }
  }

  private void answer(Host host, Consumer<Http.Response> reply) {
    if (!running() || host.returning || machines.get(host.id) != host) {
      refuse(reply);
      return;
    }
    List<WorkerWire.Command> orders = machines.answer(host);
    reply.accept(new Http.Response(200, WorkerWire.answer(host.token, orders)));
  }

  private void answerAll() {
    List<Unanswered> waiting = List.copyOf(unanswered);
    unanswered.clear();
    waiting.forEach(one -> answer(one.host(), one.reply()));
  }

  private void tick() {
    if (!active) {
      return;
    }
    long now = node.now();
    if (!running() || now - tickedAt > node.reportMs(1)) {
      machines.heardNobody(now);
    }
    tickedAt = now;
    machines.expire();
    ranges.refreshAll();
    ranges.logUnstopped(now);
    if (running()) {
      shares.tick();
      node.stats().work.run(Work.FLEET_SIZING, () -> fleet.tick(now));
      ranges.writePartial(now);
      reassignment.tick(now);
      report(now);
      passSoon();
    }
  }

  /**
   * A pass soon: all that changes until then shares it. The longer passes take, the further apart
   * they are, so that they never use up the processor.
   */
  void passSoon() {
    if (passDue) {
      return;
    }
    passDue = true;
    long soon = node.view().watchGapMs() / 5;
    reactor.schedule(
        Math.max(soon, passNotBefore - node.now()),
        () -> node.stats().work.run(Work.PLACEMENT, this::pass));
  }

  private void pass() {
    passDue = false;
    if (running() && !node.types().isEmpty()) {
      long began = node.now();
      placement.pass(began);
      long took = node.now() - began;
      passNotBefore = node.now() + took * PASS_REST;
      Stats.record(node.stats().passMs, took);
    }
    answerAll();
    sendDirect();
  }

  /** One line on where the master stands, for whoever reads the log later. */
  private void report(long now) {
    if (now - reportedAt < node.reportMs(10)) {
      return;
    }
    reportedAt = now;
    double capacity = 0;
    double used = 0;
    double fetching = 0;
    int ordinary = 0;
    int booting = 0;
    for (Host host : machines.all()) {
      MachineType type = node.type(host.type);
      if (type == null) {
        continue;
      }
      ordinary += host.spot ? 0 : 1;
      if (!host.up) {
        booting++;
        continue;
      }
      capacity += type.cpus();
      used += host.usedCpus();
      for (PlacedTask task : host.placed()) {
        if (task.live() && task.runningSince < 0) {
          fetching += task.cpus;
        }
      }
    }
    int waiting = 0;
    for (OwnedRange range : ranges.all()) {
      waiting += range.waiting();
    }
    LOG.info(
        "master {}: {} machines ({} ordinary, {} booting), {} of {} CPUs taken, {} of them not"
            + " running yet, {} tasks waiting, {} ranges; {} of {} tasks placed began a fetch;"
            + " passes take {} ms at p95",
        name,
        machines.count(),
        ordinary,
        booting,
        used,
        capacity,
        fetching,
        waiting,
        ranges.count(),
        node.stats().fetches,
        node.stats().placed,
        node.stats().passMs.getValueAtPercentile(95));
    LOG.info("work so far: {}", node.stats().work.summary());
  }

  // ---- what others ask

  /** Free room by zone and CPUs that wait, for whoever splits jobs. */
  PeerWire.Load load() {
    Map<String, double[]> rooms = new TreeMap<>();
    for (Host.Room free : machines.rooms(node.now())) {
      double[] room = rooms.computeIfAbsent(free.host.zone, z -> new double[3]);
      room[0] += free.cpus();
      room[1] += free.gpus();
      room[2] += free.memoryGb();
    }
    List<PeerWire.Room> all = new ArrayList<>();
    rooms.forEach((zone, r) -> all.add(new PeerWire.Room(zone, r[0], r[1], r[2])));
    return new PeerWire.Load(
        node.membership().self(), name, epoch, ranges.waitingCpus(), machines.capacity(), all);
  }

  /** Tasks of a job that run on our machines. */
  int runningOf(String job) {
    int count = 0;
    for (OwnedRange range : ranges.ofJob(job)) {
      for (PlacedTask task : range.placed.values()) {
        if (task.state() == PlacedTask.State.RUNNING || task.state() == PlacedTask.State.SAVING) {
          count++;
        }
      }
    }
    return count;
  }
}
