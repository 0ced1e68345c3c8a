package org.fieldtrestle.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.fieldtrestle.protocol.CloudWire.MachineType;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.protocol.WorkerWire;

/** A machine of this master's, and everything that is or may be on it. */
final class Host {
  final String id;
  final String type;
  final String zone;
  final boolean spot;

  /** As it reported last. */
  String address = "";

  /** Its record says that tasks may have been started on it. */
  boolean up;

  boolean markingUp;

  /** What is on it is known: it has reported having seen this epoch's token. */
  boolean resolved;

  long session = -1;
  long seq = -1;
  long seenToken;

  /** The token that we send it; raised to fence off a direct command of unknown fate. */
  long token;

  /** No clear and no conclusion from absence until the machine has seen this token. */
  long fence;

  boolean directBusy;
  long heardAt = -1;

  /** When its lease was renewed last, or may have been by whoever acted before us. */
  long leaseFrom;

  /** Its lease has run out since: nothing is on it, and it has not reported again. */
  boolean lost;

  final long since;
  private long rentedAgoMs;
  long noticeUntil = -1;
  boolean draining;

  /** Takes nothing new for as long as nothing waits. */
  boolean closing;

  boolean returning;

  /** The cloud has taken it back; only its record still goes. */
  boolean returned;

  String drainReason = "";
  long idleSince;
  long quarantineUntil;
  int errors;
  final Set<String> errorJobs = new HashSet<>();

  /** How many reports in a row lacked what their answers had started: it may not hear us. */
  int unheard;

  /** Since when it seems not to hear us; below 0 while it does. */
  long deafSince = -1;

  /** The last report of this session, as against the answers to direct commands. */
  long reportSeq = -1;

  /** Tasks that took much longer here than their jobs' others elsewhere. */
  final Set<TaskId> crawled = new HashSet<>();

  /** The range for which tasks were evicted here, and until when its room is kept for it. */
  private OwnedRange claim;

  private long claimUntil;

  private final Map<TaskId, PlacedTask> placed = new HashMap<>();
  private final Usage usage;
  private int live;
  private int beforeImage;
  private double usedCpus;
  private double usedGpus;
  private double usedMemory;

  /** Reported tasks that no range of ours knows: only to be stopped and cleared. */
  final List<WorkerWire.ReportedTask> ghosts = new ArrayList<>();

