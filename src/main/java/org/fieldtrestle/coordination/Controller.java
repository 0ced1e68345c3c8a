package org.fieldtrestle.coordination;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.fieldtrestle.bookkeeping.Records;
import org.fieldtrestle.bookkeeping.Store;
import org.fieldtrestle.bookkeeping.View;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.PeerWire;
import org.fieldtrestle.protocol.Settings;
import org.fieldtrestle.protocol.StateWire;
import org.fieldtrestle.protocol.UserWire;
import org.fieldtrestle.protocol.WorkerWire;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.PeerLink;
import org.fieldtrestle.transport.Reactor;
import org.fieldtrestle.transport.WorkMeter;
import org.fieldtrestle.transport.WorkMeter.Work;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: its actors, and which of them gets which request. */
public final class Controller implements Http.Handler {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  /** Machines whose record went that are remembered. */
  private static final int MAX_GONE_MACHINES = 10_000;

  /** Part of a worker's lease after which requests are accepted whether or not we act. */
  private static final long LISTEN_AFTER_DIVISOR = 4;

  private final Node node;
  private final Reactor reactor;
  private final View view;
  private final PeerLink peers;
  private final Loads loads;
  private final Gateway gateway;
  private final LeadershipTransfer leadershipTransfer;
  private final WorkMeter meter;
  private final Map<String, Master> masters = new TreeMap<>();
  private final Set<String> adopting = new HashSet<>();
  private final Set<String> finishing = new HashSet<>();

  /** Machines whose record went; a late report must not bring them back. */
  private final RecentEntries<String, Boolean> gone = new RecentEntries<>(MAX_GONE_MACHINES);

  private final Set<String> knownMachines = new HashSet<>();
  private final Map<String, Heard> pulses = new HashMap<>();
  private Runnable listen;
  private boolean listening;

  public Controller(
      Settings settings,
      Tuning tuning,
      Reactor reactor,
      RandomGenerator random,
      Http.Caller unmetered,
      PeerLink peers,
      WorkMeter meter) {
    this.meter = meter;
    Http.Caller caller = metered(unmetered, settings, meter);
    this.reactor = reactor;
    this.peers = peers;
    Store store = new Store(reactor, caller, settings);
    this.view = new View(reactor, store, settings);
    String boot = Long.toHexString(random.nextLong());
    Membership membership = new Membership(reactor, store, view, settings, boot);
    Cloud cloud = new Cloud(reactor, caller, settings);
    this.loads =
        new Loads(reactor, settings.label(), Math.round(settings.workers().reportS() * 800));
    this.node =
        new Node(
            settings,
            tuning,
            reactor,
            random,
            caller,
            store,
            view,
            cloud,
            membership,
            loads,
            new Cancellations(),
            new Stats(meter));
    this.leadershipTransfer = new LeadershipTransfer(node);
    this.gateway =
        new Gateway(
            node,
            this::running,
            new Gateway.Peers() {
              @Override
              public boolean anyServed() {
                return pulses.values().stream().anyMatch(p -> p.served() && fresh(p));
              }

              @Override
              public boolean anyHeard() {
                return pulses.values().stream().anyMatch(p -> fresh(p));
              }

              @Override
              public void cancelled(String job) {
                sayCancelled(job);
              }
            });
  }

  /** When another controller was heard of last, and whether the state service answered it. */
  private record Heard(long at, boolean served) {}

  private boolean fresh(Heard heard) {
    return reactor.now() - heard.at() <= node.reportMs(0.8);
  }

  /**
   * Begins to follow the state and to act.
   *
   * @param listen accepts requests of users and workers, called once. Until this controller acts,
   *     it could answer them only with 503, and requests of all workers at once would keep a small
   *     share of a core from ever acting in time for their leases; a connection that is refused
   *     sends them on as well and costs nothing. Where acting takes long, as in an outage of the
   *     state service, users had better be told when to come again.
   */
  public void start(Runnable listen) {
    LOG.info("controller {} in zone {} starts", node.settings().label(), node.settings().zone());
    this.listen = listen;
    view.listen(this::changed);
    view.listenProgress(() -> node.cancellations().followed(view.followed()));
    view.start();
    node.cloud().start();
    awaitView();
    reactor.schedule(node.settings().workerLeaseMs() / LISTEN_AFTER_DIVISOR, this::listenOnce);
  }

