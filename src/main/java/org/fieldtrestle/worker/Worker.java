package org.fieldtrestle.worker;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.protocol.TaskId;
import org.fieldtrestle.protocol.TaskState;
import org.fieldtrestle.protocol.TaskStatus;
import org.fieldtrestle.protocol.WorkerCommand;

/** A machine of this shard's, and everything that is or may be on it. */
public final class Worker {
  final String id;
  final String machineType;
  final String zone;
  final boolean spot;

  /** As it reported last. */
  String address = "";

  /** Its record says that tasks may have been started on it. */
  boolean up;

  boolean upWriteInFlight;

  /** What is on it is known: it has reported having seen this epoch's token. */
  boolean reconciled;

  long incarnation = -1;
  long sequence = -1;
  long seenFencingToken;

  /** The token that we send it; raised to fence off a direct command of unknown fate. */
  long fencingToken;

  /** No clear and no conclusion from absence until the machine has seen this token. */
  long requiredFencingToken;

  boolean directCommandInFlight;
  long lastHeartbeatAt = -1;

  /** When its lease was renewed last, or may have been by whoever acted before us. */
  long leaseRenewedAt;

  /** Its lease has run out since: nothing is on it, and it has not reported again. */
  boolean leaseExpired;

  final long since;
  private long rentedAgoMs;
  long spotNoticeUntil = -1;
  boolean draining;

  /** Takes nothing new for as long as nothing waits. */
  boolean cordoned;

  boolean terminating;

  /** The cloud has taken it back; only its record still goes. */
  boolean terminated;

  String drainReason = "";
  long idleSince;
  long quarantineUntil;
  int errors;
  final Set<String> errorJobs = new HashSet<>();

  /** How many reports in a row lacked what their answers had started: it may not hear us. */
  int unacknowledgedAnswers;

  /** Since when it seems not to hear us; below 0 while it does. */
  long unresponsiveSince = -1;

  /** The last report of this session, as against the answers to direct commands. */
  long heartbeatSequence = -1;

  /** Tasks that took much longer here than their jobs' others elsewhere. */
  final Set<TaskId> slowTasks = new HashSet<>();

  /** The range for which tasks were evicted here, and until when its room is kept for it. */
  private TaskRange claim;

  private long claimUntil;

  private final Map<TaskId, TaskAttempt> attempts = new HashMap<>();
  private final TeamUsage usage;
  private int live;
  private int beforeImage;
  private double usedCpus;
  private double usedGpus;
  private double usedMemory;

  /** Reported tasks that no range of ours knows: only to be stopped and cleared. */
  final List<TaskStatus> unknownTasks = new ArrayList<>();

