package org.fieldtrestle.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fieldtrestle.coordination.Placement.Group;
import org.fieldtrestle.protocol.CloudWire.MachineType;
import org.fieldtrestle.protocol.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Selective Preemption for tasks that found no room, one machine at a time. */
final class Eviction {
  private static final Logger LOG = LoggerFactory.getLogger(Eviction.class);

  private final Node node;
  private final Falcon falcon;
  private final Machines machines;
  private final Shares shares;
  private final FailureTracker failures;
  private final Placement.Decisions decisions;
  private long last;

  Eviction(
      Node node,
      Falcon falcon,
      Machines machines,
      Shares shares,
      FailureTracker failures,
      Placement.Decisions decisions) {
    this.node = node;
    this.falcon = falcon;
    this.machines = machines;
    this.shares = shares;
    this.failures = failures;
    this.decisions = decisions;
  }

  void evict(List<Falcon.Waiting<Group>> stuck, long now) {
    if (stuck.isEmpty() || now - last < node.reportMs(0.2)) {
      return;
    }
    last = now;
    if (!anyMay(stuck, now)) {
      return;
    }
    // What is on its way out already makes room for as many as fit it: no more are needed.
    Map<Falcon.Waiting<Group>, Integer> unmet = new LinkedHashMap<>();
    stuck.stream()
        .sorted(
            Comparator.comparing((Falcon.Waiting<Group> one) -> one.priority())
                .thenComparing(Comparator.comparingDouble(Falcon.Waiting<Group>::score).reversed()))
        .forEach(one -> unmet.put(one, one.count()));
    for (Host host : machines.all()) {
      if (machines.usable(host, now)) {
        for (PlacedTask task : host.placed()) {
          if (task.live() && task.stop) {
            meet(unmet, task.cpus);
          }
        }
      }
    }
    Map<String, List<Falcon.Waiting<Group>>> evictors = new HashMap<>();
    for (Host host : machines.all()) {
      MachineType type = node.type(host.type);
      if (type == null || !machines.usable(host, now) || stopping(host) || !young(host, now)) {
        continue;
      }
      List<Falcon.Waiting<Group>> able =
          failures.avoidsAny(host)
              ? able(stuck, host, type, now)
              : evictors.computeIfAbsent(
                  host.type + "/" + host.zone + "/" + host.spot,
                  kind -> able(stuck, host, type, now));
      List<Falcon.Waiting<Group>> ready = new ArrayList<>();
      for (Falcon.Waiting<Group> one : able) {
        if (unmet.get(one) > 0
            && Placement.allowed(failures, one.what().range(), one.what().first(), host)) {
          ready.add(one);
        }
      }
      if (ready.isEmpty()) {
        continue;
      }
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

  private boolean mayEvict(Falcon.Waiting<Group> one, long now) {
    double waited = one.what().waitedS(now);
    OwnedRange range = one.what().range();
    return waited >= node.evictWaitS(range.spec, false)
        || waited >= node.evictWaitS(range.spec, true) && shares.guaranteed(range);
  }

  private boolean anyMay(List<Falcon.Waiting<Group>> stuck, long now) {
    for (Falcon.Waiting<Group> one : stuck) {
      if (mayEvict(one, now)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Those that may evict on a machine by condition 3, over Falcon's queue of it: all that waits and
   * may run there, which is the same for all machines of a kind.
   */
  private List<Falcon.Waiting<Group>> able(
      List<Falcon.Waiting<Group>> stuck, Host host, MachineType type, long now) {
    List<Falcon.Waiting<Group>> queue = new ArrayList<>();
    for (Falcon.Waiting<Group> one : stuck) {
      OwnedRange range = one.what().range();
      if (one.what().first() >= 0
          && type.fits(range.spec)
          && Placement.allowed(failures, range, one.what().first(), host)
          && shares.allows(range.spec)) {
        queue.add(one);
      }
    }
    List<Falcon.Waiting<Group>> ready = new ArrayList<>();
    for (Falcon.Waiting<Group> one : falcon.outscoringEnough(queue)) {
      if (mayEvict(one, now)) {
        ready.add(one);
      }
    }
    return ready;
  }

  /** Whether anything on the machine has run so little that it might be evicted at all. */
  private boolean young(Host host, long now) {
    for (PlacedTask task : host.placed()) {
      if (task.live()
          && !task.spared
          && task.range != null
          && task.range.spec != null
          && (now - task.placedAt) / 1000.0
              <= node.tuning().victimShare() * task.range.spec.estimateS()) {
        return true;
      }
    }
    return false;
  }

  /** Counts room that is about to be free against what waits for it. */
  private static void meet(Map<Falcon.Waiting<Group>, Integer> unmet, double cpus) {
    double left = cpus;
    for (Map.Entry<Falcon.Waiting<Group>, Integer> one : unmet.entrySet()) {
      if (left < 0.1) {
        return;
      }
      double each = Math.max(0.1, one.getKey().what().range().record.cpus());
      int met = (int) Math.min(one.getValue(), Math.floor(left / each + 1e-6));
      one.setValue(one.getValue() - met);
      left -= met * each;
    }
  }

  private static boolean stopping(Host host) {
    for (PlacedTask task : host.placed()) {
      if (task.live() && task.stop) {
        return true;
      }
    }
    return false;
  }

  /** Makes room for one waiting task on a machine; returns the CPUs that its victims leave. */
  private double evictFor(Falcon.Waiting<Group> drawn, Host host, MachineType type, long now) {
    JobSpec spec = drawn.what().range().spec;
    boolean owed = shares.guaranteed(drawn.what().range());
    List<Falcon.Running<PlacedTask>> running = new ArrayList<>();
    for (PlacedTask task : host.placed()) {
      if (task.live()
          && task.range != null
          && task.range.spec != null
          && !task.spared
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
    List<PlacedTask> chosen = new ArrayList<>();
    for (Falcon.Running<PlacedTask> victim : falcon.victims(drawn, running)) {
      if (cpus >= spec.cpus() && gpus >= spec.gpus() && memory >= spec.memoryGb()) {
        break;
      }
      cpus += victim.what().cpus;
      gpus += victim.what().gpus;
      memory += victim.what().memoryGb;
      chosen.add(victim.what());
    }
    if (chosen.isEmpty() || cpus < spec.cpus() || gpus < spec.gpus() || memory < spec.memoryGb()) {
      return 0;
    }
    double freed = 0;
    for (PlacedTask victim : chosen) {
      freed += victim.cpus;
      LOG.debug("task {} gives way to {} ({})", victim, spec.id(), spec.priority());
      node.stats().evicted++;
      decisions.stop(victim, victim.range.spec.savesWork() ? victim.range.spec.saveS() : 0);
    }
    return freed;
  }
}
