package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.metrics.StartRefusal;
import org.fieldtrestle.protocol.CloudProtocol.MachineType;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.Priority;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.worker.CommandPolicy;
import org.fieldtrestle.worker.FailureTracker;
import org.fieldtrestle.worker.FreeResources;
import org.fieldtrestle.worker.ImageDownloads;
import org.fieldtrestle.worker.TaskAttempt;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.TaskRanges;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;

/**
 * Which waiting task goes where. A pass takes the machines with room and the waiting ranges as they
 * are, and costs what there is of these: full machines and tasks alike are not looked at one by
 * one.
 */
public final class TaskPlacer {
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
  public interface Decisions {
    /** A task goes to a machine; a whole job's tasks go under one attempt. */
    void place(TaskRange range, int offset, Worker worker, long attempt);

    long nextAttempt();

    void stop(TaskAttempt task, double graceS);
  }

  private final ControllerContext context;
  private final String shard;
  private final CommandPolicy policy;
  private final SelectivePreemption falcon;
  private final WorkerRegistry machines;
  private final TaskRanges ranges;
  private final QuotaShares shares;
  private final FailureTracker failures;
  private final ImageDownloads downloads;
  private final Decisions decisions;
  private final Preemptor eviction;
  private double urgentCpus;
  private long steps;

  public TaskPlacer(
      ControllerContext context,
      String shard,
      CommandPolicy policy,
      SelectivePreemption falcon,
      WorkerRegistry machines,
      TaskRanges ranges,
      QuotaShares shares,
      FailureTracker failures,
      ImageDownloads downloads,
      Decisions decisions) {
    this.context = context;
    this.shard = shard;
    this.policy = policy;
    this.falcon = falcon;
    this.machines = machines;
    this.ranges = ranges;
    this.shares = shares;
    this.failures = failures;
    this.downloads = downloads;
    this.decisions = decisions;
    this.eviction = new Preemptor(context, falcon, machines, shares, failures, decisions);
  }

  /** Some tasks of a range that have waited equally long. */
  record Group(TaskRange range, int offset, boolean overdue) {
    Group(TaskRange range, int offset) {
      this(range, offset, false);
    }

    boolean isFresh() {
      return offset < 0;
    }

    /** The task of it that goes next; below 0 where none is left. */
    int first() {
      return isFresh() ? range.fresh().nextSetBit(0) : offset;
    }

    double waitedS(long now) {
      long since = isFresh() ? range.waitingSince() : range.retries().get(offset).waitingSince();
      return (now - since) / 1000.0;
    }
  }

  /** What one pass knows beside the machines' room. */
  private final class Pass {
    final long now;
    final List<FreeResources> rooms = new ArrayList<>();
    final Map<String, Double> workByImage = new HashMap<>();
    final Map<TaskRange, Boolean> patient = new HashMap<>();
    double free;
    double all;
    final double reserve;

    Pass(long now, List<SelectivePreemption.Waiting<Group>> groups) {
      this.now = now;
      double cpus = Double.MAX_VALUE;
      double gpus = Double.MAX_VALUE;
      double memoryGb = Double.MAX_VALUE;
      for (SelectivePreemption.Waiting<Group> one : groups) {
        JobSpec spec = one.what().range().spec();
        cpus = Math.min(cpus, spec.cpus());
        gpus = Math.min(gpus, spec.gpus());
        memoryGb = Math.min(memoryGb, spec.memoryGb());
        workByImage.merge(spec.image(), one.count() * spec.estimateS(), Double::sum);
      }
      for (FreeResources room : machines.freeResources(now)) {
        free += room.cpus();
        all += room.machineType().cpus();
        if (room.has(cpus, gpus, memoryGb)) { // a full machine is of no use to any of them
          rooms.add(room);
        }
      }
      reserve = reserve();
    }

    void take(FreeResources room, JobSpec spec) {
      free -= Math.min(room.cpus(), spec.cpus());
      room.take(spec);
      workByImage.merge(spec.image(), -spec.estimateS(), Double::sum);
    }

    /** Whether the room that is left is kept for classes that hurry. */
    boolean kept(JobSpec spec) {
      // On machines that run nothing, a task larger than what is not kept would wait for ever.
      return urgentCpus > 0
          && !context.isLatencySensitive(spec)
          && free - spec.cpus() < reserve
          && free < all - 1e-6;
    }

    /** Whether some machine has room for a task of the range, reserved or not. */
    boolean hasRoomFor(TaskRange range) {
      int offset = range.firstWaiting();
      for (FreeResources room : rooms) {
        if (room.fits(range.spec()) && allowed(failures, range, offset, room.worker())) {
          return true;
        }
      }
      return false;
    }
  }

