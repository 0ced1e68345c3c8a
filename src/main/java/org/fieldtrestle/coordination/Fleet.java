package org.fieldtrestle.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.fieldtrestle.protocol.CloudWire;
import org.fieldtrestle.protocol.CloudWire.MachineType;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A master's machines come and go here: rented for its backlog, returned when idle or no good. */
final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

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

  private final Master master;
  private final Node node;
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

  Fleet(Master master, FailureTracker failures) {
    this.master = master;
    this.node = master.node;
    this.failures = failures;
  }

  void activated() {
    loadAt = node.now();
    listedAt = node.now();
  }

  /**
   * Work has come in. What was there before this epoch came in as long ago as it was accepted:
   * counted as if all of it had come at once, every restart and every change of hands rented for a
   * flow of work that there never was.
   */
  void arrived(OwnedRange range) {
    if (range.spec == null) {
      return;
    }
    if (range.inherited) {
      double agoS = (node.now() - range.waitingSince) / 1000.0;
      load += machineSeconds(range.spec, range.record.size()) * Math.exp(-agoS / FADES_S) / FADES_S;
    } else {
      arrivedWork += machineSeconds(range.spec, range.waiting());
    }
  }

  private long lagMs() {
    return Math.round(node.settings().cloud().listLagS() * 1000);
  }

  void tick(long now) {
    failures.forgetEnded();
    list(now);
    countMachines(now);
    for (Host host : master.machines().all()) {
      replaceIfUseless(host, now);
    }
    close();
    giveBack(now);
    rent(now);
  }

  // ---- what is wrong with machines

  /** What is asked for each machine is counted once for all. */
  private void countMachines(long now) {
    cheap = 0;
    zoneCounts.clear();
    for (Host host : master.machines().all()) {
      cheap += host.spot && !host.draining ? 1 : 0;
      if (host.up) {
        ZoneCount count = zoneCounts.computeIfAbsent(host.zone, z -> new ZoneCount());
        count.up++;
        count.silent += master.machines().silentFor(host, now) > node.reportMs(2) ? 1 : 0;
      }
    }
  }

  private void replaceIfUseless(Host host, long now) {
    MachineType type = node.type(host.type);
    if (host.draining || type == null) {
      return;
    }
    for (PlacedTask task : host.placed()) {
      if (task.state() == PlacedTask.State.RUNNING) {
        failures.crawled(task, now);
      }
    }
    if (host.heardAt < 0 && !host.up && host.ageMs(now) > type.bootS() * 3500) {
      drain(host, "never came up");
      return;
    }
    if (host.up && !host.lost && silent(host, now) && !zoneSilent(host, now)) {
      drain(host, "silent while others of its zone report");
      return;
    }
    if (host.lost && master.machines().silentFor(host, now) > 2 * node.settings().workerLeaseMs()) {
      drain(host, "silent for two leases");
      return;
    }
    if (host.up && !host.lost && deaf(host, now)) {
      // Its reports say nothing of whether it hears us. Nothing that it has can be stopped but by
      // its lease, and nothing that it is given comes: only its return makes sure of that.
      drain(host, "does not hear us");
      host.returning = true;
      return;
    }
    if (host.up
        && host.resolved
        && host.empty()
        && master.machines().listenedFor(host.idleSince, now) > idleMs(host, type)) {
      drain(host, host.closing ? "not needed" : "idle");
    }
  }

  /** Whether a machine that reports has shown for long that our answers do not come through. */
  private boolean deaf(Host host, long now) {
    long lease = node.settings().workerLeaseMs();
    if (host.deafSince >= 0) {
      return master.machines().listenedFor(host.deafSince, now) > lease / 2;
    }
    return !host.resolved
        && host.heardAt >= 0
        && master.machines().listenedFor(host.since, now) > lease + node.reportMs(4);
  }

  /** A cheap machine is kept for a while where the usual flow of work will want it again. */
  private long idleMs(Host host, MachineType type) {
    if (host.closing) {
      return Math.round(type.bootS() * 250);
    }
    boolean wanted = host.spot && cheap <= target();
    return Math.round(type.bootS() * (wanted ? 2000 : 500));
  }

  /**
   * Closes machines whose room is not needed: they take nothing new and go when they are empty. The
   * dearest go first, of these the least used. They open again, the most used first, when less than
   * the reserve is free on the others. What waits does not count: on a large fleet something always
   * does for a moment, and no machine was ever closed.
   */
  private void close() {
    List<Host> open = new ArrayList<>();
    List<Host> closed = new ArrayList<>();
    double surplus = -master.reserve();
    for (Host host : master.machines().all()) {
      MachineType type = node.type(host.type);
      if (type == null || !host.up || host.draining) {
        continue;
      }
      if (host.closing) {
        closed.add(host);
      } else if (master.machines().usable(host, node.now())) {
        open.add(host);
        surplus += type.cpus() - host.usedCpus();
      }
    }
    Comparator<Host> order =
        Comparator.comparing((Host host) -> host.spot).thenComparingDouble(Host::usedCpus);
    closed.sort(order.reversed());
    for (Host host : closed) {
      if (surplus >= 0) {
        break;
      }
      host.closing = false;
      surplus += node.type(host.type).cpus() - host.usedCpus();
    }
    if (open.size() < 2) {
      return;
    }
    open.sort(order);
    int left = open.size();
    for (Host host : open) {
      MachineType type = node.type(host.type);
      double free = type.cpus() - host.usedCpus();
      if (surplus - free < type.cpus() * (host.spot ? 0.75 : 0.25)
          || host.spot && left <= target()) {
        return;
      }
      host.closing = true;
      left--;
      surplus -= free;
    }
  }

  private boolean silent(Host host, long now) {
    return master.machines().silentFor(host, now) > node.reportMs(3.2);
  }

  /** Most of a zone silent at once is a cut, not the machines. */
  private boolean zoneSilent(Host host, long now) {
    ZoneCount count = zoneCounts.get(host.zone);
    int self = master.machines().silentFor(host, now) > node.reportMs(2) ? 1 : 0;
    int silent = count.silent - self;
    return silent > 0 && silent * 2 >= count.up - 1;
  }

  private void drain(Host host, String why) {
    host.drain(why);
    LOG.info("machine {} goes: {}", host.id, why);
  }

  // ---- giving back

  private void giveBack(long now) {
    if (giving) {
      return;
    }
    List<String> names = new ArrayList<>();
    for (Host host : master.machines().all()) {
      if (names.size() < CloudWire.MAX_RETURN
          && !host.returned
          && (host.returning || host.draining && mayGo(host, now))) {
        host.returning = true;
        names.add(host.id);
      }
    }
    if (names.isEmpty()) {
      return;
    }
    giving = true;
    node.cloud()
        .giveBack(
            names,
            gone -> {
              giving = false;
              if (gone && !master.isOver()) {
                names.forEach(this::returned);
              }
            });
  }

  private boolean mayGo(Host host, long now) {
    if (host.noticeUntil >= 0) {
      // Charged until it is taken; it may finish what it has until then.
      return host.empty() || now > host.noticeUntil + node.reportMs(1) && silent(host, now);
    }
    return host.empty() && host.quiet() || host.lost || silent(host, now) || deaf(host, now);
  }

  /** The cloud has answered: the machine and all that was on it are gone. */
  private void returned(String id) {
    Host host = master.machines().get(id);
    if (host == null) {
      return;
    }
    node.stats().returned++;
    host.returned = true;
    host.lost = true;
    master.machines().loseTasks(host, "returned (" + host.drainReason + ")");
    master.roster().remove(id);
  }

  // ---- the machine list

  private void list(long now) {
    if (listing || now - listedAt < lagMs()) {
      return;
    }
    listing = true;
    listedAt = now;
    node.cloud()
        .list(
            machines -> {
              listing = false;
              if (machines != null && master.running()) {
                compare(machines, node.now());
              }
            });
  }

  private void compare(List<CloudWire.Listed> machines, long now) {
    Set<String> listed = new HashSet<>();
    for (CloudWire.Listed one : machines) {
      listed.add(one.machine());
      Host host = master.machines().get(one.machine());
      if (host != null && one.failed() && !host.returning) {
        drain(host, "stopped by itself");
        host.lost = true;
        host.returning = true;
      }
      if (host == null && !node.view().machines().containsKey(one.machine())) {
        stranger(one, now);
      }
    }
    strangers.keySet().retainAll(listed);
    for (Host host : master.machines().all()) {
      if (listed.contains(host.id) || host.ageMs(now) < 4 * lagMs()) {
        missing.remove(host.id);
      } else if (missing.merge(host.id, 1, Integer::sum) >= 3
          && (host.heardAt < 0 || silent(host, now))) {
        // One that this epoch has never heard of holds up its team's limit and inherited tasks, for
        // the former holder's lease and its own; several changes of hands in a row begin anew.
        if (!host.draining) {
          drain(host, "no longer listed");
        }
        host.returning = true;
      }
    }
    master.machines().forgetMissing(missing);
  }

  /** A machine that nobody has a record of: a late rental, or one whose renter died. */
  private void stranger(CloudWire.Listed one, long now) {
    long since = strangers.computeIfAbsent(one.machine(), m -> now);
    if (!node.membership().first()
        || !master.name.equals(node.membership().self())
        || now - since < 3 * lagMs()) {
      return;
    }
    LOG.info("machine {} is nobody's, adopting it", one.machine());
    master.roster().add(one.machine(), one.type(), one.zone(), one.spot(), true, owned -> {});
  }

  // ---- renting

  /** How many seconds of a whole machine some tasks of a job take. */
  private double machineSeconds(JobSpec spec, int tasks) {
    MachineType type = typeFor(spec);
    return type == null ? 0 : tasks * spec.estimateS() / perMachine(type, spec);
  }

  static int perMachine(MachineType type, JobSpec spec) {
    double most = 10_000;
    if (spec.cpus() > 0) {
      most = Math.min(most, type.cpus() / spec.cpus());
    }
    if (spec.gpus() > 0) {
      most = Math.min(most, type.gpus() / spec.gpus());
    }
    if (spec.memoryGb() > 0) {
      most = Math.min(most, type.memoryGb() / spec.memoryGb());
    }
    return Math.max(1, (int) Math.floor(most + 1e-6));
  }

  /** The type on which a task of the job costs least. */
  private MachineType typeFor(JobSpec spec) {
    MachineType best = null;
    double bestPrice = 0;
    for (MachineType type : node.types()) {
      if (type.allowedFor(spec)) {
        double price =
            (spec.spot() && type.spotPrice() > 0 ? type.spotPrice() : type.price())
                / perMachine(type, spec);
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
      OwnedRange range, MachineType type, boolean spot, String zone, double work, double withinS) {
    boolean sameAs(Need other) {
      return type.name().equals(other.type.name())
          && spot == other.spot
          && Objects.equals(zone, other.zone);
    }

    boolean servedBy(Host host) {
      return host.type.equals(type.name())
          && (spot || !host.spot)
          && (zone == null || zone.equals(host.zone));
    }
  }

  private void rent(long now) {
    measure(now);
    if (renting > 0 || node.types().isEmpty() || node.store().crowded()) {
      return;
    }
    List<Need> needs = new ArrayList<>();
    for (OwnedRange range : master.ranges().all()) {
      // While a machine has not been heard of, what waits of an inherited range may be there, and
      // none of it may start anyway: else every restart rented a second fleet.
      if (range.spec != null
          && !master.policy().mustStop(range)
          && range.waiting() > 0
          && !master.ranges().blocked(range)) {
        MachineType type = typeFor(range.spec);
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
      hire(largest, Math.min(wanted, CloudWire.MAX_RENT), now, true);
      return;
    }
    // What the usual flow keeps busy is rented ahead of it, but only where that is cheap.
    int machines = 0;
    for (Host host : master.machines().all()) {
      machines += host.draining ? 0 : 1;
    }
    wanted = (int) Math.floor(target()) - machines;
    if (wanted > 0 && needs.get(0).spot()) {
      hire(needs.get(0), Math.min(wanted, CloudWire.MAX_RENT), now, false);
    }
  }

  /** How many machines more the needs that ask for the same as this one take. */
  private int missing(Need kind, List<Need> needs, long now) {
    MachineType type = kind.type();
    double busy = 0;
    int machines = 0;
    double booting = 0;
    for (Host host : master.machines().all()) {
      if (host.draining
          || host.lost && silent(host, now)
          || !kind.servedBy(host)
          || failures.avoids(kind.range(), host)) {
        continue;
      }
      machines++;
      if (!host.up) {
        booting += Math.max(type.bootS() * 0.2, type.bootS() - host.ageMs(now) / 1000.0);
      }
      for (PlacedTask task : host.placed()) {
        if (task.live() && task.range != null && task.range.spec != null) {
          JobSpec spec = task.range.spec;
          busy += Math.max(2, remainingS(task, type, now)) / perMachine(type, spec);
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

  private Need need(OwnedRange range, MachineType type, long now) {
    JobSpec spec = range.spec;
    double work =
        (spec.estimateS() + fetchS(type, spec) / 2) * range.waiting() / perMachine(type, spec);
    String zone = range.zone != null ? range.zone : spec.zone();
    double waited = (now - range.waitingSince) / 1000.0;
    double slack =
        spec.deadlineS() < 0
            ? 4 * type.bootS()
            : (spec.deadlineS() - waited - spec.estimateS() - fetchS(type, spec)) * slackUsed(spec)
                + spec.estimateS();
    // A machine that is rented now helps no sooner than it boots, however late the job is.
    double within = Math.min(Math.max(slack, 2 * type.bootS()), 6 * type.bootS());
    return new Need(range, type, spec.spot(), zone, work, within);
  }

  /** The more of a class has to be in time, the less of its slack is used up. */
  private double slackUsed(JobSpec spec) {
    double used = SLACK_USED;
    for (Settings.Objective aim : node.settings().objectives()) {
      if (aim.kind().equals("deadline")
          && aim.jobClass().equals(spec.jobClass())
          && aim.times() <= 1) {
        used = Math.min(used, Math.max(0.1, 5 * (1 - aim.share())));
      }
    }
    return used;
  }

  static double fetchS(MachineType type, JobSpec spec) {
    return type.fetchGbPerS() > 0 ? spec.imageGb() / type.fetchGbPerS() : 0;
  }

  private static double remainingS(PlacedTask task, MachineType type, long now) {
    JobSpec spec = task.range.spec;
    double fetch =
        task.runningSince >= 0
            ? 0
            : Math.max(0, fetchS(type, spec) - (now - task.placedAt) / 1000.0);
    return fetch + task.remainingS(now, spec.estimateS());
  }

  private void hire(Need need, int count, long now, boolean ordinary) {
    List<String> zones = new ArrayList<>();
    for (String zone : need.type().zones()) {
      if (need.zone() == null || need.zone().equals(zone)) {
        zones.add(zone);
      }
    }
    // The own zone first: a cut then parts a master from few of its machines.
    zones.sort(
        (a, b) ->
            Boolean.compare(b.equals(node.settings().zone()), a.equals(node.settings().zone())));
    for (boolean spot : new boolean[] {true, false}) {
      if (spot ? !need.spot() : !ordinary) {
        continue;
      }
      for (String zone : zones) {
        String place = need.type().name() + "/" + zone + "/" + spot;
        if (refusedUntil.getOrDefault(place, 0L) <= now) {
          String request =
              "r-"
                  + node.membership().self()
                  + "-"
                  + master.name
                  + "-"
                  + master.epoch
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
    node.cloud()
        .rent(
            request,
            type,
            zone,
            spot,
            count,
            rent -> {
              if (master.isOver()) {
                return;
              }
              long now = node.now();
              if (rent instanceof Cloud.Rented rented) {
                renting--;
                node.stats().rented += rented.machines().size();
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
                  master.roster().add(id, type, zone, spot, false, owned -> {});
                }
              } else if (rent instanceof Cloud.Again && tries < 20) {
                // The same name again: if it was executed, this gets the same machines.
                node.reactor()
                    .schedule(
                        lagMs() / 4, () -> rentNow(request, type, zone, spot, count, tries + 1));
              } else {
                renting--;
                refusedUntil.put(type + "/" + zone + "/" + spot, now + 2 * lagMs());
              }
            });
  }
}
