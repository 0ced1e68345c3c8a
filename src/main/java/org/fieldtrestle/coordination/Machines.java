package org.fieldtrestle.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.fieldtrestle.bookkeeping.Records;
import org.fieldtrestle.protocol.CloudWire.MachineType;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.Settings;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.protocol.WorkerWire;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A master's machines: what their reports say is on them, the tokens that they have seen, and what
 * they are told. Where tasks are is known from here alone.
 */
final class Machines {
  private static final Logger LOG = LoggerFactory.getLogger(Machines.class);

  private final Master master;
  private final Node node;
  private final Ranges ranges;
  private final CommandPolicy policy;
  private final WorkerCommands commands;
  private final Map<String, Host> hosts = new TreeMap<>();
  private final Usage usage = new Usage();
  private final ImageDownloads downloads;

  /** Those of which we do not know yet what an earlier epoch has left on them. */
  private final Set<Host> unresolved = new LinkedHashSet<>();

  /**
   * Tasks that a machine has reported though they are placed on another one, and that machine. A
   * former holder of this master that does not know of its end may have started them there. Until
   * they are gone there they must not start anywhere else.
   */
  private final Map<TaskId, Host> duplicates = new HashMap<>();

  /**
   * Since when machines could be heard without a break. A controller that stood still, or that was
   * not entitled to answer, has heard of none: their silence before says nothing of them.
   */
  private long listeningSince;

  /** Until when there may be machines that we know nothing of, as their record is damaged. */
  private long unknownUntil;

  Machines(Master master, Ranges ranges) {
    this.master = master;
    this.node = master.node;
    this.ranges = ranges;
    this.policy = master.policy();
    this.commands = new WorkerCommands(master, this, ranges);
    this.downloads = new ImageDownloads(node.settings().workers().reportS());
  }

  Iterable<Host> all() {
    return hosts.values();
  }

  int count() {
    return hosts.size();
  }

  Host get(String id) {
    return hosts.get(id);
  }

  WorkerCommands commands() {
    return commands;
  }

  Usage usage() {
    return usage;
  }

  ImageDownloads downloads() {
    return downloads;
  }

  void forgetMissing(Map<String, ?> by) {
    by.keySet().retainAll(hosts.keySet());
  }

  /** Machines that may hold tasks which an earlier epoch has started. */
  List<Host> unresolved() {
    List<Host> all = new ArrayList<>();
    for (Host host : unresolved) {
      if (!host.lost) {
        all.add(host);
      }
    }
    return all;
  }

  /** Up to when we know that nobody else has acted as this master. */
  private long oursUntil() {
    return Math.min(node.now(), node.view().freshAt());
  }

  boolean anyUnresolved() {
    return oursUntil() < unknownUntil || !unresolved().isEmpty();
  }

  /** The epoch begins: what was there before it is ours to find out. */
  void inherit() {
    node.view().machines().keySet().forEach(id -> sync(id, true));
    if (node.view().rosterDamaged(master.name)) {
      unknownUntil = node.now() + master.othersActMs() + leaseMs();
    }
  }

  /** After so long without an answer of ours, nothing is on a machine any more. */
  private long leaseMs() {
    return Math.round(node.settings().workerLeaseMs() * (1 + Settings.DRIFT)) + node.reportMs(0.2);
  }

  private void resolved(Host host) {
    host.resolved = true;
    unresolved.remove(host);
  }

  // ---- records

  /**
   * Follows the record of a machine.
   *
   * @param inherited everything that is known was there before this epoch began
   */
  void sync(String id, boolean inherited) {
    Records.Machine record = node.view().machines().get(id);
    Host host = hosts.get(id);
    if (record == null || !record.master().equals(master.name)) {
      if (host != null) {
        loseTasks(host, "its record is gone");
        hosts.remove(id);
        unresolved.remove(host);
        commands.forget(host);
      }
      return;
    }
    if (host == null) {
      host =
          new Host(
              id,
              record.type(),
              record.zone(),
              record.spot(),
              master.firstToken(),
              node.now(),
              usage);
      host.rentedAgo(Math.max(0, node.reactor().wall() - record.sinceWall()));
      if (inherited) {
        host.leaseFrom = node.now() + master.othersActMs();
      }
      hosts.put(id, host);
      // One that came up in this epoch cannot have been given anything before it.
      if (inherited && record.up()) {
        unresolved.add(host);
      } else {
        host.resolved = true;
      }
    }
    if (!host.up && record.up()) {
      host.idleSince = node.now();
      master.passSoon();
    }
    host.up = record.up();
  }

