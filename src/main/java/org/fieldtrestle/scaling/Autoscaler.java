package org.fieldtrestle.scaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.fieldtrestle.cloud.CloudClient;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.CloudProtocol;
import org.fieldtrestle.protocol.CloudProtocol.MachineType;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.worker.FailureTracker;
import org.fieldtrestle.worker.LeadershipTerm;
import org.fieldtrestle.worker.TaskAttempt;
import org.fieldtrestle.worker.TaskRange;
import org.fieldtrestle.worker.TaskRanges;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A shard's machines come and go here: rented for its backlog, returned when idle or no good. */
public final class Autoscaler {
  private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);

  /** How much of the time that a deadline leaves may pass before the last waiting task starts. */
  private static final double SLACK_USED = 0.75;

  /** How much of the usual flow of work is rented for beside what waits. */
  private static final double FLOW_COUNTED = 0.5;

  /** Time in which what is remembered of the flow of work fades to a third. */
  private static final double FADES_S = 150;

  /** Machines of a zone that are up, and how many of them have been silent for some reports. */
  private static final class ZoneCount {
    int up;
    int silent;
  }

  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final TaskRanges ranges;
  private final MachineInventory inventory;
  private final DoubleSupplier reservedCpus;
  private final ControllerContext context;
  private final FailureTracker failures;
  private final Map<String, Long> refusedUntil = new HashMap<>();
  private final Map<String, Long> strangers = new HashMap<>();
  private final Map<String, Integer> missing = new HashMap<>();
  private long requests;
  private int renting;
  private boolean giving;
  private boolean listing;
  private long listedAt;
  private double arrivedWork;
  private double load;
  private long loadAt = -1;

  /** As of the last look: cheap machines, and by zone all and silent. */
  private int cheap;

  private final Map<String, ZoneCount> zoneCounts = new HashMap<>();

  /**
   * @param reservedCpus CPUs that are kept free for urgent classes
   */
  public Autoscaler(
      ControllerContext context,
      LeadershipTerm term,
      WorkerRegistry workers,
      TaskRanges ranges,
      FailureTracker failures,
      MachineInventory inventory,
      DoubleSupplier reservedCpus) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.ranges = ranges;
    this.inventory = inventory;
    this.reservedCpus = reservedCpus;
    this.failures = failures;
  }

  public void activated() {
    loadAt = context.now();
    listedAt = context.now();
  }

  /**
   * Work has come in. What was there before this epoch came in as long ago as it was accepted:
   * counted as if all of it had come at once, every restart and every change of hands rented for a
   * flow of work that there never was.
   */
  public void arrived(TaskRange range) {
    if (range.spec() == null) {
      return;
    }
    if (range.isInherited()) {
      double agoS = (context.now() - range.waitingSince()) / 1000.0;
      load +=
          machineSeconds(range.spec(), range.record().size()) * Math.exp(-agoS / FADES_S) / FADES_S;
    } else {
      arrivedWork += machineSeconds(range.spec(), range.waiting());
    }
  }

  private long lagMs() {
    return Math.round(context.settings().cloud().listLagS() * 1000);
  }

  public void tick(long now) {
    failures.forgetEnded();
    list(now);
    countMachines(now);
    for (Worker worker : workers.all()) {
      replaceIfUseless(worker, now);
    }
    close();
    terminate(now);
    rent(now);
  }

  // ---- what is wrong with machines

  /** What is asked for each machine is counted once for all. */
  private void countMachines(long now) {
    cheap = 0;
    zoneCounts.clear();
    for (Worker worker : workers.all()) {
      cheap += worker.isSpot() && !worker.isDraining() ? 1 : 0;
      if (worker.isUp()) {
        ZoneCount count = zoneCounts.computeIfAbsent(worker.zone(), z -> new ZoneCount());
        count.up++;
        count.silent += workers.silentFor(worker, now) > context.heartbeatIntervalsMs(2) ? 1 : 0;
      }
    }
  }

  private void replaceIfUseless(Worker worker, long now) {
    MachineType type = context.type(worker.machineType());
    if (worker.isDraining() || type == null) {
      return;
    }
    for (TaskAttempt task : worker.attempts()) {
      if (task.state() == TaskAttempt.State.RUNNING) {
        failures.checkRunTime(task, now);
      }
    }
    if (!worker.hasReported() && !worker.isUp() && worker.ageMs(now) > type.bootS() * 3500) {
      drain(worker, "never came up");
      return;
    }
    if (worker.isUp()
        && !worker.isLeaseExpired()
        && silent(worker, now)
        && !zoneSilent(worker, now)) {
      drain(worker, "silent while others of its zone report");
      return;
    }
    if (worker.isLeaseExpired()
        && workers.silentFor(worker, now) > 2 * context.settings().workerLeaseMs()) {
      drain(worker, "silent for two leases");
      return;
    }
    if (worker.isUp() && !worker.isLeaseExpired() && deaf(worker, now)) {
      // Its reports say nothing of whether it hears us. Nothing that it has can be stopped but by
      // its lease, and nothing that it is given comes: only its return makes sure of that.
      drain(worker, "does not hear us");
      worker.beginTermination();
      return;
    }
    if (worker.isUp()
        && worker.isReconciled()
        && worker.empty()
        && workers.listenedFor(worker.idleSince(), now) > idleMs(worker, type)) {
      drain(worker, worker.isCordoned() ? "not needed" : "idle");
    }
  }

  /** Whether a machine that reports has shown for long that our answers do not come through. */
  private boolean deaf(Worker worker, long now) {
    long lease = context.settings().workerLeaseMs();
    if (worker.isUnresponsive()) {
      return workers.listenedFor(worker.unresponsiveSince(), now) > lease / 2;
    }
    return !worker.isReconciled()
        && worker.hasReported()
        && workers.listenedFor(worker.since(), now) > lease + context.heartbeatIntervalsMs(4);
  }

  /** A cheap machine is kept for a while where the usual flow of work will want it again. */
  private long idleMs(Worker worker, MachineType type) {
    if (worker.isCordoned()) {
      return Math.round(type.bootS() * 250);
    }
    boolean wanted = worker.isSpot() && cheap <= target();
    return Math.round(type.bootS() * (wanted ? 2000 : 500));
  }

  /**
   * Closes machines whose room is not needed: they take nothing new and go when they are empty. The
   * dearest go first, of these the least used. They open again, the most used first, when less than
   * the reserve is free on the others. What waits does not count: on a large fleet something always
   * does for a moment, and no machine was ever closed.
   */
  private void close() {
    List<Worker> open = new ArrayList<>();
    List<Worker> closed = new ArrayList<>();
    double surplus = -reservedCpus.getAsDouble();
    for (Worker worker : workers.all()) {
      MachineType type = context.type(worker.machineType());
      if (type == null || !worker.isUp() || worker.isDraining()) {
        continue;
      }
      if (worker.isCordoned()) {
        closed.add(worker);
      } else if (workers.isUsable(worker, context.now())) {
        open.add(worker);
        surplus += type.cpus() - worker.usedCpus();
      }
    }
    Comparator<Worker> order =
        Comparator.comparing((Worker worker) -> worker.isSpot())
            .thenComparingDouble(Worker::usedCpus);
    closed.sort(order.reversed());
    for (Worker worker : closed) {
      if (surplus >= 0) {
        break;
      }
      worker.uncordon();
      surplus += context.type(worker.machineType()).cpus() - worker.usedCpus();
    }
    if (open.size() < 2) {
      return;
    }
    open.sort(order);
    int left = open.size();
    for (Worker worker : open) {
      MachineType type = context.type(worker.machineType());
      double free = type.cpus() - worker.usedCpus();
      if (surplus - free < type.cpus() * (worker.isSpot() ? 0.75 : 0.25)
          || worker.isSpot() && left <= target()) {
        return;
      }
      worker.cordon();
      left--;
      surplus -= free;
    }
  }

  private boolean silent(Worker worker, long now) {
    return workers.silentFor(worker, now) > context.heartbeatIntervalsMs(3.2);
  }

  /** Most of a zone silent at once is a cut, not the machines. */
  private boolean zoneSilent(Worker worker, long now) {
    ZoneCount count = zoneCounts.get(worker.zone());
    int self = workers.silentFor(worker, now) > context.heartbeatIntervalsMs(2) ? 1 : 0;
    int silent = count.silent - self;
    return silent > 0 && silent * 2 >= count.up - 1;
  }

  private void drain(Worker worker, String why) {
    worker.drain(why);
    LOG.info("machine {} goes: {}", worker.id(), why);
  }

  // ---- giving back

  private void terminate(long now) {
    if (giving) {
      return;
    }
    List<String> names = new ArrayList<>();
    for (Worker worker : workers.all()) {
      if (names.size() < CloudProtocol.MAX_RETURN
          && !worker.isTerminated()
          && (worker.isTerminating() || worker.isDraining() && mayGo(worker, now))) {
        worker.beginTermination();
        names.add(worker.id());
      }
    }
    if (names.isEmpty()) {
      return;
    }
    giving = true;
    context
        .cloud()
        .terminate(
            names,
            gone -> {
              giving = false;
              if (gone && !term.isOver()) {
                names.forEach(this::returned);
              }
            });
  }

  private boolean mayGo(Worker worker, long now) {
    if (worker.hasSpotNotice()) {
      // Charged until it is taken; it may finish what it has until then.
      return worker.empty()
          || now > worker.spotNoticeUntil() + context.heartbeatIntervalsMs(1)
              && silent(worker, now);
    }
    return worker.empty() && worker.hasNoCommandInFlight()
        || worker.isLeaseExpired()
        || silent(worker, now)
        || deaf(worker, now);
  }

  /** The cloud has answered: the machine and all that was on it are gone. */
  private void returned(String id) {
    Worker worker = workers.get(id);
    if (worker == null) {
      return;
    }
    context.metrics().countReturned();
    worker.markTerminated();
    ranges.outcomes().workerLost(worker, "returned (" + worker.drainReason() + ")");
    inventory.remove(id);
  }

  // ---- the machine list

  private void list(long now) {
    if (listing || now - listedAt < lagMs()) {
      return;
    }
    listing = true;
    listedAt = now;
    context
        .cloud()
        .list(
            machines -> {
              listing = false;
              if (machines != null && term.isLeading()) {
                compare(machines, context.now());
              }
            });
  }

  private void compare(List<CloudProtocol.Listed> machines, long now) {
    Set<String> listed = new HashSet<>();
    for (CloudProtocol.Listed one : machines) {
      listed.add(one.machine());
      Worker worker = workers.get(one.machine());
      if (worker != null && one.failed() && !worker.isTerminating()) {
        drain(worker, "stopped by itself");
        worker.expireLease();
        worker.beginTermination();
      }
      if (worker == null && !context.stateCache().machines().containsKey(one.machine())) {
        stranger(one, now);
      }
    }
    strangers.keySet().retainAll(listed);
    for (Worker worker : workers.all()) {
      if (listed.contains(worker.id()) || worker.ageMs(now) < 4 * lagMs()) {
        missing.remove(worker.id());
      } else if (missing.merge(worker.id(), 1, Integer::sum) >= 3
          && (!worker.hasReported() || silent(worker, now))) {
        // One that this epoch has never heard of holds up its team's limit and inherited tasks, for
        // the former holder's lease and its own; several changes of hands in a row begin anew.
        if (!worker.isDraining()) {
          drain(worker, "no longer listed");
        }
        worker.beginTermination();
      }
    }
    workers.forgetMissing(missing);
  }

  /** A machine that nobody has a record of: a late rental, or one whose renter died. */
  private void stranger(CloudProtocol.Listed one, long now) {
    long since = strangers.computeIfAbsent(one.machine(), m -> now);
    if (!context.membership().isFirst()
        || !term.shard().equals(context.membership().self())
        || now - since < 3 * lagMs()) {
      return;
    }
    LOG.info("machine {} is nobody's, adopting it", one.machine());
    inventory.add(one.machine(), one.type(), one.zone(), one.spot(), true, owned -> {});
  }

  // ---- renting

  /** How many seconds of a whole machine some tasks of a job take. */
  private double machineSeconds(JobSpec spec, int tasks) {
    MachineType type = typeFor(spec);
    return type == null ? 0 : tasks * spec.estimateS() / type.tasksPerMachine(spec);
  }

  /** The type on which a task of the job costs least. */
  private MachineType typeFor(JobSpec spec) {
    MachineType best = null;
    double bestPrice = 0;
    for (MachineType type : context.types()) {
      if (type.allowedFor(spec)) {
        double price =
            (spec.spot() && type.spotPrice() > 0 ? type.spotPrice() : type.price())
                / type.tasksPerMachine(spec);
        if (best == null || price < bestPrice) {
          best = type;
          bestPrice = price;
        }
      }
    }
    return best;
  }

  /** Machines that the usual flow of work keeps busy, with some room to spare. */
  private double target() {
    return load * 1.2;
  }

  private void measure(long now) {
    double seconds = (now - loadAt) / 1000.0;
    if (seconds <= 0) {
      return;
    }
    double fade = Math.exp(-seconds / FADES_S);
    load = load * fade + arrivedWork / seconds * (1 - fade);
    arrivedWork = 0;
    loadAt = now;
  }

  /** Waiting work that has to be through within some time, in seconds of a whole machine. */
  private record Need(
      TaskRange range, MachineType type, boolean spot, String zone, double work, double withinS) {
    boolean sameAs(Need other) {
      return type.name().equals(other.type.name())
          && spot == other.spot
          && Objects.equals(zone, other.zone);
    }

    boolean servedBy(Worker worker) {
      return worker.machineType().equals(type.name())
          && (spot || !worker.isSpot())
          && (zone == null || zone.equals(worker.zone()));
    }
  }

  private void rent(long now) {
    measure(now);
    if (renting > 0 || context.types().isEmpty() || context.store().isCongested()) {
      return;
    }
    List<Need> needs = new ArrayList<>();
    for (TaskRange range : ranges.all()) {
      // While a machine has not been heard of, what waits of an inherited range may be there, and
      // none of it may start anyway: else every restart rented a second fleet.
      if (range.spec() != null
          && !term.policy().mustStop(range)
          && range.waiting() > 0
          && !ranges.blocked(range)) {
        MachineType type = typeFor(range.spec());
        if (type != null) {
          needs.add(need(range, type, now));
        }
      }
    }
    if (needs.isEmpty()) {
      return;
    }
    needs.sort(Comparator.comparingDouble(Need::withinS));
    // Jobs that ask for different machines are counted apart: one's idle machines are no help to
    // another, and would be returned and rented again for ever.
    Need largest = null;
    int wanted = 0;
    List<Need> kinds = new ArrayList<>();
    for (Need need : needs) {
      if (kinds.stream().noneMatch(need::sameAs)) {
        kinds.add(need);
      }
    }
    for (Need kind : kinds) {
      int missing = missing(kind, needs, now);
      if (missing > wanted) {
        wanted = missing;
        largest = kind;
      }
    }
    if (wanted > 0) {
      hire(largest, Math.min(wanted, CloudProtocol.MAX_RENT), now, true);
      return;
    }
    // What the usual flow keeps busy is rented ahead of it, but only where that is cheap.
    int machines = 0;
    for (Worker worker : workers.all()) {
      machines += worker.isDraining() ? 0 : 1;
    }
    wanted = (int) Math.floor(target()) - machines;
    if (wanted > 0 && needs.get(0).spot()) {
      hire(needs.get(0), Math.min(wanted, CloudProtocol.MAX_RENT), now, false);
    }
  }

  /** How many machines more the needs that ask for the same as this one take. */
  private int missing(Need kind, List<Need> needs, long now) {
    MachineType type = kind.type();
    double busy = 0;
    int machines = 0;
    double booting = 0;
    for (Worker worker : workers.all()) {
      if (worker.isDraining()
          || worker.isLeaseExpired() && silent(worker, now)
          || !kind.servedBy(worker)
          || failures.avoids(kind.range(), worker)) {
        continue;
      }
      machines++;
      if (!worker.isUp()) {
        booting += Math.max(type.bootS() * 0.2, type.bootS() - worker.ageMs(now) / 1000.0);
      }
      for (TaskAttempt task : worker.attempts()) {
        if (task.live() && task.range() != null && task.range().spec() != null) {
          JobSpec spec = task.range().spec();
          busy += Math.max(2, remainingS(task, type, now)) / type.tasksPerMachine(spec);
        }
      }
    }
    // Whatever has to be through first comes first; each later need adds to what is before it.
    double work = 0;
    // However little waits, without any machine it would wait for ever.
    int wanted = machines == 0 ? 1 : 0;
    for (Need need : needs) {
      if (need.sameAs(kind)) {
        work += need.work();
        // Work goes on coming while this is done; part of it finds room that others leave.
        double flow = load * need.withinS() * FLOW_COUNTED;
        double room = machines * need.withinS() - booting - busy;
        double missing = (work + flow - Math.max(0, room)) / (need.withinS() - type.bootS());
        wanted = Math.max(wanted, (int) Math.ceil(missing - 0.2));
      }
    }
    return wanted;
  }

  private Need need(TaskRange range, MachineType type, long now) {
    JobSpec spec = range.spec();
    double work =
        (spec.estimateS() + type.imageFetchS(spec) / 2)
            * range.waiting()
            / type.tasksPerMachine(spec);
    String zone = range.zone() != null ? range.zone() : spec.zone();
    double waited = (now - range.waitingSince()) / 1000.0;
    double slack =
        spec.deadlineS() < 0
            ? 4 * type.bootS()
            : (spec.deadlineS() - waited - spec.estimateS() - type.imageFetchS(spec))
                    * slackUsed(spec)
                + spec.estimateS();
    // A machine that is rented now helps no sooner than it boots, however late the job is.
    double within = Math.min(Math.max(slack, 2 * type.bootS()), 6 * type.bootS());
    return new Need(range, type, spec.spot(), zone, work, within);
  }

  /** The more of a class has to be in time, the less of its slack is used up. */
  private double slackUsed(JobSpec spec) {
    double used = SLACK_USED;
    for (Settings.Objective aim : context.settings().objectives()) {
      if (aim.kind().equals("deadline")
          && aim.jobClass().equals(spec.jobClass())
          && aim.times() <= 1) {
        used = Math.min(used, Math.max(0.1, 5 * (1 - aim.share())));
      }
    }
    return used;
  }

  private static double remainingS(TaskAttempt task, MachineType type, long now) {
    JobSpec spec = task.range().spec();
    double fetch =
        task.runningSince() >= 0
            ? 0
            : Math.max(0, type.imageFetchS(spec) - (now - task.placedAt()) / 1000.0);
    return fetch + task.remainingS(now, spec.estimateS());
  }

  private void hire(Need need, int count, long now, boolean ordinary) {
    List<String> zones = new ArrayList<>();
    for (String zone : need.type().zones()) {
      if (need.zone() == null || need.zone().equals(zone)) {
        zones.add(zone);
      }
    }
    // The own zone first: a cut then parts a shard from few of its machines.
    zones.sort(
        (a, b) ->
            Boolean.compare(
                b.equals(context.settings().zone()), a.equals(context.settings().zone())));
    for (boolean spot : new boolean[] {true, false}) {
      if (spot ? !need.spot() : !ordinary) {
        continue;
      }
      for (String zone : zones) {
        String place = need.type().name() + "/" + zone + "/" + spot;
        if (refusedUntil.getOrDefault(place, 0L) <= now) {
          String request =
              "r-"
                  + context.membership().self()
                  + "-"
                  + term.shard()
                  + "-"
                  + term.epoch()
                  + "-"
                  + ++requests;
          renting++;
          rentNow(request, need.type().name(), zone, spot, count, 0);
          return;
        }
      }
    }
  }

  private void rentNow(
      String request, String type, String zone, boolean spot, int count, int tries) {
    context
        .cloud()
        .rent(
            request,
            type,
            zone,
            spot,
            count,
            rent -> {
              if (term.isOver()) {
                return;
              }
              long now = context.now();
              if (rent instanceof CloudClient.Rented rented) {
                renting--;
                context.metrics().countRented(rented.machines().size());
                LOG.info(
                    "rented {} {} machines in {} of {} wanted: {}",
                    rented.machines().size(),
                    spot ? "spot" : "ordinary",
                    zone,
                    count,
                    rented.machines());
                if (rented.machines().size() < count) {
                  refusedUntil.put(type + "/" + zone + "/" + spot, now + 2 * lagMs());
                }
                for (String id : rented.machines()) {
                  // Somebody may have adopted it before, as it can be up at once.
                  inventory.add(id, type, zone, spot, false, owned -> {});
                }
              } else if (rent instanceof CloudClient.Again && tries < 20) {
                // The same name again: if it was executed, this gets the same machines.
                context
                    .reactor()
                    .schedule(
                        lagMs() / 4, () -> rentNow(request, type, zone, spot, count, tries + 1));
              } else {
                renting--;
                refusedUntil.put(type + "/" + zone + "/" + spot, now + 2 * lagMs());
              }
            });
  }
}
