package org.fieldtrestle.coordination;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.fieldtrestle.bookkeeping.Records;
import org.fieldtrestle.bookkeeping.Store;
import org.fieldtrestle.bookkeeping.View;
import org.fieldtrestle.protocol.CloudWire.MachineType;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.PeerWire;
import org.fieldtrestle.protocol.Settings;
import org.fieldtrestle.protocol.StateWire;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.protocol.WorkerWire;
import org.fieldtrestle.transport.Actor;
import org.fieldtrestle.transport.Http;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One of Falcon's masters: places the tasks of its ranges on its machines. Where tasks are is known
 * from reports alone; whoever acts as this master next learns it from them again.
 */
public final class Master extends Actor<Master.Message> {
  private static final Logger LOG = LoggerFactory.getLogger(Master.class);

  /**
   * Tokens and attempts are the epoch and a count within it: a later epoch's are higher than all of
   * an earlier one's, without any write.
   */
  private static final int EPOCH_BITS = 24;

  private static final int MOST_ORDERS = 200;

  /** Share of all CPUs that is kept for classes that hurry at the most. */
  private static final double RESERVED_AT_MOST = 0.25;

  /** A machine that has the image is waited for during this share of a fetch at the most. */
  private static final double PATIENCE = 0.4;

  /** A job counts as late once this share of its estimate no longer fits before its deadline. */
  private static final double LATE_AT = 0.7;

  /** Share of its slack after which a task no longer leaves room to those whose image is there. */
  private static final double PRESSING = 0.9;

  /** What a master is told. */
  public sealed interface Message {}

  /** A worker of its machines reports. */
  public record Reported(WorkerWire.Report report, Consumer<Http.Response> reply)
      implements Message {}

  /** A key that it may care for has changed. */
  public record Changed(Records.Key key) implements Message {}

  /** Time has passed. */
  public record Tick() implements Message {}

  /** The epoch is over. */
  public record Ended() implements Message {}

  final Node node;
  final String name;
  final long epoch;
  final Map<String, Host> hosts = new TreeMap<>();
  final Map<Records.RangeKey, OwnedRange> ranges = new TreeMap<>();
  private final Falcon falcon;
  private final Fleet fleet;
  private final Shares shares;
  private final Faults faults;
  private final Rehand rehand;
  private final boolean othersMayAct;
  private boolean active;
  private boolean over;
  private long attempts;
  private boolean passDue;
  private long lastEviction;
  private long reportedAt;
  private double urgentCpus;

  public Master(Node node, String name, long epoch, boolean othersMayAct) {
    super(node.reactor());
    this.node = node;
    this.name = name;
    this.epoch = epoch;
    this.othersMayAct = othersMayAct;
    this.falcon = new Falcon(node.tuning(), node.random());
    this.faults = new Faults(this);
    this.fleet = new Fleet(this, faults);
    this.shares = new Shares(this);
    this.rehand = new Rehand(this);
  }

  @Override
  protected void receive(Message message) {
    if (over) {
      if (message instanceof Reported reported) {
        reported.reply().accept(new Http.Response(503, Http.Response.EMPTY));
      }
      return;
    }
    if (!active && node.view().followed() >= epoch) {
      activate();
    }
    if (message instanceof Reported reported) {
      reported(reported.report(), reported.reply());
    } else if (message instanceof Changed changed) {
      changed(changed.key());
    } else if (message instanceof Tick) {
      tick();
    } else if (message instanceof Ended) {
      over = true;
    }
  }

  boolean running() {
    return active && !over && node.acting();
  }

  boolean isOver() {
    return over;
  }

  long firstToken() {
    return epoch << EPOCH_BITS;
  }

  /** The condition that makes every write of this epoch fail once the next has begun. */
  StateWire.Condition guard() {
    return new StateWire.Condition(Records.master(name), epoch);
  }

  /** Everything written before this epoch began is known now. */
  private void activate() {
    active = true;
    node.view().machines().forEach((id, kept) -> syncHost(id));
    for (var job : List.copyOf(node.view().all().entrySet())) {
      for (int index : List.copyOf(job.getValue().ranges().keySet())) {
        syncRange(new Records.RangeKey(job.getKey(), index));
      }
    }
    LOG.info(
        "master {} begins epoch {} with {} machines and {} ranges",
        name,
        epoch,
        hosts.size(),
        ranges.size());
    fleet.activated();
  }

  private void changed(Records.Key key) {
    if (!active) {
      return;
    }
    if (key instanceof Records.RangeKey k) {
      syncRange(k);
    } else if (key instanceof Records.MachineKey k) {
      syncHost(k.machine());
    } else if (key instanceof Records.JobKey k) {
      for (OwnedRange range : List.copyOf(ranges.values())) {
        if (range.key.job().equals(k.job())) {
          refreshJob(range);
        }
      }
    }
    passSoon();
  }

  // ---- machines

  private void syncHost(String id) {
    View.Kept<Records.Machine> kept = node.view().machines().get(id);
    Host host = hosts.get(id);
    if (kept == null || !kept.record().master().equals(name)) {
      if (host != null) {
        loseTasks(host, "its record is gone");
        hosts.remove(id);
      }
      return;
    }
    Records.Machine record = kept.record();
    if (host == null) {
      long age = Math.max(0, reactor.wall() - record.sinceWall());
      host =
          new Host(
              id,
              record.type(),
              record.zone(),
              record.spot(),
              record.address(),
              firstToken(),
              node.now());
      host.bootingFor(age);
      if (kept.version() < epoch) {
        host.leaseFrom = node.now() + (othersMayAct ? node.membership().usableMs() : 0);
      }
      // One that came up in this epoch cannot have been given anything before it.
      host.resolved = kept.version() > epoch || !record.up();
      hosts.put(id, host);
    }
    if (!host.up && record.up()) {
      host.idleSince = node.now();
    }
    host.up = record.up();
    if (host.up) {
      host.markingUp = false;
    }
  }

