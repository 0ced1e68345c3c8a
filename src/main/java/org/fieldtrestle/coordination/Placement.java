package org.fieldtrestle.coordination;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.protocol.CloudWire.MachineType;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.Priority;
import org.fieldtrestle.protocol.TaskId;

/**
 * Which waiting task goes where. A pass takes the machines with room and the waiting ranges as they
 * are, and costs what there is of these: full machines and tasks alike are not looked at one by
 * one.
 */
final class Placement {
  /** Share of all CPUs that is kept for classes that hurry at the most. */
  private static final double RESERVED_AT_MOST = 0.25;

  /** A machine that has the image is waited for during this share of a fetch in any case. */
  private static final double PATIENCE = 0.4;

  /** Or during this share of the time that the deadline leaves, but for no more fetches than so. */
  private static final double PATIENT_SLACK = 0.6;

  private static final double PATIENT_FETCHES = 3;

  /** A job counts as late once this share of its estimate no longer fits before its deadline. */
  private static final double LATE_AT = 0.7;

  /** Share of its slack after which a task that hurries takes a busy line, though it is shared. */
  private static final double SHARES_FROM = 0.5;

  /** Share of its slack after which a task no longer leaves room to those whose image is there. */
  private static final double PRESSING = 0.9;

  /**
   * A job of which nothing has begun after so many boots of a machine, one after the other, gets
   * its first task placed before all others: priorities come before scores here, so that however
   * much it ages, a burst of a higher one could keep it from beginning at all.
   */
  private static final double OVERDUE_BOOTS = 3;

  /**
   * Worker leases for which a range may wait, none of its tasks starting or ending, beside free
   * room that is reserved for urgent classes. After that one of its tasks may take reserved room.
   */
  private static final double RESERVE_YIELDS_AFTER_LEASES = 2;

  /** What a pass decides. */
  interface Decisions {
    /** A task goes to a machine; a whole job's tasks go under one attempt. */
    void place(OwnedRange range, int offset, Host host, long attempt);

    long nextAttempt();

    void stop(PlacedTask task, double graceS);
  }

  private final Node node;
  private final String master;
  private final CommandPolicy policy;
  private final Falcon falcon;
  private final Machines machines;
  private final Ranges ranges;
  private final Shares shares;
  private final FailureTracker failures;
  private final ImageDownloads downloads;
  private final Decisions decisions;
  private final Eviction eviction;
  private double urgentCpus;
  private long steps;

  Placement(
      Node node,
      String master,
      CommandPolicy policy,
      Falcon falcon,
      Machines machines,
      Ranges ranges,
      Shares shares,
      FailureTracker failures,
      ImageDownloads downloads,
      Decisions decisions) {
    this.node = node;
    this.master = master;
    this.policy = policy;
    this.falcon = falcon;
    this.machines = machines;
    this.ranges = ranges;
    this.shares = shares;
    this.failures = failures;
    this.downloads = downloads;
    this.decisions = decisions;
    this.eviction = new Eviction(node, falcon, machines, shares, failures, decisions);
  }

  /** Some tasks of a range that have waited equally long. */
  record Group(OwnedRange range, int offset, boolean overdue) {
    Group(OwnedRange range, int offset) {
      this(range, offset, false);
    }

    boolean isFresh() {
      return offset < 0;
    }

    /** The task of it that goes next; below 0 where none is left. */
    int first() {
      return isFresh() ? range.fresh.nextSetBit(0) : offset;
    }

    double waitedS(long now) {
      long since = isFresh() ? range.waitingSince : range.retries.get(offset).waitingSince;
      return (now - since) / 1000.0;
    }
  }

  /** What one pass knows beside the machines' room. */
  private final class Pass {
    final long now;
    final List<Host.Room> rooms = new ArrayList<>();
    final Map<String, Double> workByImage = new HashMap<>();
    final Map<OwnedRange, Boolean> patient = new HashMap<>();
    double free;
    double all;
    final double reserve;