  /** A range that is new here. */
  public void arrived(TaskRange range) {
    if (range.spec() != null
        && context.isLatencySensitive(range.spec())
        && range.key().index() == 0) {
      double cpus = range.spec().cpus() * range.spec().tasks();
      urgentCpus = urgentCpus == 0 ? cpus : urgentCpus * 0.8 + cpus * 0.2;
    }
  }

  /**
   * CPUs kept free of tasks that may wait, for classes that are to start within some time: as much
   * as one of their jobs usually takes, in all shards together.
   */
  public double reserve() {
    double mine = machines.capacity();
    double part = mine / Math.max(1, mine + context.loads().capacityOfOthers(shard));
    return Math.min(
        urgentCpus * context.operatorSettings().reserve() * part, mine * RESERVED_AT_MOST);
  }

  /** Places what fits and lets what does not evict; does nothing where nothing waits. */
  public void pass(long now) {
    List<SelectivePreemption.Waiting<Group>> groups = waiting(now);
    if (groups.isEmpty()) {
      return;
    }
    Pass pass = new Pass(now, groups);
    // Machines that have the image first: a task that would fetch takes no room that another, whose
    // image is there, waits for as well.
    List<SelectivePreemption.Waiting<Group>> without = fill(pass, groups, true);
    List<SelectivePreemption.Waiting<Group>> stuck = fill(pass, without, false);
    eviction.evict(stuck, now);
  }

  private List<SelectivePreemption.Waiting<Group>> waiting(long now) {
    List<SelectivePreemption.Waiting<Group>> groups = new ArrayList<>();
    for (TaskRange range : ranges.all()) {
      if (range.spec() == null || range.waiting() == 0 || !mayStart(range)) {
        continue;
      }
      JobSpec spec = range.spec();
      if (spec.kind() == JobSpec.Kind.GANG) {
        if (range.placed().isEmpty()
            && range.waiting() > 0
            && range.mayRetryAll(now)
            && range
                .retries()
                .keySet()
                .intStream()
                .noneMatch(o -> machines.hasDuplicate(range, o))) {
          groups.add(
              new SelectivePreemption.Waiting<>(
                  new Group(range, -1),
                  spec.priority(),
                  falcon.score(spec.estimateS(), (now - range.waitingSince()) / 1000.0),
                  range.waiting()));
        } else if (range.waiting() > 0) {
          // One of them was lost: the rest cannot go on without it.
          List.copyOf(range.placed().values()).forEach(task -> decisions.stop(task, spec.saveS()));
        }
        continue;
      }
      int fresh = range.fresh().cardinality();
      if (fresh > 0 && overdue(range, now)) {
        fresh--;
        groups.add(
            new SelectivePreemption.Waiting<>(
                new Group(range, -1, true),
                Priority.CRITICAL,
                falcon.score(spec.estimateS(), (now - range.waitingSince()) / 1000.0),
                1));
      }
      if (fresh > 0) {
        groups.add(
            new SelectivePreemption.Waiting<>(
                new Group(range, -1),
                spec.priority(),
                falcon.score(spec.estimateS(), counted(spec, range, range.waitingSince(), now)),
                fresh));
      }
      for (var retry : range.retries().int2ObjectEntrySet()) {
        if (retry.getValue().notBefore() <= now
            && !machines.hasDuplicate(range, retry.getIntKey())) {
          groups.add(
              new SelectivePreemption.Waiting<>(
                  new Group(range, retry.getIntKey()),
                  spec.priority(),
                  falcon.score(
                      spec.estimateS(), counted(spec, range, retry.getValue().waitingSince(), now)),
                  1));
        }
      }
    }
    return groups;
  }

  private boolean mayStart(TaskRange range) {
    if (ranges.blocked(range)) {
      policy.countRefusal(StartRefusal.MACHINES_UNRESOLVED);
      return false;
    }
    return policy.mayStart(range);
  }

  private boolean overdue(TaskRange range, long now) {
    return range.placed().isEmpty()
        && range.retries().isEmpty()
        && range.finished().isEmpty()
        && range.record().done().isEmpty()
        && now - range.waitingSince() > context.shortestBootS() * 1000 * OVERDUE_BOOTS
        && context.stateCache().rangesOf(range.key().job()).firstKey() == range.key().index();
  }