  private void reported(WorkerWire.Report report, Consumer<Http.Response> reply) {
    Host host = hosts.get(report.machine());
    if (!active || host == null || !node.acting() || host.returning) {
      reply.accept(new Http.Response(503, Http.Response.EMPTY));
      return;
    }
    if (report.token() > host.token) {
      LOG.warn("machine {} has seen token {}, above ours", host.id, report.token());
      if (report.token() >= (epoch + 1) << EPOCH_BITS) {
        reply.accept(new Http.Response(503, Http.Response.EMPTY));
        return;
      }
      host.token = report.token();
    }
    learn(host, report);
    markUp(host);
    host.leaseFrom = Math.max(host.leaseFrom, node.now());
    List<WorkerWire.Command> orders = List.of();
    if (host.resolved && host.seenToken >= firstToken()) {
      pass();
      orders = host.orders(mayStart(host), MOST_ORDERS);
    }
    reply.accept(new Http.Response(200, WorkerWire.answer(host.token, orders)));
    sendDirect();
  }

  private boolean mayStart(Host host) {
    return host.up && !host.lost && !host.returning && host.seenToken >= firstToken();
  }

  private void markUp(Host host) {
    if (host.up || host.markingUp) {
      return;
    }
    View.Kept<Records.Machine> kept = node.view().machines().get(host.id);
    if (kept == null) {
      return;
    }
    host.markingUp = true;
    Records.Machine old = kept.record();
    Records.Machine up =
        new Records.Machine(
            name, old.type(), old.zone(), old.spot(), host.address, old.sinceWall(), true);
    write(
        List.of(new StateWire.Condition(Records.machine(host.id), kept.version())),
        List.of(new StateWire.Put(Records.machine(host.id), Records.write(up), 0)),
        committed -> {
          host.markingUp = false;
          if (committed) {
            LOG.info("machine {} is up after {} s", host.id, host.ageMs(node.now()) / 1000);
          }
        });
  }

  /** Makes a machine that has no record this master's, unless somebody else is quicker. */
  void own(
      String id,
      String type,
      String zone,
      boolean spot,
      String address,
      boolean up,
      Consumer<Boolean> done) {
    Records.Machine record =
        new Records.Machine(name, type, zone, spot, address, reactor.wall(), up);
    write(
        List.of(new StateWire.Condition(Records.machine(id), 0)),
        List.of(new StateWire.Put(Records.machine(id), Records.write(record), 0)),
        done);
  }

  /** Takes in a report, or the report in the answer to a direct command. */
  private void learn(Host host, WorkerWire.Report report) {
    long now = node.now();
    host.heardAt = now;
    if (!report.newerThan(host.session, host.seq)) {
      return;
    }
    if (host.lost && report.session() == host.session) {
      return; // sent before its lease ran out, and late
    }
    host.lost = false;
    host.seq = report.seq();
    host.address = report.address();
    host.seenToken = Math.max(host.seenToken, report.token());
    notice(host, report.noticeS());
    if (report.session() != host.session) {
      if (host.session >= 0) {
        LOG.info("machine {} is in session {} now", host.id, report.session());
        host.session = report.session();
        loseTasks(host, "its lease ran out");
      }
      host.session = report.session();
      // A session's lease runs from when it began, which may be just now, whoever answers: what is
      // given to it by a direct command must not be taken for lost with the session before.
      host.leaseFrom = Math.max(host.leaseFrom, now);
    }
    if (report.token() < firstToken()) {
      return; // may still be given commands of an earlier epoch
    }
    if (!host.resolved) {
      host.resolved = true;
      LOG.debug("machine {} is known with {} tasks", host.id, report.tasks().size());
    }
    reconcile(host, report);
    if (!host.empty()) {
      host.idleSince = now;
    }
    passSoon();
  }

  private void reconcile(Host host, WorkerWire.Report report) {
    Set<Placed> seen = new HashSet<>();
    host.ghosts.clear();
    for (WorkerWire.ReportedTask reported : report.tasks()) {
      Placed task = host.placed.get(reported.task());
      if (task == null || task.attempt != reported.attempt()) {
        task = found(host, reported, task);
      }
      if (task == null) {
        host.ghosts.add(reported);
      } else {
        seen.add(task);
        follow(task, reported);
      }
    }
    for (Placed task : List.copyOf(host.placed.values())) {
      if (seen.contains(task)) {
        continue;
      }
      if (task.state == Placed.State.EXITED) {
        if (task.clearable) {
          host.placed.remove(task.task);
        }
      } else if (task.state != Placed.State.STARTING || task.stop) {
        // Gone, unless a start of unknown fate may still bring it back.
        if (host.quiet()) {
          gone(task);
        }
      }
    }
  }