    Pass(long now, List<Falcon.Waiting<Group>> groups) {
      this.now = now;
      double cpus = Double.MAX_VALUE;
      double gpus = Double.MAX_VALUE;
      double memoryGb = Double.MAX_VALUE;
      for (Falcon.Waiting<Group> one : groups) {
        JobSpec spec = one.what().range().spec;
        cpus = Math.min(cpus, spec.cpus());
        gpus = Math.min(gpus, spec.gpus());
        memoryGb = Math.min(memoryGb, spec.memoryGb());
        workByImage.merge(spec.image(), one.count() * spec.estimateS(), Double::sum);
      }
      for (Host.Room room : machines.rooms(now)) {
        free += room.cpus();
        all += room.type.cpus();
        if (room.has(cpus, gpus, memoryGb)) { // a full machine is of no use to any of them
          rooms.add(room);
        }
      }
      reserve = reserve();
    }

    void take(Host.Room room, JobSpec spec) {
      free -= Math.min(room.cpus(), spec.cpus());
      room.take(spec);
      workByImage.merge(spec.image(), -spec.estimateS(), Double::sum);
    }

    /** Whether the room that is left is kept for classes that hurry. */
    boolean kept(JobSpec spec) {
      // On machines that run nothing, a task larger than what is not kept would wait for ever.
      return urgentCpus > 0
          && !node.hurried(spec)
          && free - spec.cpus() < reserve
          && free < all - 1e-6;
    }

    /** Whether some machine has room for a task of the range, reserved or not. */
    boolean hasRoomFor(OwnedRange range) {
      int offset = range.firstWaiting();
      for (Host.Room room : rooms) {
        if (room.fits(range.spec) && allowed(failures, range, offset, room.host)) {
          return true;
        }
      }
      return false;
    }
  }

  /** A range that is new here. */
  void arrived(OwnedRange range) {
    if (range.spec != null && node.hurried(range.spec) && range.key.index() == 0) {
      double cpus = range.spec.cpus() * range.spec.tasks();
      urgentCpus = urgentCpus == 0 ? cpus : urgentCpus * 0.8 + cpus * 0.2;
    }
  }

  /**
   * CPUs kept free of tasks that may wait, for classes that are to start within some time: as much
   * as one of their jobs usually takes, in all masters together.
   */
  double reserve() {
    double mine = machines.capacity();
    double part = mine / Math.max(1, mine + node.loads().capacityOfOthers(master));
    return Math.min(urgentCpus * node.tuning().reserve() * part, mine * RESERVED_AT_MOST);
  }

  /** Places what fits and lets what does not evict; does nothing where nothing waits. */
  void pass(long now) {
    List<Falcon.Waiting<Group>> groups = waiting(now);
    if (groups.isEmpty()) {
      return;
    }
    Pass pass = new Pass(now, groups);
    // Machines that have the image first: a task that would fetch takes no room that another, whose
    // image is there, waits for as well.
    List<Falcon.Waiting<Group>> without = fill(pass, groups, true);
    List<Falcon.Waiting<Group>> stuck = fill(pass, without, false);
    eviction.evict(stuck, now);
  }