  /**
   * The waiting time that a score counts. For a job that cannot be in time any more it starts anew
   * (our exception): else, on a full fleet, those that are late already make all others late too.
   */
  private static double counted(JobSpec spec, TaskRange range, long since, long now) {
    double waited = (now - since) / 1000.0;
    if (spec.deadlineS() < 0) {
      return waited;
    }
    double late =
        (now - range.waitingSince()) / 1000.0 + spec.estimateS() * LATE_AT - spec.deadlineS();
    return late > 0 ? Math.min(waited, late) : waited;
  }

  /** Places what fits and returns what does not. */
  private List<SelectivePreemption.Waiting<Group>> fill(
      Pass pass, List<SelectivePreemption.Waiting<Group>> groups, boolean withImage) {
    long step = ++steps;
    List<SelectivePreemption.Waiting<Group>> stuck = new ArrayList<>();
    SelectivePreemption.Queue<Group> queue = falcon.new Queue<>(groups);
    for (SelectivePreemption.Slot<Group> slot = queue.next(); slot != null; slot = queue.next()) {
      SelectivePreemption.Waiting<Group> next = slot.group();
      TaskRange range = next.what().range();
      if (range.spec().kind() == JobSpec.Kind.GANG) {
        slot.takeAll();
        placeGang(pass, range);
        continue;
      }
      FreeResources room = null;
      // Room only shrinks within a step: what one task of a range did not find, none finds.
      if (range.noRoomIn() != step
          && shares.allows(range.spec())
          && (next.what().overdue() || !pass.kept(range.spec()) || reserveYieldsTo(pass, range))) {
        room = choose(pass, next.what(), next.what().first());
        if (room == null) {
          range.markNoRoomIn(step);
        } else if (!room.worker().hasImage(range.spec().image())
            && !room.worker().claimedBy(range, pass.now)
            && !next.what().overdue()
            && (withImage ? !pressing(next.what(), pass.now) : patient(pass, range))) {
          room = null;
        }
      }
      if (room == null) {
        // What found no room evicts by its own priority, though it may have been drawn by a higher.
        Priority priority = withImage ? next.priority() : range.spec().priority();
        stuck.add(
            new SelectivePreemption.Waiting<>(next.what(), priority, next.score(), slot.takeAll()));
        continue;
      }
      slot.takeOne();
      int offset = next.what().first();
      decisions.place(range, offset, room.worker(), decisions.nextAttempt());
      range.placed().get(offset).exemptFromPreemption(next.what().overdue());
      pass.take(room, range.spec());
    }
    return stuck;
  }

  /**
   * Whether the reserve gives way to a range that has stood still beside reserved room for too
   * long. Users see free room, whatever it is reserved for, and expect nothing to wait beside it
   * for long; a range whose tasks start or end now and then is not standing still.
   */
  private boolean reserveYieldsTo(Pass pass, TaskRange range) {
    if (!pass.hasRoomFor(range)) {
      range.markNotWithheld();
      return false;
    }
    if (range.withheldSince() == TaskRange.NOT_WITHHELD) {
      range.markWithheldSince(pass.now);
    }
    long patienceMs =
        Math.round(
            Math.min(
                context.settings().workerLeaseMs() * RESERVE_YIELDS_AFTER_LEASES,
                context.shortestBootS() * 1000));
    return pass.now - range.withheldSince() > patienceMs;
  }

  /** Whether a task has waited for so much of its slack that it takes any room there is. */
  private boolean pressing(Group group, long now) {
    return context.isLatencySensitive(group.range().spec()) || usedUp(group, now) > PRESSING;
  }

  /** The share of its slack that a task has waited for. */
  private double usedUp(Group group, long now) {
    JobSpec spec = group.range().spec();
    double fetchS = context.fetchS(spec);
    double slack = spec.deadlineS() < 0 ? 4 * fetchS : spec.deadlineS() - spec.estimateS() - fetchS;
    return group.waitedS(now) / Math.max(context.operatorSettings().floorS(), slack);
  }

  /** All tasks of a gang at once, or none. */
  private void placeGang(Pass pass, TaskRange range) {
    BitSet all = (BitSet) range.fresh().clone();
    range.retries().keySet().forEach(all::set);
    if (!shares.allows(range.spec(), all.cardinality())) {
      return;
    }
    Map<Integer, FreeResources> chosen = new TreeMap<>();
    for (int offset = all.nextSetBit(0); offset >= 0; offset = all.nextSetBit(offset + 1)) {
      FreeResources room = choose(pass, new Group(range, offset), offset);
      if (room == null) {
        chosen.values().forEach(taken -> taken.release(range.spec()));
        return;
      }
      room.take(range.spec());
      chosen.put(offset, room);
    }
    // One attempt for all: a gang's tasks know each other by it.
    long attempt = decisions.nextAttempt();
    chosen.forEach((offset, room) -> decisions.place(range, offset, room.worker(), attempt));
  }