  /** A task on a machine that we have not placed there in this epoch, or not as this attempt. */
  private Placed found(Host host, WorkerWire.ReportedTask reported, Placed expected) {
    OwnedRange range = rangeOf(reported.task());
    boolean exited = reported.state() == WorkerWire.TaskState.EXITED;
    if (range == null) {
      return null;
    }
    int offset = reported.task().index() - range.record.from();
    if (range.isDone(offset) || (expected == null && range.placed.containsKey(offset))) {
      if (!exited && range.placed.containsKey(offset)) {
        LOG.error("task {} is on {} and on another machine", reported.task(), host.id);
      }
      return null;
    }
    if (exited && reported.cause() == WorkerWire.Cause.DONE) {
      if (expected != null) {
        host.placed.remove(reported.task());
      }
      Placed task = new Placed(reported.task(), reported.attempt(), host, range, node.now(), 0);
      host.placed.put(task.task, task);
      return task;
    }
    if (exited) {
      return null;
    }
    if (expected != null) {
      if (expected.state != Placed.State.STARTING) {
        return null;
      }
      host.placed.remove(reported.task());
    }
    Placed task =
        new Placed(
            reported.task(),
            reported.attempt(),
            host,
            range,
            node.now(),
            (node.now() - range.waitingSince) / 1000.0);
    task.startSent = true;
    host.placed.put(task.task, task);
    range.place(offset, task);
    if (range.ended) {
      stop(task, 0);
    }
    return task;
  }

  private void follow(Placed task, WorkerWire.ReportedTask reported) {
    long now = node.now();
    task.startSent = true;
    switch (reported.state()) {
      case FETCHING -> task.state = Placed.State.FETCHING;
      case RUNNING -> {
        if (task.runningSince < 0) {
          task.runningSince = now;
        }
        task.state = Placed.State.RUNNING;
      }
      case SAVING -> task.state = Placed.State.SAVING;
      case EXITED -> {
        if (task.live()) {
          exited(task, reported.cause());
        }
      }
    }
    if (task.range != null && task.range.spec != null && task.live()) {
      MachineType type = node.type(task.host.type);
      JobSpec spec = task.range.spec;
      if (type != null) {
        task.host.usesImage(spec.image(), spec.imageGb(), type.cacheGb());
      }
    }
  }

  private void exited(Placed task, WorkerWire.Cause cause) {
    OwnedRange range = task.range;
    long now = node.now();
    task.state = Placed.State.EXITED;
    task.cause = cause;
    LOG.debug("task {} exited: {}", task, cause);
    if (range == null) {
      task.clearable = true;
      return;
    }
    int offset = task.task.index() - range.record.from();
    if (cause == WorkerWire.Cause.DONE) {
      range.finish(offset);
      faults.succeeded(task, now);
      if (range.ended || range.isDone(offset)) {
        task.clearable = true;
      } else {
        writeSoon(range);
      }
      return;
    }
    task.clearable = true;
    if (range.placed.get(offset) != task) {
      return;
    }
    OwnedRange.Retry retry = range.again(offset, task.waitingSince());
    switch (cause) {
      case ERROR -> {
        // Waiting starts anew: a task that fails everywhere must not age into evicting others.
        retry.waitingSince = now;
        faults.failed(task, retry, range.failures.addTo(offset, 1) + 1, now);
      }
      case NO_ROOM, BUSY, UNKNOWN -> {
        retry.notBefore = now + node.reportMs(0.5);
        task.host.quarantineUntil = now + node.reportMs(0.5);
      }
      default -> {}
    }
    windUp(range);
  }

  /** The machine does not have this task any more, nor can it get it by anything we sent. */
  private void gone(Placed task) {
    task.host.placed.remove(task.task);
    OwnedRange range = task.range;
    if (range == null) {
      return;
    }
    int offset = task.task.index() - range.record.from();
    if (range.placed.get(offset) == task) {
      range.again(offset, task.waitingSince());
      windUp(range);
    }
  }

  /** Everything that was on the machine is gone with its session, or with the machine itself. */
  void loseTasks(Host host, String why) {
    host.ghosts.clear();
    int lost = 0;
    for (Placed task : List.copyOf(host.placed.values())) {
      if (task.session != host.session || hostIsGone(host)) {
        if (task.live()) {
          lost++;
        }
        gone(task);
      }
    }
    if (lost > 0) {
      node.stats().lost += lost;
      LOG.info("{} tasks on {} are lost: {}", lost, host.id, why);
    }
    passSoon();
  }

  private boolean hostIsGone(Host host) {
    return host.lost || host.returning || !node.view().machines().containsKey(host.id);
  }

  private void notice(Host host, double noticeS) {
    if (noticeS < 0) {
      return;
    }
    host.noticeUntil = node.now() + Math.round(noticeS * 1000);
    if (!host.draining) {
      host.drain("spot notice");
      LOG.info("machine {} will be taken in {} s", host.id, noticeS);
    }
    for (Placed task : List.copyOf(host.placed.values())) {
      if (task.live() && !task.stop && task.range != null && task.range.spec != null) {
        JobSpec spec = task.range.spec;
        double remaining = task.remainingS(node.now(), spec.estimateS());
        if (task.runningSince < 0 || remaining > 1.5 * noticeS) {
          boolean saves = spec.savesWork() && spec.saveS() < noticeS;
          stop(task, saves ? Math.max(spec.saveS(), noticeS * 0.8) : 0);
        }
      }
    }
  }

  void stop(Placed task, double graceS) {
    if (!task.live() || task.stop && task.graceS <= graceS) {
      return;
    }
    task.stop = true;
    task.stopSent = false;
    task.graceS = graceS;
    if (task.state == Placed.State.STARTING && !task.startSent) {
      gone(task);
    }
  }

  // ---- ranges

  private OwnedRange rangeOf(TaskId task) {
    for (var kept : node.view().rangesOf(task.job()).entrySet()) {
      OwnedRange range = ranges.get(new Records.RangeKey(task.job(), kept.getKey()));
      if (range != null && range.has(task.index())) {
        return range;
      }
    }
    return null;
  }