  private List<Falcon.Waiting<Group>> waiting(long now) {
    List<Falcon.Waiting<Group>> groups = new ArrayList<>();
    for (OwnedRange range : ranges.all()) {
      if (range.spec == null || range.waiting() == 0 || !mayStart(range)) {
        continue;
      }
      JobSpec spec = range.spec;
      if (spec.kind() == JobSpec.Kind.GANG) {
        if (range.placed.isEmpty()
            && range.waiting() > 0
            && range.mayRetryAll(now)
            && range.retries.keySet().intStream().noneMatch(o -> machines.hasDuplicate(range, o))) {
          groups.add(
              new Falcon.Waiting<>(
                  new Group(range, -1),
                  spec.priority(),
                  falcon.score(spec.estimateS(), (now - range.waitingSince) / 1000.0),
                  range.waiting()));
        } else if (range.waiting() > 0) {
          // One of them was lost: the rest cannot go on without it.
          List.copyOf(range.placed.values()).forEach(task -> decisions.stop(task, spec.saveS()));
        }
        continue;
      }
      int fresh = range.fresh.cardinality();
      if (fresh > 0 && overdue(range, now)) {
        fresh--;
        groups.add(
            new Falcon.Waiting<>(
                new Group(range, -1, true),
                Priority.CRITICAL,
                falcon.score(spec.estimateS(), (now - range.waitingSince) / 1000.0),
                1));
      }
      if (fresh > 0) {
        groups.add(
            new Falcon.Waiting<>(
                new Group(range, -1),
                spec.priority(),
                falcon.score(spec.estimateS(), counted(spec, range, range.waitingSince, now)),
                fresh));
      }
      for (var retry : range.retries.int2ObjectEntrySet()) {
        if (retry.getValue().notBefore <= now && !machines.hasDuplicate(range, retry.getIntKey())) {
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

  private boolean mayStart(OwnedRange range) {
    if (ranges.blocked(range)) {
      policy.refused(CommandPolicy.StartRefusal.MACHINES_UNRESOLVED);
      return false;
    }
    return policy.mayStart(range);
  }

  private boolean overdue(OwnedRange range, long now) {
    return range.placed.isEmpty()
        && range.retries.isEmpty()
        && range.finished.isEmpty()
        && range.record.done().isEmpty()
        && now - range.waitingSince > node.bootS() * 1000 * OVERDUE_BOOTS
        && node.view().rangesOf(range.key.job()).firstKey() == range.key.index();
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

  /** Places what fits and returns what does not. */
  private List<Falcon.Waiting<Group>> fill(
      Pass pass, List<Falcon.Waiting<Group>> groups, boolean withImage) {
    long step = ++steps;
    List<Falcon.Waiting<Group>> stuck = new ArrayList<>();
    Falcon.Queue<Group> queue = falcon.new Queue<>(groups);
    for (Falcon.Slot<Group> slot = queue.next(); slot != null; slot = queue.next()) {
      Falcon.Waiting<Group> next = slot.group();
      OwnedRange range = next.what().range();
      if (range.spec.kind() == JobSpec.Kind.GANG) {
        slot.takeAll();
        placeGang(pass, range);
        continue;
      }
      Host.Room room = null;
      // Room only shrinks within a step: what one task of a range did not find, none finds.
      if (range.noRoomIn != step
          && shares.allows(range.spec)
          && (next.what().overdue() || !pass.kept(range.spec) || reserveYieldsTo(pass, range))) {
        room = choose(pass, next.what(), next.what().first());
        if (room == null) {
          range.noRoomIn = step;
        } else if (!room.host.hasImage(range.spec.image())
            && !room.host.claimedBy(range, pass.now)
            && !next.what().overdue()
            && (withImage ? !pressing(next.what(), pass.now) : patient(pass, range))) {
          room = null;
        }
      }
      if (room == null) {
        // What found no room evicts by its own priority, though it may have been drawn by a higher.
        Priority priority = withImage ? next.priority() : range.spec.priority();
        stuck.add(new Falcon.Waiting<>(next.what(), priority, next.score(), slot.takeAll()));
        continue;
      }
      slot.takeOne();
      int offset = next.what().first();
      decisions.place(range, offset, room.host, decisions.nextAttempt());
      range.placed.get(offset).spared = next.what().overdue();
      pass.take(room, range.spec);
    }
    return stuck;
  }

  /**
   * Whether the reserve gives way to a range that has stood still beside reserved room for too
   * long. Users see free room, whatever it is reserved for, and expect nothing to wait beside it
   * for long; a range whose tasks start or end now and then is not standing still.
   */
  private boolean reserveYieldsTo(Pass pass, OwnedRange range) {
    if (!pass.hasRoomFor(range)) {
      range.withheldSince = OwnedRange.NOT_WITHHELD;
      return false;
    }
    if (range.withheldSince == OwnedRange.NOT_WITHHELD) {
      range.withheldSince = pass.now;
    }
    long patienceMs =
        Math.round(
            Math.min(
                node.settings().workerLeaseMs() * RESERVE_YIELDS_AFTER_LEASES,
                node.bootS() * 1000));
    return pass.now - range.withheldSince > patienceMs;
  }

  /** Whether a task has waited for so much of its slack that it takes any room there is. */
  private boolean pressing(Group group, long now) {
    return node.hurried(group.range().spec) || usedUp(group, now) > PRESSING;
  }

  /** The share of its slack that a task has waited for. */
  private double usedUp(Group group, long now) {
    JobSpec spec = group.range().spec;
    double fetchS = node.fetchS(spec);
    double slack = spec.deadlineS() < 0 ? 4 * fetchS : spec.deadlineS() - spec.estimateS() - fetchS;
    return group.waitedS(now) / Math.max(node.tuning().floorS(), slack);
  }

  /** All tasks of a gang at once, or none. */
  private void placeGang(Pass pass, OwnedRange range) {
    BitSet all = (BitSet) range.fresh.clone();
    range.retries.keySet().forEach(all::set);
    if (!shares.allows(range.spec, all.cardinality())) {
      return;
    }
    Map<Integer, Host.Room> chosen = new TreeMap<>();
    for (int offset = all.nextSetBit(0); offset >= 0; offset = all.nextSetBit(offset + 1)) {
      Host.Room room = choose(pass, new Group(range, offset), offset);
      if (room == null) {
        chosen.values().forEach(taken -> taken.giveBack(range.spec));
        return;
      }
      room.take(range.spec);
      chosen.put(offset, room);
    }
    // One attempt for all: a gang's tasks know each other by it.
    long attempt = decisions.nextAttempt();
    chosen.forEach((offset, room) -> decisions.place(range, offset, room.host, attempt));
  }

  /**
   * Whether tasks of a range do better to wait for machines that have their image than to have it
   * fetched by another: those that have it get through everything that waits for it before a fetch
   * would end. Our exception to the paper, which leaves data locality open.
   */
  private boolean patient(Pass pass, OwnedRange range) {
    return pass.patient.computeIfAbsent(range, r -> patientFor(pass, r));
  }

  private boolean patientFor(Pass pass, OwnedRange range) {
    JobSpec spec = range.spec;
    if (node.hurried(spec)) {
      return false;
    }
    double fetchS = 0;
    double slots = 0;
    for (Host host : machines.all()) {
      if (!host.hasImage(spec.image()) || !machines.mayStart(host) || host.draining) {
        continue;
      }
      MachineType type = node.type(host.type);
      if (type != null) {
        slots += slotsFor(host, type, spec);
        fetchS = Math.max(fetchS, Fleet.fetchS(type, spec));
      }
    }
    double patience = fetchS * PATIENCE;
    if (spec.deadlineS() >= 0) {
      double left = spec.deadlineS() - spec.estimateS() - (pass.now - range.waitingSince) / 1000.0;
      patience = Math.max(patience, Math.min(left * PATIENT_SLACK, fetchS * PATIENT_FETCHES));
    }
    return slots > 0 && pass.workByImage.getOrDefault(spec.image(), 0.0) / slots < patience;
  }

  /**
   * Tasks of a job that a machine has room for, counting what tasks of the same image will leave.
   */
  private static double slotsFor(Host host, MachineType type, JobSpec spec) {
    double others = 0;
    for (PlacedTask task : host.placed()) {
      if (task.live()
          && (task.range == null
              || task.range.spec == null
              || !task.range.spec.image().equals(spec.image()))) {
        others += task.cpus;
      }
    }
    int all = Fleet.perMachine(type, spec);
    return spec.cpus() > 0 ? Math.min(all, Math.floor((type.cpus() - others) / spec.cpus())) : all;
  }

  static boolean allowed(FailureTracker failures, OwnedRange range, int offset, Host host) {
    JobSpec spec = range.spec;
    return (spec.types().isEmpty() || spec.types().contains(host.type))
        && (spec.spot() || !host.spot)
        && range.zoneAllows(host.zone)
        && host.placed(new TaskId(range.key.job(), range.record.from() + offset)) == null
        && !failures.avoids(range, host);
  }

  /** The fitting machine with the least room left, of those that have the image if any has it. */
  private Host.Room choose(Pass pass, Group group, int offset) {
    OwnedRange range = group.range();
    JobSpec spec = range.spec;
    // Two fetches at once share the line: both tasks start when the later would have anyway. One
    // that hurries goes there all the same, unless downloads were seen to be shared: then its small
    // image takes as long as a large one beside it, and who has it will have room before.
    boolean hurried =
        node.hurried(spec) && (!downloads.shared() || usedUp(group, pass.now) > SHARES_FROM);
    Host.Room best = null;
    boolean bestHas = false;
    double bestLeft = 0;
    for (Host.Room room : pass.rooms) {
      if (!room.fits(spec) || room.host.claimedFrom(range, pass.now)) {
        continue;
      }
      boolean has = room.host.hasImage(spec.image());
      boolean shares = !hurried && room.host.fetching() && !room.host.claimedBy(range, pass.now);
      if (!has && (bestHas || shares)) {
        continue;
      }
      double left = room.after(spec);
      if ((best == null
              || (has && !bestHas)
              || (has == bestHas && closer(room, left, best, bestLeft, has)))
          && allowed(failures, range, offset, room.host)) {
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
}