  private void listenOnce() {
    if (!listening) {
      listening = true;
      listen.run();
    }
  }

  private void awaitView() {
    if (!view.ready()) {
      reactor.schedule(view.watchGapMs() / 3, this::awaitView);
      return;
    }
    node.membership()
        .start(
            new Membership.Listener() {
              @Override
              public void began(String name, long epoch, boolean othersMayAct) {
                Master master =
                    new Master(node, name, epoch, othersMayAct, Controller.this::listenOnce);
                Master old = masters.put(name, master);
                if (old != null) {
                  old.tell(new Master.Ended());
                }
                master.tell(new Master.Tick());
              }

              @Override
              public void ended(String name) {
                Master old = masters.remove(name);
                if (old != null) {
                  old.tell(new Master.Ended());
                }
              }
            });
    tick();
    gossip();
  }

  /** Counts what answers cost by who has given them. */
  private static Http.Caller metered(Http.Caller caller, Settings settings, WorkMeter meter) {
    return (address, method, path, body, timeoutMs, done) -> {
      Work work = Work.WORKER_COMMAND_ANSWER;
      if (address.equals(settings.stateAddress())) {
        work = path.startsWith(StateWire.WATCH) ? Work.STATE_WATCH : Work.STATE_ANSWER;
      } else if (address.equals(settings.cloudAddress())) {
        work = Work.CLOUD_ANSWER;
      }
      Work answer = work;
      caller.call(
          address,
          method,
          path,
          body,
          timeoutMs,
          outcome -> meter.run(answer, () -> done.accept(outcome)));
    };
  }

  private void tick() {
    meter.run(Work.PERIODIC_CHECKS, this::check);
    reactor.schedule(node.reportMs(0.2), this::tick);
  }

  private void check() {
    masters.values().forEach(master -> master.tell(new Master.Tick()));
    finishComplete();
    handOver();
    takeFromUnreachable();
  }

  /** Whoever our workers reach had better hold our masters while they do not reach us. */
  private void handOver() {
    String to = node.acting() ? leadershipTransfer.better(masters.values()) : null;
    if (to != null) {
      LOG.warn("no machine of ours reaches us, but they reach {}: handing over to it", to);
      List.copyOf(masters.keySet()).forEach(master -> node.membership().handOver(master, to));
    }
  }

  /** Whose workers ask us, while nothing is heard of it itself, had better not keep its masters. */
  private void takeFromUnreachable() {
    if (!node.acting()) {
      return;
    }
    for (Map.Entry<String, Heard> one : pulses.entrySet()) {
      long silentMs = reactor.now() - one.getValue().at();
      if (fresh(one.getValue()) || !view.members().containsKey(one.getKey())) {
        continue;
      }
      for (String master : view.mastersOf(one.getKey())) {
        if (leadershipTransfer.unreachable(one.getKey(), silentMs, view.machinesOf(master))) {
          LOG.warn("{} is out of reach of its workers and of us", one.getKey());
          node.membership().takeFrom(master);
        }
      }
    }
  }

  private void gossip() {
    meter.run(Work.PEER_BROADCAST, this::broadcast);
    reactor.schedule(node.reportMs(0.2), this::gossip);
  }

  private void broadcast() {
    ByteBuffer pulse =
        PeerWire.encode(
            reactor.wall(),
            new PeerWire.Pulse(
                node.settings().label(), view.ready() && node.store().unansweredMs() == 0));
    node.settings()
        .peers()
        .forEach(
            p -> {
              peers.send(p.address(), pulse.duplicate());
              peers.send(
                  p.address(),
                  PeerWire.encode(reactor.wall(), leadershipTransfer.frame(p.label())));
            });
    if (node.acting()) {
      for (Master master : masters.values()) {
        if (master.isActive()) {
          PeerWire.Load load = master.load();
          loads.heard(load);
          ByteBuffer frame = PeerWire.encode(reactor.wall(), load);
          node.settings().peers().forEach(p -> peers.send(p.address(), frame.duplicate()));
        }
      }
    }
  }