  private void syncRange(Records.RangeKey key) {
    View.Kept<Records.Range> kept = node.view().range(key);
    OwnedRange range = ranges.get(key);
    // One given to a later epoch of this master is not ours, though we may not know yet that we
    // are over: both would start its tasks.
    if (kept == null || !kept.record().master().equals(name) || kept.record().epoch() > epoch) {
      if (range != null) {
        ranges.remove(key);
        for (Placed task : range.placed.values()) {
          task.range = null;
          stop(task, 0);
        }
        for (Host host : hosts.values()) {
          for (Placed task : host.placed.values()) {
            if (task.range == range) {
              task.range = null;
              task.clearable = !task.live();
            }
          }
        }
      }
      return;
    }
    if (range == null) {
      View.LiveJob job = node.view().job(key.job());
      long age = job == null ? 0 : Math.max(0, reactor.wall() - job.job().record().acceptedWall());
      range =
          new OwnedRange(
              key, kept.record(), kept.version(), kept.record().epoch() < epoch, node.now() - age);
      ranges.put(key, range);
      refreshJob(range);
      if (job != null && range.spec != null && node.hurried(range.spec) && key.index() == 0) {
        double cpus = range.spec.cpus() * range.spec.tasks();
        urgentCpus = urgentCpus == 0 ? cpus : urgentCpus * 0.8 + cpus * 0.2;
      }
      fleet.arrived(range);
      return;
    }
    range.record = kept.record();
    range.version = kept.version();
    range.fresh.clear(range.record.size(), Math.max(range.record.size(), range.fresh.length()));
    range.finished.andNot(range.record.done());
    range.fresh.andNot(range.record.done());
    for (Host host : hosts.values()) {
      for (Placed task : host.placed.values()) {
        if (task.range == range
            && !task.live()
            && range.isDone(task.task.index() - range.record.from())) {
          task.clearable = true;
        }
      }
    }
    refreshJob(range);
  }

  private void refreshJob(OwnedRange range) {
    View.LiveJob job = node.view().job(range.key.job());
    if (job != null) {
      range.spec = job.job().record().spec();
      range.zone = job.job().record().zone();
      return;
    }
    // Only what has been followed past the range's own writing proves that its job is no more: the
    // two come in one transaction, but not in one message.
    if (node.view().version(Records.job(range.key.job())) == 0
        && node.view().followed() >= range.version) {
      if (!range.ended) {
        range.ended = true;
        LOG.info("job {} has ended, winding up range {}", range.key.job(), range.key);
      }
      for (Placed task : List.copyOf(range.placed.values())) {
        stop(task, 0);
      }
      for (Host host : hosts.values()) {
        for (Placed task : host.placed.values()) {
          if (task.range == range && !task.live()) {
            task.clearable = true;
          }
        }
      }
      sendDirect();
      windUp(range);
    }
  }

  /** Removes the range of an ended job once nothing of it can be anywhere. */
  private void windUp(OwnedRange range) {
    if (!range.ended || !range.placed.isEmpty() || range.writing || blocked(range)) {
      return;
    }
    range.writing = true;
    write(
        List.of(new StateWire.Condition(Records.range(range.key), range.version)),
        List.of(new StateWire.Delete(Records.range(range.key))),
        committed -> {
          range.writing = false;
        });
  }

  /** A machine that may hold tasks of it has not been heard of in this epoch. */
  boolean blocked(OwnedRange range) {
    return range.inherited && anyUnresolved();
  }

  boolean anyUnresolved() {
    for (Host host : hosts.values()) {
      if (!host.resolved && !host.lost) {
        return true;
      }
    }
    return false;
  }

  /**
   * After handing tasks on has failed or its fate is unknown: they may still be taken by the late
   * transaction, until a write of our own has moved the range's version past it.
   */
  void settle(OwnedRange range, BitSet held) {
    if (over || ranges.get(range.key) != range) {
      return;
    }
    write(
        List.of(new StateWire.Condition(Records.range(range.key), range.version)),
        List.of(new StateWire.Put(Records.range(range.key), Records.write(range.record), 0)),
        committed -> {
          if (!committed) {
            settle(range, held);
            return;
          }
          held.clear(range.record.size(), Math.max(range.record.size(), held.length()));
          held.andNot(range.record.done());
          range.fresh.or(held);
          written(range);
          passSoon();
        });
  }

  /** A write of the range is over; what has finished meanwhile goes into the next. */
  void written(OwnedRange range) {
    range.writing = false;
    if (!range.finished.isEmpty() && ranges.get(range.key) == range) {
      writeSoon(range);
    }
  }

  private void writeSoon(OwnedRange range) {
    if (!range.writing) {
      range.writing = true;
      // A short wait lets tasks that end together share a write.
      reactor.schedule(node.view().watchGapMs() / 3, () -> writeDone(range));
    }
  }