  /** Images that it should have, the least recently used first, with their sizes. */
  private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);

  Worker(
      String id,
      String machineType,
      String zone,
      boolean spot,
      long fencingToken,
      long now,
      TeamUsage usage) {
    this.usage = usage;
    this.id = id;
    this.machineType = machineType;
    this.zone = zone;
    this.spot = spot;
    this.fencingToken = fencingToken;
    this.since = now;
    this.idleSince = now;
    this.leaseRenewedAt = now;
  }

  /** It is to go, and takes nothing new. */
  public void drain(String why) {
    draining = true;
    drainReason = why;
  }

  /** Its record is older than our knowledge of it. */
  void rentedAgo(long ms) {
    rentedAgoMs = ms;
  }

  public long ageMs(long now) {
    return now - since + rentedAgoMs;
  }

  /** Keeps what an eviction frees for whom it was meant, or the victim would take it back. */
  public void claim(TaskRange range, long until) {
    claim = range;
    claimUntil = until;
  }

  public boolean claimedBy(TaskRange range, long now) {
    return claim == range && now < claimUntil;
  }

  public boolean claimedFrom(TaskRange range, long now) {
    return claim != null
        && claim != range
        && now < claimUntil
        && claim.spec != null
        && claim.waiting() > 0
        && !range.spec.priority().isHigherThan(claim.spec.priority());
  }

  /** Nothing that we sent can still be executed late. */
  public boolean hasNoCommandInFlight() {
    return !directCommandInFlight && seenFencingToken >= requiredFencingToken;
  }

  /** From here on nothing sent before can be executed once the machine has seen the new token. */
  void raiseToken() {
    fencingToken++;
    requiredFencingToken = fencingToken;
  }

  // ---- what is on it; sums are kept up, as they are asked for at every turn

  public TaskAttempt attempt(TaskId task) {
    return attempts.get(task);
  }

  public Collection<TaskAttempt> attempts() {
    return attempts.values();
  }

  /** For whoever changes what is on it meanwhile. */
  List<TaskAttempt> copyOfAttempts() {
    return List.copyOf(attempts.values());
  }

  public void put(TaskAttempt task) {
    TaskAttempt before = attempts.put(task.task, task);
    if (before != null) {
      count(before, -1);
    }
    count(task, 1);
  }

  void remove(TaskAttempt task) {
    if (attempts.remove(task.task, task)) {
      count(task, -1);
    }
  }

  /** A task on it has come to another state. */
  void moved(TaskAttempt task, TaskAttempt.State next) {
    if (task.state() == next) {
      return;
    }
    boolean here = attempts.get(task.task) == task;
    if (here) {
      count(task, -1);
    }
    task.enter(next);
    if (here) {
      count(task, 1);
    }
  }

  private void count(TaskAttempt task, int sign) {
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
  public boolean fetching() {
    return beforeImage > 0;
  }

  public boolean empty() {
    return live == 0;
  }

  public double usedCpus() {
    return usedCpus;
  }

  /** What is free on it, for as long as nothing changes. */
  public FreeResources freeResources(MachineType of) {
    return new FreeResources(
        this, of, of.cpus() - usedCpus, of.gpus() - usedGpus, of.memoryGb() - usedMemory);
  }

  public void usesImage(String image, double gb, double cacheGb) {
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

  public boolean hasImage(String image) {
    return images.containsKey(image);
  }

  /** What the machine is to do now; starts only those tasks that may be. */
  List<WorkerCommand> orders(Predicate<TaskAttempt> startable, int most) {
    List<WorkerCommand> orders = new ArrayList<>();
    for (TaskStatus ghost : unknownTasks) {
      if (ghost.state() != TaskState.EXITED) {
        orders.add(new WorkerCommand.Stop(ghost.task(), ghost.attempt(), 0));
      } else if (hasNoCommandInFlight()) {
        orders.add(new WorkerCommand.Clear(ghost.task(), ghost.attempt()));
      }
    }
    for (TaskAttempt task : attempts.values()) {
      if (!task.live()) {
        // After a clear the worker no longer knows the attempt, so that a late copy of its start
        // would run it again: only where no such copy can be under way.
        if (task.clearable && hasNoCommandInFlight()) {
          orders.add(new WorkerCommand.Clear(task.task, task.attempt));
        }
      } else if (task.stop) {
        orders.add(new WorkerCommand.Stop(task.task, task.attempt, task.graceS));
      }
    }
    for (TaskAttempt task : attempts.values()) {
      if (task.state() == TaskAttempt.State.STARTING && !task.stop && startable.test(task)) {
        orders.add(new WorkerCommand.Start(task.task, task.attempt));
      }
    }
    List<WorkerCommand> sent = orders.size() > most ? orders.subList(0, most) : orders;
    for (WorkerCommand order : sent) {
      TaskAttempt task = attempts.get(order.task());
      if (order instanceof WorkerCommand.Start) {
        task.startSent = true;
      } else if (order instanceof WorkerCommand.Stop && task != null) {
        task.stopSent = true;
      }
    }
    return sent;
  }

  /** Starts or stops that the machine has not been told yet. */
  boolean hasNews() {
    for (TaskAttempt task : attempts.values()) {
      if (task.state() == TaskAttempt.State.STARTING && !task.startSent && !task.stop) {
        return true;
      }
      if (task.stop && task.live() && !task.stopSent) {
        return true;
      }
    }
    return false;
  }

  /** Takes no new tasks for as long as other workers have room. */
  public void cordon() {
    cordoned = true;
  }

  /** Takes new tasks again. */
  public void uncordon() {
    cordoned = false;
  }

  /** The machine is being returned to the cloud and gets no further commands. */
  public void beginTermination() {
    terminating = true;
  }

  /** The cloud has taken the machine back; only its record still has to go. */
  public void markTerminated() {
    terminated = true;
    leaseExpired = true;
  }

  /** Nothing that was started in this incarnation can still run. */
  public void expireLease() {
    leaseExpired = true;
  }

  /** Tasks were placed or seen on it at this time. */
  public void markBusy(long now) {
    idleSince = now;
  }

  public boolean isCordoned() {
    return cordoned;
  }

  public String drainReason() {
    return drainReason;
  }

  public boolean isDraining() {
    return draining;
  }

  public long fencingToken() {
    return fencingToken;
  }

  public String id() {
    return id;
  }

  public long idleSince() {
    return idleSince;
  }

  public long lastHeartbeatAt() {
    return lastHeartbeatAt;
  }

  public boolean isLeaseExpired() {
    return leaseExpired;
  }

  public String machineType() {
    return machineType;
  }

  public boolean isReconciled() {
    return reconciled;
  }

  public long since() {
    return since;
  }

  public boolean isSpot() {
    return spot;
  }

  public long spotNoticeUntil() {
    return spotNoticeUntil;
  }

  public boolean isTerminated() {
    return terminated;
  }

  public boolean isTerminating() {
    return terminating;
  }

  public long unresponsiveSince() {
    return unresponsiveSince;
  }

  public boolean isUp() {
    return up;
  }

  public String zone() {
    return zone;
  }
}