  /** A frame from another controller, without its length. */
  public void frame(ByteBuffer frame) {
    meter.run(Work.PEER_FRAME, () -> read(frame));
  }

  private void read(ByteBuffer frame) {
    try {
      PeerWire.Frame read = PeerWire.decode(frame);
      if (read.message() instanceof PeerWire.Cancelled cancelled) { // final, and true at any age
        node.cancellations().heard(cancelled.job());
        masters.values().forEach(master -> master.tell(new Master.Cancelled(cancelled.job())));
        return;
      }
      long age = Math.abs(reactor.wall() - read.sentWall());
      if (age > node.reportMs(0.8) + 2 * node.settings().clockOffMs()) {
        return; // held by a cut: what it says was so then
      }
      PeerWire.Message message = read.message();
      if (message instanceof PeerWire.Load load && !masters.containsKey(load.master())) {
        loads.heard(load);
      } else if (message instanceof PeerWire.Pulse pulse) {
        pulses.put(pulse.sender(), new Heard(reactor.now(), pulse.served()));
      } else if (message instanceof PeerWire.SentOn sent) {
        leadershipTransfer.heard(sent);
      }
    } catch (PeerWire.BadFrame e) {
      LOG.warn("peer frame refused: {}", e.getMessage());
    }
  }

  /**
   * A hint that makes tasks stop sooner where the state service does not answer whoever runs them.
   * The fence holds without it.
   */
  private void sayCancelled(String job) {
    ByteBuffer frame =
        PeerWire.encode(reactor.wall(), new PeerWire.Cancelled(node.settings().label(), job));
    node.settings().peers().forEach(p -> peers.send(p.address(), frame.duplicate()));
  }

  private int running(String job) {
    int sum = 0;
    for (Master master : masters.values()) {
      sum += master.runningOf(job);
    }
    return sum;
  }

  private void changed(Records.Key key) {
    if (key instanceof Records.MachineKey k) {
      if (view.machines().containsKey(k.machine())) {
        knownMachines.add(k.machine());
      } else if (knownMachines.remove(k.machine())) {
        gone.put(k.machine(), true);
      }
    }
    masters.values().forEach(master -> master.tell(new Master.Changed(key)));
  }

  /** Two masters that complete a job's last ranges at once may both miss that it is over. */
  private void finishComplete() {
    if (!node.acting() || node.store().crowded()) {
      return;
    }
    for (Map.Entry<String, View.LiveJob> one : view.all().entrySet()) {
      View.LiveJob job = one.getValue();
      if (job.complete()
          && masters.containsKey(job.ranges().firstEntry().getValue().record().master())
          && !finishing.contains(one.getKey())) {
        finish(one.getKey());
        return;
      }
    }
  }

  private void finish(String job) {
    List<StateWire.Condition> conditions = new ArrayList<>();
    List<StateWire.Change> changes = new ArrayList<>();
    if (!JobCompletion.whole(node, job, conditions, changes)) {
      return;
    }
    finishing.add(job);
    node.store()
        .commit(
            new Store.Txn(conditions, changes),
            result -> {
              if (result instanceof Store.Committed committed) {
                view.committed(changes, committed.revision());
              }
              reactor.schedule(node.reportMs(0.2), () -> finishing.remove(job));
            });
  }

  // ---- requests

  @Override
  public void handle(Http.Request request, Consumer<Http.Response> reply) {
    Work work = request.path().equals(WorkerWire.REPORT) ? Work.WORKER_REPORT : Work.OTHER_REQUEST;
    meter.run(work, () -> dispatch(request, reply));
  }