  boolean mayStart(Host host) {
    return host.up && !host.lost && !host.returning && host.seenToken >= master.firstToken();
  }

  boolean usable(Host host, long now) {
    return host.resolved
        && mayStart(host)
        && !host.draining
        && host.deafSince < 0
        && now >= host.quarantineUntil
        && now - host.heardAt <= node.reportMs(2.5);
  }

  /** Nobody could be heard until now. */
  void heardNobody(long now) {
    listeningSince = now;
  }

  /** For how long a machine has said nothing though it would have been heard. */
  long silentFor(Host host, long now) {
    return now - Math.max(Math.max(host.heardAt, host.leaseFrom), listeningSince);
  }

  /** For how long something has been as it is while the machine could have shown otherwise. */
  long listenedFor(long since, long now) {
    return now - Math.max(since, listeningSince);
  }

  /** CPUs of all machines that are or will be of use. */
  double capacity() {
    double capacity = 0;
    for (Host host : hosts.values()) {
      MachineType type = node.type(host.type);
      if (type != null && !host.draining && !host.lost) {
        capacity += type.cpus();
      }
    }
    return capacity;
  }

  /** The free amounts of all machines that may be given tasks. */
  List<Host.Room> rooms(long now) {
    List<Host.Room> rooms = new ArrayList<>();
    for (Host host : hosts.values()) {
      if (usable(host, now)) {
        MachineType type = node.type(host.type);
        if (type != null) {
          rooms.add(host.room(type));
        }
      }
    }
    return rooms;
  }

  private void markUp(Host host) {
    if (!host.up && !host.markingUp) {
      host.markingUp = true;
      LOG.debug("machine {} is up after {} s", host.id, host.ageMs(node.now()) / 1000);
      master.roster().up(host.id);
    }
  }

  // ---- reports

  /** What becomes of a report. */
  enum Heard {
    /** Not to be answered with 200: nothing of it counts. */
    REFUSED,
    /** Nothing has changed by it. */
    STEADY,
    /** Room may have become free. */
    CHANGED
  }

  /** A worker reports. */
  Heard reported(Host host, WorkerWire.Report report) {
    long now = node.now();
    if (report.token() > host.token) {
      LOG.warn("machine {} has seen token {}, above ours", host.id, report.token());
      if (report.token() >= master.firstTokenOfNext()) {
        return Heard.REFUSED;
      }
      host.token = report.token();
    }
    if (report.session() == host.session
        ? report.seq() <= host.reportSeq
            || report.seq() < host.seq && now - host.heardAt > WorkerWire.ANSWER_WITHIN_MS
        : report.session() < host.session) {
      // A copy of one that came before, or so late that its worker no longer waits for an answer:
      // a 200 would make us count a lease that the worker does not.
      return Heard.REFUSED;
    }
    boolean changed = learn(host, report);
    listen(host, report, now);
    host.reportSeq = Math.max(host.reportSeq, report.seq());
    markUp(host);
    return changed ? Heard.CHANGED : Heard.STEADY;
  }

  boolean resolvedNow(Host host) {
    return host.resolved && host.seenToken >= master.firstToken();
  }

  /** The orders in the answer to a report, which renews the machine's lease. */
  List<WorkerWire.Command> answer(Host host) {
    host.leaseFrom = Math.max(host.leaseFrom, node.now());
    if (!resolvedNow(host)) {
      return List.of();
    }
    List<WorkerWire.Command> orders = commands.ordersFor(host);
    for (WorkerWire.Command order : orders) {
      PlacedTask task = host.placed(order.task());
      if (task != null && order instanceof WorkerWire.Start) {
        task.answeredSeq = host.seq;
      }
    }
    return orders;
  }