  /**
   * Whether tasks of a range do better to wait for machines that have their image than to have it
   * fetched by another: those that have it get through everything that waits for it before a fetch
   * would end. Our exception to the paper, which leaves data locality open.
   */
  private boolean patient(Pass pass, TaskRange range) {
    return pass.patient.computeIfAbsent(range, r -> patientFor(pass, r));
  }

  private boolean patientFor(Pass pass, TaskRange range) {
    JobSpec spec = range.spec();
    if (context.isLatencySensitive(spec)) {
      return false;
    }
    double fetchS = 0;
    double slots = 0;
    for (Worker worker : machines.all()) {
      if (!worker.hasImage(spec.image())
          || !machines.acceptsStarts(worker)
          || worker.isDraining()) {
        continue;
      }
      MachineType type = context.type(worker.machineType());
      if (type != null) {
        slots += slotsFor(worker, type, spec);
        fetchS = Math.max(fetchS, type.imageFetchS(spec));
      }
    }
    double patience = fetchS * PATIENCE;
    if (spec.deadlineS() >= 0) {
      double left =
          spec.deadlineS() - spec.estimateS() - (pass.now - range.waitingSince()) / 1000.0;
      patience = Math.max(patience, Math.min(left * PATIENT_SLACK, fetchS * PATIENT_FETCHES));
    }
    return slots > 0 && pass.workByImage.getOrDefault(spec.image(), 0.0) / slots < patience;
  }

  /**
   * Tasks of a job that a machine has room for, counting what tasks of the same image will leave.
   */
  private static double slotsFor(Worker worker, MachineType type, JobSpec spec) {
    double others = 0;
    for (TaskAttempt task : worker.attempts()) {
      if (task.live()
          && (task.range() == null
              || task.range().spec() == null
              || !task.range().spec().image().equals(spec.image()))) {
        others += task.cpus();
      }
    }
    int all = type.tasksPerMachine(spec);
    return spec.cpus() > 0 ? Math.min(all, Math.floor((type.cpus() - others) / spec.cpus())) : all;
  }

  static boolean allowed(FailureTracker failures, TaskRange range, int offset, Worker worker) {
    JobSpec spec = range.spec();
    return (spec.types().isEmpty() || spec.types().contains(worker.machineType()))
        && (spec.spot() || !worker.isSpot())
        && range.zoneAllows(worker.zone())
        && worker.attempt(new TaskId(range.key().job(), range.record().from() + offset)) == null
        && !failures.avoids(range, worker);
  }

  /** The fitting machine with the least room left, of those that have the image if any has it. */
  private FreeResources choose(Pass pass, Group group, int offset) {
    TaskRange range = group.range();
    JobSpec spec = range.spec();
    // Two fetches at once share the line: both tasks start when the later would have anyway. One
    // that hurries goes there all the same, unless downloads were seen to be shared: then its small
    // image takes as long as a large one beside it, and who has it will have room before.
    boolean hurried =
        context.isLatencySensitive(spec)
            && (!downloads.shared() || usedUp(group, pass.now) > SHARES_FROM);
    FreeResources best = null;
    boolean bestHas = false;
    double bestLeft = 0;
    for (FreeResources room : pass.rooms) {
      if (!room.fits(spec) || room.worker().claimedFrom(range, pass.now)) {
        continue;
      }
      boolean has = room.worker().hasImage(spec.image());
      boolean shares =
          !hurried && room.worker().fetching() && !room.worker().claimedBy(range, pass.now);
      if (!has && (bestHas || shares)) {
        continue;
      }
      double left = room.after(spec);
      if ((best == null
              || (has && !bestHas)
              || (has == bestHas && closer(room, left, best, bestLeft, has)))
          && allowed(failures, range, offset, room.worker())) {
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
      FreeResources room, double left, FreeResources best, double bestLeft, boolean hasImage) {
    if (room.worker().isCordoned() != best.worker().isCordoned()) {
      return best.worker().isCordoned();
    }
    if (!hasImage && room.worker().fetching() != best.worker().fetching()) {
      return best.worker().fetching();
    }
    return room.worker().isSpot() != best.worker().isSpot()
        ? room.worker().isSpot()
        : left < bestLeft;
  }
}
