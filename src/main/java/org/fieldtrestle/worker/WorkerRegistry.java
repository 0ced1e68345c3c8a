package org.fieldtrestle.worker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.CloudProtocol.MachineType;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.protocol.WorkerProtocol;
import org.fieldtrestle.state.Records;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A shard's machines: what their reports say is on them, the tokens that they have seen, and what
 * they are told. Where tasks are is known from here alone.
 */
public final class WorkerRegistry {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerRegistry.class);

  private final LeadershipTerm term;
  private final ShardEvents events;
  private final ControllerContext context;
  private final TaskRanges ranges;
  private final CommandPolicy policy;
  private final WorkerCommands commands;
  private final Map<String, Worker> workers = new TreeMap<>();
  private final TeamUsage usage = new TeamUsage();
  private final ImageDownloads downloads;

  /** Those of which we do not know yet what an earlier epoch has left on them. */
  private final Set<Worker> unresolved = new LinkedHashSet<>();

  /**
   * Tasks that a machine has reported though they are placed on another one, and that machine. A
   * former holder of this shard that does not know of its end may have started them there. Until
   * they are gone there they must not start anywhere else.
   */
  private final Map<TaskId, Worker> duplicates = new HashMap<>();

  /**
   * Since when machines could be heard without a break. A controller that stood still, or that was
   * not entitled to answer, has heard of none: their silence before says nothing of them.
   */
  private long listeningSince;

  /** Until when there may be machines that we know nothing of, as their record is damaged. */
  private long unknownUntil;

  public WorkerRegistry(
      ControllerContext context, LeadershipTerm term, TaskRanges ranges, ShardEvents events) {
    this.context = context;
    this.term = term;
    this.events = events;
    this.ranges = ranges;
    this.policy = term.policy();
    this.commands = new WorkerCommands(context, term, this, ranges);
    this.downloads = new ImageDownloads(context.settings().workers().heartbeatIntervalS());
  }

  public Iterable<Worker> all() {
    return workers.values();
  }

  public int count() {
    return workers.size();
  }

  public Worker get(String id) {
    return workers.get(id);
  }

  public WorkerCommands commands() {
    return commands;
  }

  public TeamUsage usage() {
    return usage;
  }

  public ImageDownloads downloads() {
    return downloads;
  }

  public void forgetMissing(Map<String, ?> by) {
    by.keySet().retainAll(workers.keySet());
  }

  /** Machines that may hold tasks which an earlier epoch has started. */
  public List<Worker> unresolved() {
    List<Worker> all = new ArrayList<>();
    for (Worker worker : unresolved) {
      if (!worker.leaseExpired) {
        all.add(worker);
      }
    }
    return all;
  }

  /** Up to when we know that nobody else has acted as this shard. */
  private long leaderUntil() {
    return Math.min(context.now(), context.stateCache().freshAsOf());
  }

  public boolean anyUnresolved() {
    return leaderUntil() < unknownUntil || !unresolved().isEmpty();
  }

  /** The epoch begins: what was there before it is ours to find out. */
  public void inherit() {
    context.stateCache().machines().keySet().forEach(id -> sync(id, true));
    if (context.stateCache().isInventoryDamaged(term.shard())) {
      unknownUntil = context.now() + term.formerLeaderGraceMs() + leaseMs();
    }
  }

  /** After so long without an answer of ours, nothing is on a machine any more. */
  private long leaseMs() {
    return Math.round(context.settings().workerLeaseMs() * (1 + Settings.DRIFT))
        + context.heartbeatIntervalsMs(0.2);
  }

  private void resolved(Worker worker) {
    worker.reconciled = true;
    unresolved.remove(worker);
  }

  // ---- records

  /**
   * Follows the record of a machine.
   *
   * @param inherited everything that is known was there before this epoch began
   */
  public void sync(String id, boolean inherited) {
    Records.Machine record = context.stateCache().machines().get(id);
    Worker worker = workers.get(id);
    if (record == null || !record.shard().equals(term.shard())) {
      if (worker != null) {
        loseTasks(worker, "its record is gone");
        workers.remove(id);
        unresolved.remove(worker);
        commands.forget(worker);
      }
      return;
    }
    if (worker == null) {
      worker =
          new Worker(
              id,
              record.type(),
              record.zone(),
              record.spot(),
              term.firstToken(),
              context.now(),
              usage);
      worker.rentedAgo(Math.max(0, context.reactor().wall() - record.sinceWall()));
      if (inherited) {
        worker.leaseRenewedAt = context.now() + term.formerLeaderGraceMs();
      }
      workers.put(id, worker);
      // One that came up in this epoch cannot have been given anything before it.
      if (inherited && record.up()) {
        unresolved.add(worker);
      } else {
        worker.reconciled = true;
      }
    }
    if (!worker.up && record.up()) {
      worker.idleSince = context.now();
      events.requestPlacementPass();
    }
    worker.up = record.up();
  }

  public boolean mayStart(Worker worker) {
    return worker.up
        && !worker.leaseExpired
        && !worker.terminating
        && worker.seenFencingToken >= term.firstToken();
  }

  public boolean usable(Worker worker, long now) {
    return worker.reconciled
        && mayStart(worker)
        && !worker.draining
        && worker.unresponsiveSince < 0
        && now >= worker.quarantineUntil
        && now - worker.lastHeartbeatAt <= context.heartbeatIntervalsMs(2.5);
  }

  /** Nobody could be heard until now. */
  public void heardNobody(long now) {
    listeningSince = now;
  }

  /** For how long a machine has said nothing though it would have been heard. */
  public long silentFor(Worker worker, long now) {
    return now - Math.max(Math.max(worker.lastHeartbeatAt, worker.leaseRenewedAt), listeningSince);
  }

  /** For how long something has been as it is while the machine could have shown otherwise. */
  public long listenedFor(long since, long now) {
    return now - Math.max(since, listeningSince);
  }

  /** CPUs of all machines that are or will be of use. */
  public double capacity() {
    double capacity = 0;
    for (Worker worker : workers.values()) {
      MachineType type = context.type(worker.machineType);
      if (type != null && !worker.draining && !worker.leaseExpired) {
        capacity += type.cpus();
      }
    }
    return capacity;
  }

  /** The free amounts of all machines that may be given tasks. */
  public List<FreeResources> rooms(long now) {
    List<FreeResources> rooms = new ArrayList<>();
    for (Worker worker : workers.values()) {
      if (usable(worker, now)) {
        MachineType type = context.type(worker.machineType);
        if (type != null) {
          rooms.add(worker.freeResources(type));
        }
      }
    }
    return rooms;
  }

  private void markUp(Worker worker) {
    if (!worker.up && !worker.upWriteInFlight) {
      worker.upWriteInFlight = true;
      LOG.debug("machine {} is up after {} s", worker.id, worker.ageMs(context.now()) / 1000);
      events.machineUp(worker.id);
    }
  }

  // ---- reports

  /** What becomes of a report. */
  public enum Heard {
    /** Not to be answered with 200: nothing of it counts. */
    REFUSED,
    /** Nothing has changed by it. */
    STEADY,
    /** Room may have become free. */
    CHANGED
  }

  /** A worker reports. */
  public Heard reported(Worker worker, WorkerProtocol.Heartbeat report) {
    long now = context.now();
    if (report.token() > worker.fencingToken) {
      LOG.warn("machine {} has seen token {}, above ours", worker.id, report.token());
      if (report.token() >= term.firstTokenOfNextEpoch()) {
        return Heard.REFUSED;
      }
      worker.fencingToken = report.token();
    }
    if (report.session() == worker.incarnation
        ? report.seq() <= worker.heartbeatSequence
            || report.seq() < worker.sequence
                && now - worker.lastHeartbeatAt > WorkerProtocol.ANSWER_WITHIN_MS
        : report.session() < worker.incarnation) {
      // A copy of one that came before, or so late that its worker no longer waits for an answer:
      // a 200 would make us count a lease that the worker does not.
      return Heard.REFUSED;
    }
    boolean changed = learn(worker, report);
    listen(worker, report, now);
    worker.heartbeatSequence = Math.max(worker.heartbeatSequence, report.seq());
    markUp(worker);
    return changed ? Heard.CHANGED : Heard.STEADY;
  }

  boolean resolvedNow(Worker worker) {
    return worker.reconciled && worker.seenFencingToken >= term.firstToken();
  }

  /** The orders in the answer to a report, which renews the machine's lease. */
  public List<WorkerProtocol.Command> answer(Worker worker) {
    worker.leaseRenewedAt = Math.max(worker.leaseRenewedAt, context.now());
    if (!resolvedNow(worker)) {
      return List.of();
    }
    List<WorkerProtocol.Command> orders = commands.ordersFor(worker);
    for (WorkerProtocol.Command order : orders) {
      TaskAttempt task = worker.attempt(order.task());
      if (task != null && order instanceof WorkerProtocol.Start) {
        task.answeredSeq = worker.sequence;
      }
    }
    return orders;
  }

  /** Takes in a report, or the report in the answer to a direct command. */
  boolean learn(Worker worker, WorkerProtocol.Heartbeat report) {
    long now = context.now();
    if (!report.newerThan(worker.incarnation, worker.sequence)) {
      return false;
    }
    if (worker.leaseExpired && report.session() == worker.incarnation) {
      return false; // sent before its lease ran out, and late
    }
    boolean changed = worker.leaseExpired;
    worker.lastHeartbeatAt = now;
    worker.leaseExpired = false;
    worker.sequence = report.seq();
    worker.address = report.address();
    worker.seenFencingToken = Math.max(worker.seenFencingToken, report.token());
    notice(worker, report.noticeS());
    if (report.session() != worker.incarnation) {
      changed = true;
      worker.heartbeatSequence = -1;
      if (worker.incarnation >= 0) {
        LOG.info("machine {} is in session {} now", worker.id, report.session());
        worker.incarnation = report.session();
        loseTasks(worker, "its lease ran out");
      }
      worker.incarnation = report.session();
      // A session's lease runs from when it began, which may be just now, whoever answers: what is
      // given to it by a direct command must not be taken for lost with the session before.
      worker.leaseRenewedAt = Math.max(worker.leaseRenewedAt, now);
    }
    if (report.token() < term.firstToken()) {
      return false; // may still be given commands of an earlier epoch
    }
    if (!worker.reconciled) {
      resolved(worker);
      changed = true;
      LOG.debug("machine {} is known with {} tasks", worker.id, report.tasks().size());
    }
    changed |= reconcile(worker, report);
    if (!worker.empty()) {
      worker.idleSince = now;
    }
    if (changed) {
      events.requestPlacementPass();
    }
    return changed;
  }

  /**
   * Whether the machine hears us. Its reports prove nothing of that: where two in a row lack what
   * they were to start, it gets a higher token to show, and no more tasks until it does. A worker
   * reports again only once the answer before has come or been given up.
   */
  private void listen(Worker worker, WorkerProtocol.Heartbeat report, long now) {
    boolean lacks = false;
    boolean has = false;
    for (TaskAttempt task : worker.attempts()) {
      if (task.answeredSeq >= 0 && task.answeredSeq < report.seq()) {
        lacks |= task.state() == TaskAttempt.State.STARTING;
        has |= task.state() != TaskAttempt.State.STARTING;
        task.answeredSeq = -1;
      }
    }
    if (worker.unresponsiveSince >= 0) {
      if (worker.seenFencingToken >= worker.requiredFencingToken) {
        LOG.info("machine {} hears us again", worker.id);
        worker.unresponsiveSince = -1;
        worker.unacknowledgedAnswers = 0;
        events.requestPlacementPass();
      }
    } else if (has) {
      worker.unacknowledgedAnswers = 0;
    } else if (lacks && ++worker.unacknowledgedAnswers >= 2) {
      LOG.warn("machine {} does not hear us: what it was to start does not appear", worker.id);
      worker.unresponsiveSince = now;
      worker.raiseToken();
    }
  }

  private boolean reconcile(Worker worker, WorkerProtocol.Heartbeat report) {
    boolean changed = false;
    int shown = 0;
    worker.unknownTasks.clear();
    duplicates.values().removeIf(holder -> holder == worker);
    for (WorkerProtocol.ReportedTask reported : report.tasks()) {
      TaskAttempt task = worker.attempt(reported.task());
      if (task == null || task.attempt != reported.attempt()) {
        task = found(worker, reported, task);
        changed |= task != null;
      }
      if (task == null) {
        worker.unknownTasks.add(reported);
        noteDuplicate(worker, reported);
      } else {
        shown += task.shownIn == report.seq() ? 0 : 1;
        task.shownIn = report.seq();
        changed |= follow(task, reported);
      }
    }
    if (shown == worker.attempts().size()) {
      return changed;
    }
    for (TaskAttempt task : worker.copyOfAttempts()) {
      if (task.shownIn == report.seq()) {
        continue;
      }
      if (!task.live()) {
        if (task.clearable) {
          worker.remove(task);
        }
      } else if ((task.state() != TaskAttempt.State.STARTING || task.stop)
          && worker.hasNoCommandInFlight()) {
        // Gone, unless a start of unknown fate may still bring it back.
        ranges.gone(task);
        changed = true;
      }
    }
    return changed;
  }

  private void noteDuplicate(Worker worker, WorkerProtocol.ReportedTask reported) {
    TaskRange range = ranges.of(reported.task());
    if (range != null
        && reported.state() != WorkerProtocol.TaskState.EXITED
        && !range.isDone(reported.task().index() - range.record.from())) {
      duplicates.put(reported.task(), worker);
    }
  }

  /** Whether a task may still be on a machine that it was not placed on. */
  public boolean hasDuplicate(TaskRange range, int offset) {
    return !duplicates.isEmpty()
        && duplicates.containsKey(new TaskId(range.key.job(), range.record.from() + offset));
  }

  /** A task on a machine that we have not placed there in this epoch, or not as this attempt. */
  private TaskAttempt found(
      Worker worker, WorkerProtocol.ReportedTask reported, TaskAttempt expected) {
    TaskRange range = ranges.of(reported.task());
    boolean exited = reported.state() == WorkerProtocol.TaskState.EXITED;
    if (range == null) {
      return null;
    }
    int offset = reported.task().index() - range.record.from();
    if (range.isDone(offset) || (expected == null && range.placed.containsKey(offset))) {
      if (!exited && range.placed.containsKey(offset)) {
        LOG.error("task {} is on {} and on another machine", reported.task(), worker.id);
      }
      return null;
    }
    if (exited && reported.cause() == WorkerProtocol.Cause.DONE) {
      if (expected != null) {
        worker.remove(expected);
      }
      TaskAttempt task =
          new TaskAttempt(reported.task(), reported.attempt(), worker, range, context.now(), 0);
      worker.put(task);
      return task;
    }
    if (exited) {
      return null;
    }
    if (expected != null) {
      if (expected.state() != TaskAttempt.State.STARTING) {
        return null;
      }
      worker.remove(expected);
    }
    TaskAttempt task =
        new TaskAttempt(
            reported.task(),
            reported.attempt(),
            worker,
            range,
            context.now(),
            (context.now() - range.waitingSince) / 1000.0);
    task.startSent = true;
    task.found = true;
    worker.put(task);
    range.place(offset, task);
    if (policy.mustStop(range)) {
      commands.stop(task, 0);
    }
    return task;
  }

  /** Takes over a task's reported state; true where it has ended by that. */
  private boolean follow(TaskAttempt task, WorkerProtocol.ReportedTask reported) {
    long now = context.now();
    Worker worker = task.worker;
    task.startSent = true;
    boolean ended = false;
    boolean wasBefore = task.state().beforeImage();
    switch (reported.state()) {
      case FETCHING -> worker.moved(task, TaskAttempt.State.FETCHING);
      case RUNNING -> {
        if (task.runningSince < 0) {
          task.runningSince = now;
          if (task.fetchBesideS > 0) {
            downloads.came((now - task.placedAt) / 1000.0, task.fetchBesideS);
          }
        }
        worker.moved(task, TaskAttempt.State.RUNNING);
      }
      case SAVING -> worker.moved(task, TaskAttempt.State.SAVING);
      case EXITED -> {
        if (task.live()) {
          ended = true;
          worker.moved(task, TaskAttempt.State.EXITED);
          task.cause = reported.cause();
          ranges.exited(task);
        }
      }
    }
    if (task.range != null && task.range.spec != null && task.live()) {
      MachineType type = context.type(worker.machineType);
      JobSpec spec = task.range.spec;
      if (type != null) {
        worker.usesImage(spec.image(), spec.imageGb(), type.cacheGb());
      }
    }
    // An image that has come may be what others wait for.
    return ended || wasBefore && !task.state().beforeImage();
  }

  /** Everything that was on the machine is gone with its session, or with the machine itself. */
  public void loseTasks(Worker worker, String why) {
    worker.unknownTasks.clear();
    duplicates.values().removeIf(holder -> holder == worker);
    boolean hostGone =
        worker.leaseExpired
            || worker.terminating
            || !context.stateCache().machines().containsKey(worker.id);
    int lost = 0;
    for (TaskAttempt task : worker.copyOfAttempts()) {
      if (task.session != worker.incarnation || hostGone) {
        if (task.live()) {
          lost++;
        }
        ranges.gone(task);
      }
    }
    if (lost > 0) {
      context.metrics().countLost(lost);
      LOG.info("{} tasks on {} are lost: {}", lost, worker.id, why);
    }
    events.requestPlacementPass();
  }

  private void notice(Worker worker, double noticeS) {
    if (noticeS < 0) {
      return;
    }
    worker.spotNoticeUntil = context.now() + Math.round(noticeS * 1000);
    if (!worker.draining) {
      worker.drain("spot notice");
      LOG.info("machine {} will be taken in {} s", worker.id, noticeS);
    }
    for (TaskAttempt task : worker.copyOfAttempts()) {
      if (task.live() && !task.stop && task.range != null && task.range.spec != null) {
        JobSpec spec = task.range.spec;
        double remaining = task.remainingS(context.now(), spec.estimateS());
        if (task.runningSince < 0 || remaining > 1.5 * noticeS) {
          boolean saves = spec.hasCheckpoints() && spec.saveS() < noticeS;
          commands.stop(task, saves ? Math.max(spec.saveS(), noticeS * 0.8) : 0);
        }
      }
    }
  }

  /**
   * Machines whose whole lease has passed in silence hold nothing any more; but only as far as the
   * state is followed. Whoever has taken this shard meanwhile may have renewed their leases, while
   * we, cut off from the state service, may still act on our other machines for a while.
   */
  public void expire() {
    long leaseMs = leaseMs();
    for (Worker worker : List.copyOf(workers.values())) {
      if (!worker.leaseExpired && worker.up && leaderUntil() - worker.leaseRenewedAt > leaseMs) {
        worker.leaseExpired = true;
        LOG.warn("machine {} has been silent for its whole lease", worker.id);
        loseTasks(worker, "silent for its lease");
      }
    }
  }
}