  /** Takes in a report, or the report in the answer to a direct command. */
  boolean learn(Host host, WorkerWire.Report report) {
    long now = node.now();
    if (!report.newerThan(host.session, host.seq)) {
      return false;
    }
    if (host.lost && report.session() == host.session) {
      return false; // sent before its lease ran out, and late
    }
    boolean changed = host.lost;
    host.heardAt = now;
    host.lost = false;
    host.seq = report.seq();
    host.address = report.address();
    host.seenToken = Math.max(host.seenToken, report.token());
    notice(host, report.noticeS());
    if (report.session() != host.session) {
      changed = true;
      host.reportSeq = -1;
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
    if (report.token() < master.firstToken()) {
      return false; // may still be given commands of an earlier epoch
    }
    if (!host.resolved) {
      resolved(host);
      changed = true;
      LOG.debug("machine {} is known with {} tasks", host.id, report.tasks().size());
    }
    changed |= reconcile(host, report);
    if (!host.empty()) {
      host.idleSince = now;
    }
    if (changed) {
      master.passSoon();
    }
    return changed;
  }

  /**
   * Whether the machine hears us. Its reports prove nothing of that: where two in a row lack what
   * they were to start, it gets a higher token to show, and no more tasks until it does. A worker
   * reports again only once the answer before has come or been given up.
   */
  private void listen(Host host, WorkerWire.Report report, long now) {
    boolean lacks = false;
    boolean has = false;
    for (PlacedTask task : host.placed()) {
      if (task.answeredSeq >= 0 && task.answeredSeq < report.seq()) {
        lacks |= task.state() == PlacedTask.State.STARTING;
        has |= task.state() != PlacedTask.State.STARTING;
        task.answeredSeq = -1;
      }
    }
    if (host.deafSince >= 0) {
      if (host.seenToken >= host.fence) {
        LOG.info("machine {} hears us again", host.id);
        host.deafSince = -1;
        host.unheard = 0;
        master.passSoon();
      }
    } else if (has) {
      host.unheard = 0;
    } else if (lacks && ++host.unheard >= 2) {
      LOG.warn("machine {} does not hear us: what it was to start does not appear", host.id);
      host.deafSince = now;
      host.raiseToken();
    }
  }

  private boolean reconcile(Host host, WorkerWire.Report report) {
    boolean changed = false;
    int shown = 0;
    host.ghosts.clear();
    duplicates.values().removeIf(holder -> holder == host);
    for (WorkerWire.ReportedTask reported : report.tasks()) {
      PlacedTask task = host.placed(reported.task());
      if (task == null || task.attempt != reported.attempt()) {
        task = found(host, reported, task);
        changed |= task != null;
      }
      if (task == null) {
        host.ghosts.add(reported);
        noteDuplicate(host, reported);
      } else {
        shown += task.shownIn == report.seq() ? 0 : 1;
        task.shownIn = report.seq();
        changed |= follow(task, reported);
      }
    }
    if (shown == host.placed().size()) {
      return changed;
    }
    for (PlacedTask task : host.copyOfPlaced()) {
      if (task.shownIn == report.seq()) {
        continue;
      }
      if (!task.live()) {
        if (task.clearable) {
          host.remove(task);
        }
      } else if ((task.state() != PlacedTask.State.STARTING || task.stop) && host.quiet()) {
        // Gone, unless a start of unknown fate may still bring it back.
        ranges.gone(task);
        changed = true;
      }
    }
    return changed;
  }

  private void noteDuplicate(Host host, WorkerWire.ReportedTask reported) {
    OwnedRange range = ranges.of(reported.task());
    if (range != null
        && reported.state() != WorkerWire.TaskState.EXITED
        && !range.isDone(reported.task().index() - range.record.from())) {
      duplicates.put(reported.task(), host);
    }
  }

  /** Whether a task may still be on a machine that it was not placed on. */
  boolean hasDuplicate(OwnedRange range, int offset) {
    return !duplicates.isEmpty()
        && duplicates.containsKey(new TaskId(range.key.job(), range.record.from() + offset));
  }

  /** A task on a machine that we have not placed there in this epoch, or not as this attempt. */
  private PlacedTask found(Host host, WorkerWire.ReportedTask reported, PlacedTask expected) {
    OwnedRange range = ranges.of(reported.task());
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
        host.remove(expected);
      }
      PlacedTask task =
          new PlacedTask(reported.task(), reported.attempt(), host, range, node.now(), 0);
      host.put(task);
      return task;
    }
    if (exited) {
      return null;
    }
    if (expected != null) {
      if (expected.state() != PlacedTask.State.STARTING) {
        return null;
      }
      host.remove(expected);
    }
    PlacedTask task =
        new PlacedTask(
            reported.task(),
            reported.attempt(),
            host,
            range,
            node.now(),
            (node.now() - range.waitingSince) / 1000.0);
    task.startSent = true;
    task.found = true;
    host.put(task);
    range.place(offset, task);
    if (policy.mustStop(range)) {
      commands.stop(task, 0);
    }
    return task;
  }

  /** Takes over a task's reported state; true where it has ended by that. */
  private boolean follow(PlacedTask task, WorkerWire.ReportedTask reported) {
    long now = node.now();
    Host host = task.host;
    task.startSent = true;
    boolean ended = false;
    boolean wasBefore = task.state().beforeImage();
    switch (reported.state()) {
      case FETCHING -> host.moved(task, PlacedTask.State.FETCHING);
      case RUNNING -> {
        if (task.runningSince < 0) {
          task.runningSince = now;
          if (task.fetchBesideS > 0) {
            downloads.came((now - task.placedAt) / 1000.0, task.fetchBesideS);
          }
        }
        host.moved(task, PlacedTask.State.RUNNING);
      }
      case SAVING -> host.moved(task, PlacedTask.State.SAVING);
      case EXITED -> {
        if (task.live()) {
          ended = true;
          host.moved(task, PlacedTask.State.EXITED);
          task.cause = reported.cause();
          ranges.exited(task);
        }
      }
    }
    if (task.range != null && task.range.spec != null && task.live()) {
      MachineType type = node.type(host.type);
      JobSpec spec = task.range.spec;
      if (type != null) {
        host.usesImage(spec.image(), spec.imageGb(), type.cacheGb());
      }
    }
    // An image that has come may be what others wait for.
    return ended || wasBefore && !task.state().beforeImage();
  }

  /** Everything that was on the machine is gone with its session, or with the machine itself. */
  void loseTasks(Host host, String why) {
    host.ghosts.clear();
    duplicates.values().removeIf(holder -> holder == host);
    boolean hostGone = host.lost || host.returning || !node.view().machines().containsKey(host.id);
    int lost = 0;
    for (PlacedTask task : host.copyOfPlaced()) {
      if (task.session != host.session || hostGone) {
        if (task.live()) {
          lost++;
        }
        ranges.gone(task);
      }
    }
    if (lost > 0) {
      node.stats().lost += lost;
      LOG.info("{} tasks on {} are lost: {}", lost, host.id, why);
    }
    master.passSoon();
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
    for (PlacedTask task : host.copyOfPlaced()) {
      if (task.live() && !task.stop && task.range != null && task.range.spec != null) {
        JobSpec spec = task.range.spec;
        double remaining = task.remainingS(node.now(), spec.estimateS());
        if (task.runningSince < 0 || remaining > 1.5 * noticeS) {
          boolean saves = spec.savesWork() && spec.saveS() < noticeS;
          commands.stop(task, saves ? Math.max(spec.saveS(), noticeS * 0.8) : 0);
        }
      }
    }
  }

  /**
   * Machines whose whole lease has passed in silence hold nothing any more; but only as far as the
   * state is followed. Whoever has taken this master meanwhile may have renewed their leases, while
   * we, cut off from the state service, may still act on our other machines for a while.
   */
  void expire() {
    long leaseMs = leaseMs();
    for (Host host : List.copyOf(hosts.values())) {
      if (!host.lost && host.up && oursUntil() - host.leaseFrom > leaseMs) {
        host.lost = true;
        LOG.warn("machine {} has been silent for its whole lease", host.id);
        loseTasks(host, "silent for its lease");
      }
    }
  }
}