  private void writeDone(OwnedRange range) {
    if (over || range.finished.isEmpty() || ranges.get(range.key) != range) {
      range.writing = false;
      return;
    }
    BitSet done = (BitSet) range.record.done().clone();
    done.or(range.finished);
    Records.Range next = range.record.withDone(done);
    List<StateWire.Condition> conditions = new ArrayList<>();
    List<StateWire.Change> changes = new ArrayList<>();
    conditions.add(new StateWire.Condition(Records.range(range.key), range.version));
    if (!Finish.add(node, range.key, next, conditions, changes)) {
      changes.add(new StateWire.Put(Records.range(range.key), Records.write(next), 0));
    }
    write(
        conditions,
        changes,
        committed -> {
          written(range);
          sendDirect();
        });
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

  // ---- time

  private void tick() {
    if (!active) {
      return;
    }
    long now = node.now();
    long leaseMs =
        Math.round(node.settings().workerLeaseMs() * (1 + Settings.DRIFT)) + node.reportMs(0.2);
    for (Host host : List.copyOf(hosts.values())) {
      if (!host.lost && host.up && now - host.leaseFrom > leaseMs) {
        host.lost = true;
        LOG.warn("machine {} has been silent for its whole lease", host.id);
        loseTasks(host, "silent for its lease");
      }
    }
    for (OwnedRange range : List.copyOf(ranges.values())) {
      refreshJob(range);
    }
    if (node.acting()) {
      shares.tick();
      fleet.tick(now);
      pass();
      rehand.tick(now);
      report(now);
      sendDirect();
    }
  }

  // ---- placement

  private void passSoon() {
    if (!passDue) {
      passDue = true;
      reactor.schedule(
          node.view().watchGapMs() / 5,
          () -> {
            passDue = false;
            if (running()) {
              pass();
              sendDirect();
            }
          });
    }
  }

  /** Some tasks of a range that have waited equally long. */
  record Group(OwnedRange range, int offset) {
    boolean isFresh() {
      return offset < 0;
    }

    /** The task of it that goes next; below 0 where none is left. */
    int first() {
      return isFresh() ? range.fresh.nextSetBit(0) : offset;
    }
  }

  private List<Falcon.Waiting<Group>> waitingGroups(long now) {
    List<Falcon.Waiting<Group>> groups = new ArrayList<>();
    for (OwnedRange range : ranges.values()) {
      if (range.spec == null || range.ended || blocked(range)) {
        continue;
      }
      JobSpec spec = range.spec;
      if (spec.kind() == JobSpec.Kind.GANG) {
        if (range.placed.isEmpty() && range.waiting() > 0 && range.mayRetryAll(now)) {
          groups.add(
              new Falcon.Waiting<>(
                  new Group(range, -1),
                  spec.priority(),
                  falcon.score(spec.estimateS(), (now - range.waitingSince) / 1000.0),
                  range.waiting()));
        } else if (range.waiting() > 0) {
          // One of them was lost: the rest cannot go on without it.
          List.copyOf(range.placed.values()).forEach(task -> stop(task, spec.saveS()));
        }
        continue;
      }
      int fresh = range.fresh.cardinality();
      if (fresh > 0) {
        groups.add(
            new Falcon.Waiting<>(
                new Group(range, -1),
                spec.priority(),
                falcon.score(spec.estimateS(), counted(spec, range, range.waitingSince, now)),
                fresh));
      }
      for (var retry : range.retries.int2ObjectEntrySet()) {
        if (retry.getValue().notBefore <= now) {
          groups.add(
              new Falcon.Waiting<>(
                  new Group(range, retry.getIntKey()),
                  spec.priority(),
                  falcon.score(
                      spec.estimateS(), counted(spec, range, retry.getValue().waitingSince, now)),
                  1));
        }
      }
    }
    return groups;
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
    for (Host host : hosts.values()) {
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
      for (Placed task : host.placed.values()) {
        if (task.live() && task.runningSince < 0 && task.range != null) {
          fetching += task.range.record.cpus();
        }
      }
    }
    int waiting = 0;
    for (OwnedRange range : ranges.values()) {
      waiting += range.waiting();
    }
    LOG.info(
        "master {}: {} machines ({} ordinary, {} booting), {} of {} CPUs taken, {} of them not"
            + " running yet, {} tasks waiting, {} ranges",
        name,
        hosts.size(),
        ordinary,
        booting,
        used,
        capacity,
        fetching,
        waiting,
        ranges.size());
  }

  /**
   * The waiting time that a score counts. For a job that cannot be in time any more it starts anew
   * (our exception): else, on a full fleet, those that are late already make all others late too.
   */
  private static double counted(JobSpec spec, OwnedRange range, long since, long now) {
    double waited = (now - since) / 1000.0;
    if (spec.deadlineS() < 0) {
      return waited;
    }
    double late =
        (now - range.waitingSince) / 1000.0 + spec.estimateS() * LATE_AT - spec.deadlineS();
    return late > 0 ? Math.min(waited, late) : waited;
  }

  private void pass() {
    if (!running() || node.types().isEmpty()) {
      return;
    }
    long now = node.now();
    List<Falcon.Waiting<Group>> groups = waitingGroups(now);
    if (groups.isEmpty()) {
      return;
    }
    List<Host.Room> rooms = rooms(now);
    // Machines that have the image first: a task that would fetch takes no room that another, whose
    // image is there, waits for as well.
    List<Falcon.Waiting<Group>> without = fill(groups, rooms, true, now);
    List<Falcon.Waiting<Group>> stuck = fill(without, rooms, false, now);
    evict(stuck, now);
    Stats.record(node.stats().passMs, node.now() - now);
  }

  /** Places what fits and returns what does not. */
  private List<Falcon.Waiting<Group>> fill(
      List<Falcon.Waiting<Group>> groups, List<Host.Room> rooms, boolean withImage, long now) {
    List<Falcon.Waiting<Group>> stuck = new ArrayList<>();
    while (!groups.isEmpty()) {
      Falcon.Waiting<Group> next = falcon.next(groups);
      groups.remove(next);
      OwnedRange range = next.what().range();
      if (range.spec.kind() == JobSpec.Kind.GANG) {
        placeGang(rooms, range, now);
        continue;
      }
      Host.Room room = kept(range.spec, rooms) ? null : choose(rooms, range, next.what());
      if (room != null
          && !room.host.hasImage(range.spec.image())
          && !room.host.claimedBy(range, now)
          && (withImage ? !pressing(next.what(), now) : patient(next, groups, stuck))) {
        room = null;
      }
      if (room == null) {
        stuck.add(next);
        continue;
      }
      int offset = next.what().first();
      place(range, offset, room.host, firstToken() + ++attempts, now);
      room.take(range.spec);
      if (next.count() > 1) {
        groups.add(
            new Falcon.Waiting<>(next.what(), next.priority(), next.score(), next.count() - 1));
      }
    }
    return stuck;
  }

  /** Whether a task has waited for so much of its slack that it takes any room there is. */
  private boolean pressing(Group group, long now) {
    JobSpec spec = group.range().spec;
    if (node.hurried(spec)) {
      return true;
    }
    double fetchS = 0;
    for (MachineType type : node.types()) {
      fetchS = Math.max(fetchS, Fleet.fetchS(type, spec));
    }
    double slack = spec.deadlineS() < 0 ? 4 * fetchS : spec.deadlineS() - spec.estimateS() - fetchS;
    return waited(group, now) > slack * PRESSING;
  }

  /**
   * CPUs kept free of tasks that may wait, for classes that are to start within some time: as much
   * as one of their jobs usually takes, in all masters together.
   */
  double reserve() {
    double mine = capacity();
    double part = mine / Math.max(1, mine + node.loads().capacityOfOthers(name));
    return Math.min(urgentCpus * node.tuning().reserve() * part, mine * RESERVED_AT_MOST);
  }

  private boolean kept(JobSpec spec, List<Host.Room> rooms) {
    if (urgentCpus == 0 || node.hurried(spec)) {
      return false;
    }
    double reserve = reserve();
    double free = 0;
    double all = 0;
    for (Host.Room room : rooms) {
      free += room.cpus();
      all += room.type.cpus();
    }
    // On machines that run nothing, a task larger than what is not kept would wait for ever.
    return free - spec.cpus() < reserve && free < all;
  }

  /** All tasks of a gang at once, or none. */
  private void placeGang(List<Host.Room> rooms, OwnedRange range, long now) {
    BitSet all = (BitSet) range.fresh.clone();
    range.retries.keySet().forEach(all::set);
    if (!shares.allows(range.spec, all.cardinality())) {
      return;
    }
    Map<Integer, Host.Room> chosen = new TreeMap<>();
    for (int offset = all.nextSetBit(0); offset >= 0; offset = all.nextSetBit(offset + 1)) {
      Host.Room room = choose(rooms, range, offset);
      if (room == null) {
        chosen.values().forEach(taken -> taken.giveBack(range.spec));
        return;
      }
      room.take(range.spec);
      chosen.put(offset, room);
    }
    // One attempt for all: a gang's tasks know each other by it.
    long attempt = firstToken() + ++attempts;
    chosen.forEach((offset, room) -> place(range, offset, room.host, attempt, now));
  }

  /** The free amounts of all machines that may be given tasks. */
  private List<Host.Room> rooms(long now) {
    List<Host.Room> rooms = new ArrayList<>();
    for (Host host : hosts.values()) {
      MachineType type = node.type(host.type);
      if (type != null && usable(host, now)) {
        rooms.add(host.room(type));
      }
    }
    return rooms;
  }

  boolean usable(Host host, long now) {
    return host.resolved
        && mayStart(host)
        && !host.draining
        && now >= host.quarantineUntil
        && now - host.heardAt <= node.reportMs(2.5);
  }

  private boolean allowed(OwnedRange range, int offset, Host host) {
    JobSpec spec = range.spec;
    return (spec.types().isEmpty() || spec.types().contains(host.type))
        && (spec.spot() || !host.spot)
        && range.zoneAllows(host.zone)
        && !host.placed.containsKey(new TaskId(range.key.job(), range.record.from() + offset))
        && !faults.avoids(range, host);
  }

  /**
   * Whether a task does better to wait for a machine that has its image than to have it fetched by
   * another: those that have it get through everything that waits for it before a fetch would end.
   * Our exception to the paper, which leaves data locality open.
   */
  private boolean patient(
      Falcon.Waiting<Group> one,
      List<Falcon.Waiting<Group>> others,
      List<Falcon.Waiting<Group>> stuck) {
    JobSpec spec = one.what().range().spec;
    if (node.hurried(spec)) {
      return false;
    }
    double fetchS = 0;
    double slots = 0;
    for (Host host : hosts.values()) {
      MachineType type = node.type(host.type);
      if (type != null && mayStart(host) && !host.draining && host.hasImage(spec.image())) {
        slots += Fleet.perMachine(type, spec);
        fetchS = Math.max(fetchS, Fleet.fetchS(type, spec));
      }
    }
    if (slots == 0) {
      return false;
    }
    double waiting = one.count() * spec.estimateS();
    for (List<Falcon.Waiting<Group>> list : List.of(others, stuck)) {
      for (Falcon.Waiting<Group> other : list) {
        JobSpec same = other.what().range().spec;
        if (same.image().equals(spec.image())) {
          waiting += other.count() * same.estimateS();
        }
      }
    }
    return waiting / slots < fetchS * PATIENCE;
  }

  /** The fitting machine with the least room left, of those that have the image if any has it. */
  private Host.Room choose(List<Host.Room> rooms, OwnedRange range, Group group) {
    return shares.allows(range.spec) ? choose(rooms, range, group.first()) : null;
  }

  private Host.Room choose(List<Host.Room> rooms, OwnedRange range, int offset) {
    JobSpec spec = range.spec;
    boolean hurried = node.hurried(spec);
    Host.Room best = null;
    boolean bestHas = false;
    double bestLeft = 0;
    for (Host.Room room : rooms) {
      if (!room.fits(spec)
          || !allowed(range, offset, room.host)
          || room.host.claimedFrom(range, node.now())) {
        continue;
      }
      boolean has = room.host.hasImage(spec.image());
      if (!has && !hurried && room.host.fetching() && !room.host.claimedBy(range, node.now())) {
        // Two fetches at once share the line: both tasks start when the later would have anyway.
        continue;
      }
      double left = room.after(spec);
      if (best == null
          || (has && !bestHas)
          || (has == bestHas && closer(room, left, best, bestLeft, has))) {
        best = room;
        bestHas = has;
        bestLeft = left;
      }
    }
    return best;
  }

  /**
   * Cheap machines before ordinary ones (our exception, for the price), then the most matched. One
   * that has to fetch the image had better not be fetching others, which share its line.
   */
  private static boolean closer(
      Host.Room room, double left, Host.Room best, double bestLeft, boolean hasImage) {
    if (room.host.closing != best.host.closing) {
      return best.host.closing;
    }
    if (!hasImage && room.host.fetching() != best.host.fetching()) {
      return best.host.fetching();
    }
    return room.host.spot != best.host.spot ? room.host.spot : left < bestLeft;
  }

  private void place(OwnedRange range, int offset, Host host, long attempt, long now) {
    OwnedRange.Retry retry = range.retries.get(offset);
    long since = retry == null ? range.waitingSince : retry.waitingSince;
    TaskId id = new TaskId(range.key.job(), range.record.from() + offset);
    Placed task = new Placed(id, attempt, host, range, now, (now - since) / 1000.0);
    host.placed.put(id, task);
    range.place(offset, task);
    host.idleSince = now;
    MachineType type = node.type(host.type);
    host.usesImage(range.spec.image(), range.spec.imageGb(), type.cacheGb());
    node.stats().placed++;
    Stats.record(node.stats().startWaitMs, now - since);
    LOG.debug("task {} placed after {} ms", task, now - since);
  }

  /** Selective Preemption for tasks that found no room, one machine at a time. */
  private void evict(List<Falcon.Waiting<Group>> stuck, long now) {
    if (stuck.isEmpty() || now - lastEviction < node.reportMs(0.2)) {
      return;
    }
    lastEviction = now;
    // What is on its way out already makes room for as many as fit it: no more are needed.
    Map<Falcon.Waiting<Group>, Integer> unmet = new LinkedHashMap<>();
    stuck.stream()
        .sorted(
            Comparator.comparing((Falcon.Waiting<Group> one) -> one.priority())
                .thenComparing(Comparator.comparingDouble(Falcon.Waiting<Group>::score).reversed()))
        .forEach(one -> unmet.put(one, one.count()));
    for (Host host : hosts.values()) {
      MachineType type = node.type(host.type);
      if (type == null || !usable(host, now)) {
        continue;
      }
      if (stopping(host)) {
        for (Placed task : host.placed.values()) {
          if (task.live() && task.stop && task.range != null) {
            meet(unmet, task.range.record.cpus());
          }
        }
        continue;
      }
      List<Falcon.Waiting<Group>> queue = new ArrayList<>();
      for (Falcon.Waiting<Group> one : stuck) {
        OwnedRange range = one.what().range();
        int offset = one.what().first();
        if (offset >= 0
            && type.fits(range.spec)
            && allowed(range, offset, host)
            && shares.allows(range.spec)) {
          queue.add(one);
        }
      }
      List<Falcon.Waiting<Group>> ready = new ArrayList<>();
      for (Falcon.Waiting<Group> one : queue) {
        if (unmet.get(one) > 0
            && waited(one.what(), now) >= node.evictWaitS(one.what().range().spec)
            && falcon.outscoresEnough(one, queue)) {
          ready.add(one);
        }
      }
      if (!ready.isEmpty()) {
        Falcon.Waiting<Group> drawn = falcon.next(ready);
        double freed = evictFor(drawn, host, type, now);
        if (freed > 0) {
          OwnedRange range = drawn.what().range();
          host.claim(range, now + node.reportMs(2));
          // At least one is met, or the next machine would evict for the same task again.
          int met = Math.max(1, (int) Math.floor(freed / Math.max(0.1, range.record.cpus())));
          unmet.merge(drawn, -met, (left, less) -> Math.max(0, left + less));
        }
      }
    }
  }

  /** Counts room that is about to be free against what waits for it. */
  private static void meet(Map<Falcon.Waiting<Group>, Integer> unmet, double cpus) {
    double left = cpus;
    for (Map.Entry<Falcon.Waiting<Group>, Integer> one : unmet.entrySet()) {
      double each = Math.max(0.1, one.getKey().what().range().record.cpus());
      int met = (int) Math.min(one.getValue(), Math.floor(left / each + 1e-6));
      one.setValue(one.getValue() - met);
      left -= met * each;
    }
  }

  private static boolean stopping(Host host) {
    for (Placed task : host.placed.values()) {
      if (task.live() && task.stop) {
        return true;
      }
    }
    return false;
  }

  private double waited(Group group, long now) {
    long since =
        group.isFresh()
            ? group.range().waitingSince
            : group.range().retries.get(group.offset()).waitingSince;
    return (now - since) / 1000.0;
  }

  /** Makes room for one waiting task on a machine; returns the CPUs that its victims leave. */
  private double evictFor(Falcon.Waiting<Group> drawn, Host host, MachineType type, long now) {
    JobSpec spec = drawn.what().range().spec;
    boolean owed = shares.guaranteed(drawn.what().range());
    List<Falcon.Running<Placed>> running = new ArrayList<>();
    for (Placed task : host.placed.values()) {
      if (task.live()
          && task.range != null
          && task.range.spec != null
          && !task.range.spec.whole()) { // gangs and services are spared
        JobSpec other = task.range.spec;
        running.add(
            new Falcon.Running<>(
                task,
                other.priority(),
                falcon.score(task.remainingS(now, other.estimateS()), task.waitedS),
                // An image on its way is work too: giving it up and fetching again helps nobody.
                (now - task.placedAt) / 1000.0,
                other.estimateS(),
                owed && shares.owed(spec.team(), other.team())));
      }
    }
    Host.Room free = host.room(type);
    double cpus = free.cpus();
    double gpus = free.gpus();
    double memory = free.memoryGb();
    List<Placed> chosen = new ArrayList<>();
    for (Falcon.Running<Placed> victim : falcon.victims(drawn, running)) {
      if (cpus >= spec.cpus() && gpus >= spec.gpus() && memory >= spec.memoryGb()) {
        break;
      }
      JobSpec other = victim.what().range.spec;
      cpus += other.cpus();
      gpus += other.gpus();
      memory += other.memoryGb();
      chosen.add(victim.what());
    }
    if (chosen.isEmpty() || cpus < spec.cpus() || gpus < spec.gpus() || memory < spec.memoryGb()) {
      return 0;
    }
    double freed = 0;
    for (Placed victim : chosen) {
      freed += victim.range.record.cpus();
      LOG.info("task {} gives way to {} ({})", victim, spec.id(), spec.priority());
      node.stats().evicted++;
      stop(victim, victim.range.spec.savesWork() ? victim.range.spec.saveS() : 0);
    }
    return freed;
  }

  // ---- direct commands

  void sendDirect() {
    if (!running()) {
      return;
    }
    for (Host host : hosts.values()) {
      if (host.resolved
          && host.quiet()
          && !host.returning
          && !host.lost
          && host.session >= 0
          && host.seenToken >= firstToken()
          && host.hasNews()) {
        direct(host);
      }
    }
  }

  private void direct(Host host) {
    // The clears are left for the next report's answer, which is never executed late.
    List<WorkerWire.Command> orders = new ArrayList<>(host.orders(mayStart(host), MOST_ORDERS));
    orders.removeIf(order -> order instanceof WorkerWire.Clear);
    if (orders.isEmpty()) {
      return;
    }
    host.directBusy = true;
    long sentSession = host.session;
    node.caller()
        .call(
            host.address,
            "POST",
            WorkerWire.COMMANDS,
            WorkerWire.commands(host.token, sentSession, orders),
            node.reportMs(0.8),
            outcome -> answered(host, outcome));
  }

  private void answered(Host host, Http.Outcome outcome) {
    host.directBusy = false;
    if (outcome instanceof Http.NotSent) {
      return;
    }
    if (outcome instanceof Http.Answer answer
        && (answer.status() == 200 || answer.status() == 409)) {
      try {
        WorkerWire.Report report = WorkerWire.readReport(answer.body());
        if (!over && hosts.get(host.id) == host && report.machine().equals(host.id)) {
          learn(host, report);
        }
        return;
      } catch (Json.Malformed e) {
        LOG.warn("machine {} answered a command out of form: {}", host.id, e.getMessage());
      }
    }
    // Its fate is unknown: it may be executed minutes later, as long as token and session match.
    // A higher token ends that as soon as the machine has seen it.
    host.token++;
    host.fence = host.token;
  }

  // ---- what others ask

  /** Free room by zone and CPUs that wait, for whoever splits jobs. */
  PeerWire.Load load() {
    long now = node.now();
    Map<String, double[]> rooms = new TreeMap<>();
    for (Host.Room free : rooms(now)) {
      double[] room = rooms.computeIfAbsent(free.host.zone, z -> new double[3]);
      room[0] += free.cpus();
      room[1] += free.gpus();
      room[2] += free.memoryGb();
    }
    List<PeerWire.Room> all = new ArrayList<>();
    rooms.forEach((zone, r) -> all.add(new PeerWire.Room(zone, r[0], r[1], r[2])));
    double waiting = 0;
    for (OwnedRange range : ranges.values()) {
      if (!range.ended) {
        waiting += range.waiting() * range.record.cpus();
      }
    }
    return new PeerWire.Load(node.membership().self(), name, epoch, waiting, capacity(), all);
  }

  /** CPUs of all machines that are or will be of use. */
  private double capacity() {
    double capacity = 0;
    for (Host host : hosts.values()) {
      MachineType type = node.type(host.type);
      if (type != null && !host.draining && !host.lost) {
        capacity += type.cpus();
      }
    }
    return capacity;
  }

  boolean isActive() {
    return active;
  }

  /** Tasks of a job that run on our machines. */
  int runningOf(String job) {
    int count = 0;
    for (OwnedRange range : ranges.values()) {
      if (range.key.job().equals(job)) {
        for (Placed task : range.placed.values()) {
          if (task.state == Placed.State.RUNNING || task.state == Placed.State.SAVING) {
            count++;
          }
        }
      }
    }
    return count;
  }

  /** Used amounts by team, CPUs and GPUs, everything counted that may be on a machine. */
  Map<String, double[]> usage() {
    Map<String, double[]> usage = new HashMap<>();
    for (Host host : hosts.values()) {
      for (Placed task : host.placed.values()) {
        if (task.live() && task.range != null) {
          double[] sum = usage.computeIfAbsent(task.range.record.team(), t -> new double[2]);
          sum[0] += task.range.record.cpus();
          sum[1] += task.range.record.gpus();
        }
      }
    }
    return usage;
  }
}