  private void dispatch(Http.Request request, Consumer<Http.Response> reply) {
    String path = request.path();
    if (path.equals(WorkerWire.REPORT)) {
      if (request.method().equals("POST")) {
        report(request.body(), reply);
      } else {
        reply.accept(new Http.Response(405, Http.Response.EMPTY));
      }
    } else if (path.equals(UserWire.READY)) {
      reply.accept(
          gateway.ready()
              ? new Http.Response(200, Http.Response.EMPTY)
              : new Http.Response(503, Http.Response.EMPTY, 1));
    } else if (path.equals(UserWire.STATS) && request.method().equals("GET")) {
      reply.accept(new Http.Response(200, StatsPage.render(node, masters.values())));
    } else if (path.equals(UserWire.JOBS)) {
      if (request.method().equals("POST")) {
        gateway.tell(new Gateway.Submit(request.body(), reply));
      } else {
        reply.accept(new Http.Response(405, Http.Response.EMPTY));
      }
    } else if (path.startsWith(UserWire.JOBS + "/")) {
      job(request, path.substring(UserWire.JOBS.length() + 1), reply);
    } else {
      reply.accept(new Http.Response(404, Http.Response.EMPTY));
    }
  }

  private void job(Http.Request request, String rest, Consumer<Http.Response> reply) {
    int slash = rest.indexOf('/');
    if (slash < 0 && request.method().equals("GET")) {
      gateway.tell(new Gateway.Poll(rest, reply));
    } else if (slash >= 0 && rest.substring(slash + 1).equals(UserWire.CANCEL)) {
      if (request.method().equals("POST")) {
        gateway.tell(new Gateway.Cancel(rest.substring(0, slash), reply));
      } else {
        reply.accept(new Http.Response(405, Http.Response.EMPTY));
      }
    } else if (slash < 0) {
      reply.accept(new Http.Response(405, Http.Response.EMPTY));
    } else {
      reply.accept(new Http.Response(404, Http.Response.EMPTY));
    }
  }

  private void report(byte[] body, Consumer<Http.Response> reply) {
    WorkerWire.Report report;
    try {
      report = WorkerWire.readReport(body);
    } catch (Json.Malformed e) {
      reply.accept(new Http.Response(400, UserWire.error(e.getMessage())));
      return;
    }
    if (!view.ready()) {
      reply.accept(new Http.Response(503, Http.Response.EMPTY));
      return;
    }
    Records.Machine record = view.machines().get(report.machine());
    if (record == null) {
      adopt(report);
      reply.accept(new Http.Response(503, Http.Response.EMPTY));
      return;
    }
    Master master = masters.get(record.master());
    if (master != null) {
      master.tell(new Master.Reported(report, reply));
      return;
    }
    View.Kept<Records.Master> holder = view.master(record.master());
    String to = holder == null ? null : holder.record().holder();
    if (to != null) {
      leadershipTransfer.sentOn(report.machine(), to);
    }
    reply.accept(
        new Http.Response(
            421, WorkerWire.redirect(node.settings().label().equals(to) ? null : to)));
  }

  /**
   * A machine without a record reports: it becomes ours once it answers, as a report may be a late
   * copy of one from a machine that was returned long ago.
   */
  private void adopt(WorkerWire.Report report) {
    Master master = masters.get(node.settings().label());
    String id = report.machine();
    if (master == null || !master.running() || gone.get(id) != null || !adopting.add(id)) {
      return;
    }
    node.caller()
        .call(
            report.address(),
            "GET",
            WorkerWire.INSPECT,
            Http.Response.EMPTY,
            WorkerWire.ANSWER_WITHIN_MS,
            outcome -> {
              if (!master.running() || !answersAs(id, outcome)) {
                reactor.schedule(node.reportMs(1), () -> adopting.remove(id));
                return;
              }
              LOG.info("machine {} reports and is nobody's, adopting it", id);
              master
                  .roster()
                  .add(
                      id,
                      report.type(),
                      report.zone(),
                      report.spot(),
                      true,
                      owned -> adopting.remove(id));
            });
  }

  private static boolean answersAs(String machine, Http.Outcome outcome) {
    if (outcome instanceof Http.Answer answer && answer.status() == 200) {
      try {
        return WorkerWire.readReport(answer.body()).machine().equals(machine);
      } catch (Json.Malformed e) {
        return false;
      }
    }
    return false;
  }
}