  /** Images that it should have, the least recently used first, with their sizes. */
  private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);

  Host(String id, String type, String zone, boolean spot, long token, long now, Usage usage) {
    this.usage = usage;
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.token = token;
    this.since = now;
    this.idleSince = now;
    this.leaseFrom = now;
  }

  /** It is to go, and takes nothing new. */
  void drain(String why) {
    draining = true;
    drainReason = why;
  }

  /** Its record is older than our knowledge of it. */
  void rentedAgo(long ms) {
    rentedAgoMs = ms;
  }

  long ageMs(long now) {
    return now - since + rentedAgoMs;
  }

  /** Keeps what an eviction frees for whom it was meant, or the victim would take it back. */
  void claim(OwnedRange range, long until) {
    claim = range;
    claimUntil = until;
  }

  boolean claimedBy(OwnedRange range, long now) {
    return claim == range && now < claimUntil;
  }

  boolean claimedFrom(OwnedRange range, long now) {
    return claim != null
        && claim != range
        && now < claimUntil
        && claim.spec != null
        && claim.waiting() > 0
        && !range.spec.priority().above(claim.spec.priority());
  }

  /** Nothing that we sent can still be executed late. */
  boolean quiet() {
    return !directBusy && seenToken >= fence;
  }

  /** From here on nothing sent before can be executed once the machine has seen the new token. */
  void raiseToken() {
    token++;
    fence = token;
  }

  // ---- what is on it; sums are kept up, as they are asked for at every turn

  PlacedTask placed(TaskId task) {
    return placed.get(task);
  }

  Collection<PlacedTask> placed() {
    return placed.values();
  }

  /** For whoever changes what is on it meanwhile. */
  List<PlacedTask> copyOfPlaced() {
    return List.copyOf(placed.values());
  }

  void put(PlacedTask task) {
    PlacedTask before = placed.put(task.task, task);
    if (before != null) {
      count(before, -1);
    }
    count(task, 1);
  }

  void remove(PlacedTask task) {
    if (placed.remove(task.task, task)) {
      count(task, -1);
    }
  }

  /** A task on it has come to another state. */
  void moved(PlacedTask task, PlacedTask.State next) {
    if (task.state() == next) {
      return;
    }
    boolean here = placed.get(task.task) == task;
    if (here) {
      count(task, -1);
    }
    task.enter(next);
    if (here) {
      count(task, 1);
    }
  }

  private void count(PlacedTask task, int sign) {
    if (!task.live()) {
      return;
    }
    live += sign;
    beforeImage += task.state().beforeImage() ? sign : 0;
    usedCpus += sign * task.cpus;
    usedGpus += sign * task.gpus;
    usedMemory += sign * task.memoryGb;
    if (sign > 0) {
      usage.add(task);
    } else {
      usage.remove(task);
    }
    if (live == 0) { // and with it whatever rounding has left
      usedCpus = 0;
      usedGpus = 0;
      usedMemory = 0;
    }
  }

  /** A task on it still waits for its image. */
  boolean fetching() {
    return beforeImage > 0;
  }

  boolean empty() {
    return live == 0;
  }

  double usedCpus() {
    return usedCpus;
  }

  /** What is free on it, for as long as nothing changes. */
  Room room(MachineType of) {
    return new Room(
        this, of, of.cpus() - usedCpus, of.gpus() - usedGpus, of.memoryGb() - usedMemory);
  }

  /** A machine's free amounts during one placement pass. */
  static final class Room {
    final Host host;
    final MachineType type;
    private double cpus;
    private double gpus;
    private double memoryGb;

    Room(Host host, MachineType type, double cpus, double gpus, double memoryGb) {
      this.host = host;
      this.type = type;
      this.cpus = cpus;
      this.gpus = gpus;
      this.memoryGb = memoryGb;
    }

    boolean fits(JobSpec spec) {
      return has(spec.cpus(), spec.gpus(), spec.memoryGb());
    }

    /** Whether this much is free. */
    boolean has(double ofCpus, double ofGpus, double ofMemoryGb) {
      double slack = 1e-6;
      return ofCpus <= cpus + slack && ofGpus <= gpus + slack && ofMemoryGb <= memoryGb + slack;
    }

    void giveBack(JobSpec spec) {
      cpus += spec.cpus();
      gpus += spec.gpus();
      memoryGb += spec.memoryGb();
    }

    void take(JobSpec spec) {
      cpus -= spec.cpus();
      gpus -= spec.gpus();
      memoryGb -= spec.memoryGb();
    }

    double cpus() {
      return Math.max(0, cpus);
    }

    double gpus() {
      return Math.max(0, gpus);
    }

    double memoryGb() {
      return Math.max(0, memoryGb);
    }

    /** Room left after taking a task, as the sum of shares: the paper's most matched has least. */
    double after(JobSpec spec) {
      return part(cpus - spec.cpus(), type.cpus())
          + part(gpus - spec.gpus(), type.gpus())
          + part(memoryGb - spec.memoryGb(), type.memoryGb());
    }

    private static double part(double left, double of) {
      return of > 0 ? left / of : 0;
    }
  }

  void usesImage(String image, double gb, double cacheGb) {
    if (images.put(image, gb) != null) {
      return; // only used again
    }
    double total = 0;
    for (double size : images.values()) {
      total += size;
    }
    var oldest = images.entrySet().iterator();
    while (total > cacheGb && images.size() > 1 && oldest.hasNext()) {
      total -= oldest.next().getValue();
      oldest.remove();
    }
  }

  boolean hasImage(String image) {
    return images.containsKey(image);
  }

  /** What the machine is to do now; starts only those tasks that may be. */
  List<WorkerWire.Command> orders(Predicate<PlacedTask> startable, int most) {
    List<WorkerWire.Command> orders = new ArrayList<>();
    for (WorkerWire.ReportedTask ghost : ghosts) {
      if (ghost.state() != WorkerWire.TaskState.EXITED) {
        orders.add(new WorkerWire.Stop(ghost.task(), ghost.attempt(), 0));
      } else if (quiet()) {
        orders.add(new WorkerWire.Clear(ghost.task(), ghost.attempt()));
      }
    }
    for (PlacedTask task : placed.values()) {
      if (!task.live()) {
        // After a clear the worker no longer knows the attempt, so that a late copy of its start
        // would run it again: only where no such copy can be under way.
        if (task.clearable && quiet()) {
          orders.add(new WorkerWire.Clear(task.task, task.attempt));
        }
      } else if (task.stop) {
        orders.add(new WorkerWire.Stop(task.task, task.attempt, task.graceS));
      }
    }
    for (PlacedTask task : placed.values()) {
      if (task.state() == PlacedTask.State.STARTING && !task.stop && startable.test(task)) {
        orders.add(new WorkerWire.Start(task.task, task.attempt));
      }
    }
    List<WorkerWire.Command> sent = orders.size() > most ? orders.subList(0, most) : orders;
    for (WorkerWire.Command order : sent) {
      PlacedTask task = placed.get(order.task());
      if (order instanceof WorkerWire.Start) {
        task.startSent = true;
      } else if (order instanceof WorkerWire.Stop && task != null) {
        task.stopSent = true;
      }
    }
    return sent;
  }

  /** Starts or stops that the machine has not been told yet. */
  boolean hasNews() {
    for (PlacedTask task : placed.values()) {
      if (task.state() == PlacedTask.State.STARTING && !task.startSent && !task.stop) {
        return true;
      }
      if (task.stop && task.live() && !task.stopSent) {
        return true;
      }
    }
    return false;
  }
}
