package org.fieldtrestle.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
  String address;

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
  private long bootedAlreadyMs;
  long noticeUntil = -1;
  boolean draining;

  /** Takes nothing new for as long as nothing waits. */
  boolean closing;

  boolean returning;
  String drainReason = "";
  long idleSince;
  long quarantineUntil;
  int errors;
  final Set<String> errorJobs = new HashSet<>();

  /** Tasks that took much longer here than their jobs' others elsewhere. */
  final Set<TaskId> crawled = new HashSet<>();

  /** The range for which tasks were evicted here, and until when its room is kept for it. */
  private OwnedRange claim;

  private long claimUntil;

  final Map<TaskId, Placed> placed = new HashMap<>();

  /** Reported tasks that no range of ours knows: only to be stopped and cleared. */
  final List<WorkerWire.ReportedTask> ghosts = new ArrayList<>();

  /** Images that it should have, the least recently used first, with their sizes. */
  private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);

  Host(String id, String type, String zone, boolean spot, String address, long token, long now) {
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.address = address;
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
  void bootingFor(long ms) {
    bootedAlreadyMs = ms;
  }

  long ageMs(long now) {
    return now - since + bootedAlreadyMs;
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

  /** A task on it still waits for its image. */
  boolean fetching() {
    for (Placed task : placed.values()) {
      if (task.state == Placed.State.STARTING || task.state == Placed.State.FETCHING) {
        return true;
      }
    }
    return false;
  }

  boolean empty() {
    for (Placed task : placed.values()) {
      if (task.live()) {
        return false;
      }
    }
    return true;
  }

  double usedCpus() {
    double sum = 0;
    for (Placed task : placed.values()) {
      if (task.live() && task.range != null) {
        sum += task.range.record.cpus();
      }
    }
    return sum;
  }

  double usedGpus() {
    double sum = 0;
    for (Placed task : placed.values()) {
      if (task.live() && task.range != null) {
        sum += task.range.record.gpus();
      }
    }
    return sum;
  }

  double usedMemory() {
    double sum = 0;
    for (Placed task : placed.values()) {
      if (task.live() && task.range != null && task.range.spec != null) {
        sum += task.range.spec.memoryGb();
      }
    }
    return sum;
  }

  /** What is free on it, for as long as nothing changes. */
  Room room(MachineType of) {
    return new Room(
        this, of, of.cpus() - usedCpus(), of.gpus() - usedGpus(), of.memoryGb() - usedMemory());
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
      double slack = 1e-6;
      return spec.cpus() <= cpus + slack
          && spec.gpus() <= gpus + slack
          && spec.memoryGb() <= memoryGb + slack;
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
    images.put(image, gb);
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

  /** What the machine is to do now; starts only where {@code starting}. */
  List<WorkerWire.Command> orders(boolean starting, int most) {
    List<WorkerWire.Command> orders = new ArrayList<>();
    for (WorkerWire.ReportedTask ghost : ghosts) {
      if (ghost.state() != WorkerWire.TaskState.EXITED) {
        orders.add(new WorkerWire.Stop(ghost.task(), ghost.attempt(), 0));
      } else if (quiet()) {
        orders.add(new WorkerWire.Clear(ghost.task(), ghost.attempt()));
      }
    }
    for (Placed task : placed.values()) {
      if (task.state == Placed.State.EXITED) {
        // After a clear the worker no longer knows the attempt, so that a late copy of its start
        // would run it again: only where no such copy can be under way.
        if (task.clearable && quiet()) {
          orders.add(new WorkerWire.Clear(task.task, task.attempt));
        }
      } else if (task.stop) {
        orders.add(new WorkerWire.Stop(task.task, task.attempt, task.graceS));
      }
    }
    for (Placed task : placed.values()) {
      if (starting && task.state == Placed.State.STARTING && !task.stop) {
        orders.add(new WorkerWire.Start(task.task, task.attempt));
      }
    }
    List<WorkerWire.Command> sent = orders.size() > most ? orders.subList(0, most) : orders;
    for (WorkerWire.Command order : sent) {
      Placed task = placed.get(order.task());
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
    for (Placed task : placed.values()) {
      if (task.state == Placed.State.STARTING && !task.startSent && !task.stop) {
        return true;
      }
      if (task.stop && task.live() && !task.stopSent) {
        return true;
      }
    }
    return false;
  }
}
