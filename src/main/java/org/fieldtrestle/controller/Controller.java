package org.fieldtrestle.controller;

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
import org.fieldtrestle.api.UserApi;
import org.fieldtrestle.cloud.CloudClient;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.leadership.CancellationNotices;
import org.fieldtrestle.leadership.LeadershipTransfer;
import org.fieldtrestle.leadership.Membership;
import org.fieldtrestle.metrics.ControllerMetrics;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.protocol.PeerProtocol;
import org.fieldtrestle.protocol.UserProtocol;
import org.fieldtrestle.protocol.WorkerProtocol;
import org.fieldtrestle.routing.ShardLoads;
import org.fieldtrestle.shard.ShardLeader;
import org.fieldtrestle.state.BoundedCache;
import org.fieldtrestle.state.KeyValueClient;
import org.fieldtrestle.state.Records;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.transport.EventLoopMeter;
import org.fieldtrestle.transport.EventLoopMeter.Work;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.PeerSender;
import org.fieldtrestle.transport.Reactor;
import org.fieldtrestle.worker.JobCompletion;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: its actors, and which of them gets which request. */
public final class Controller implements Http.Handler {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  /** Machines whose record went that are remembered. */
  private static final int MAX_GONE_MACHINES = 10_000;

  /** Part of a worker's lease after which requests are accepted whether or not we act. */
  private static final long LISTEN_AFTER_DIVISOR = 4;

  private final ControllerContext context;
  private final Reactor reactor;
  private final StateCache stateCache;
  private final PeerSender peers;
  private final ShardLoads loads;
  private final UserApi gateway;
  private final LeadershipTransfer leadershipTransfer;
  private final EventLoopMeter meter;
  private final Map<String, ShardLeader> shards = new TreeMap<>();
  private final Set<String> adopting = new HashSet<>();
  private final Set<String> finishing = new HashSet<>();

  /** Machines whose record went; a late report must not bring them back. */
  private final BoundedCache<String, Boolean> gone = new BoundedCache<>(MAX_GONE_MACHINES);

  private final Set<String> knownMachines = new HashSet<>();
  private final Map<String, Heard> pulses = new HashMap<>();
  private Runnable listen;
  private boolean listening;

  public Controller(
      Settings settings,
      OperatorSettings operatorSettings,
      Reactor reactor,
      RandomGenerator random,
      Http.Caller unmetered,
      PeerSender peers,
      EventLoopMeter meter) {
    this.meter = meter;
    Http.Caller caller = metered(unmetered, settings, meter);
    this.reactor = reactor;
    this.peers = peers;
    KeyValueClient store = new KeyValueClient(reactor, caller, settings);
    this.stateCache = new StateCache(reactor, store, settings);
    String boot = Long.toHexString(random.nextLong());
    Membership membership = new Membership(reactor, store, stateCache, settings, boot);
    CloudClient cloud = new CloudClient(reactor, caller, settings);
    this.loads =
        new ShardLoads(
            reactor, settings.label(), Math.round(settings.workers().heartbeatIntervalS() * 800));
    this.context =
        new ControllerContext(
            settings,
            operatorSettings,
            reactor,
            random,
            caller,
            store,
            stateCache,
            cloud,
            membership,
            loads,
            new CancellationNotices(),
            new ControllerMetrics(meter));
    this.leadershipTransfer = new LeadershipTransfer(reactor, settings);
    this.gateway =
        new UserApi(
            context,
            this::running,
            new UserApi.Peers() {
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
    return reactor.now() - heard.at() <= context.heartbeatIntervalsMs(0.8);
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
    LOG.info(
        "controller {} in zone {} starts", context.settings().label(), context.settings().zone());
    this.listen = listen;
    stateCache.listen(this::changed);
    stateCache.addProgressListener(
        () -> context.cancellations().appliedRevision(stateCache.appliedRevision()));
    stateCache.start();
    context.cloud().start();
    awaitView();
    reactor.schedule(context.settings().workerLeaseMs() / LISTEN_AFTER_DIVISOR, this::listenOnce);
  }

  private void listenOnce() {
    if (!listening) {
      listening = true;
      listen.run();
    }
  }

  private void awaitView() {
    if (!stateCache.ready()) {
      reactor.schedule(stateCache.watchIntervalMs() / 3, this::awaitView);
      return;
    }
    context
        .membership()
        .start(
            new Membership.Listener() {
              @Override
              public void began(String name, long epoch, boolean formerLeaderMayAct) {
                ShardLeader shard =
                    new ShardLeader(
                        context, name, epoch, formerLeaderMayAct, Controller.this::listenOnce);
                ShardLeader old = shards.put(name, shard);
                if (old != null) {
                  old.tell(new ShardLeader.Ended());
                }
                shard.tell(new ShardLeader.Tick());
              }

              @Override
              public void ended(String name) {
                ShardLeader old = shards.remove(name);
                if (old != null) {
                  old.tell(new ShardLeader.Ended());
                }
              }
            });
    tick();
    gossip();
  }

  /** Counts what answers cost by who has given them. */
  private static Http.Caller metered(Http.Caller caller, Settings settings, EventLoopMeter meter) {
    return (address, method, path, body, timeoutMs, done) -> {
      Work work = Work.WORKER_COMMAND_ANSWER;
      if (address.equals(settings.stateAddress())) {
        work = path.startsWith(KeyValueProtocol.WATCH) ? Work.STATE_WATCH : Work.STATE_ANSWER;
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
    reactor.schedule(context.heartbeatIntervalsMs(0.2), this::tick);
  }

  private void check() {
    shards.values().forEach(shard -> shard.tell(new ShardLeader.Tick()));
    finishComplete();
    transferLeadership();
    takeFromUnreachable();
  }

  /** Whoever our workers reach had better hold our shards while they do not reach us. */
  private void transferLeadership() {
    String to = context.mayAct() ? leadershipTransfer.better(reachability()) : null;
    if (to != null) {
      LOG.warn("no machine of ours reaches us, but they reach {}: handing over to it", to);
      List.copyOf(shards.keySet())
          .forEach(shard -> context.membership().transferLeadership(shard, to));
    }
  }

  private LeadershipTransfer.WorkerReachability reachability() {
    int up = 0;
    int silent = 0;
    for (ShardLeader shard : shards.values()) {
      LeadershipTransfer.WorkerReachability one =
          shard.reachability(leadershipTransfer.silentAfterMs());
      up += one.up();
      silent += one.silent();
    }
    return new LeadershipTransfer.WorkerReachability(up, silent);
  }

  /** Whose workers ask us, while nothing is heard of it itself, had better not keep its shards. */
  private void takeFromUnreachable() {
    if (!context.mayAct()) {
      return;
    }
    for (Map.Entry<String, Heard> one : pulses.entrySet()) {
      long silentMs = reactor.now() - one.getValue().at();
      if (fresh(one.getValue()) || !stateCache.members().containsKey(one.getKey())) {
        continue;
      }
      for (String shard : stateCache.shardsLedBy(one.getKey())) {
        if (leadershipTransfer.unreachable(
            one.getKey(), silentMs, stateCache.machineCountOf(shard))) {
          LOG.warn("{} is out of reach of its workers and of us", one.getKey());
          context.membership().seizeLeadership(shard);
        }
      }
    }
  }

  private void gossip() {
    meter.run(Work.PEER_BROADCAST, this::broadcast);
    reactor.schedule(context.heartbeatIntervalsMs(0.2), this::gossip);
  }

  private void broadcast() {
    ByteBuffer pulse =
        PeerProtocol.encode(
            reactor.wall(),
            new PeerProtocol.Liveness(
                context.settings().label(),
                stateCache.ready() && context.store().unavailableForMs() == 0));
    context
        .settings()
        .peers()
        .forEach(
            p -> {
              peers.send(p.address(), pulse.duplicate());
              peers.send(
                  p.address(),
                  PeerProtocol.encode(reactor.wall(), leadershipTransfer.frame(p.label())));
            });
    if (context.mayAct()) {
      for (ShardLeader shard : shards.values()) {
        if (shard.isActive()) {
          PeerProtocol.ShardLoad load = shard.load();
          loads.heard(load);
          ByteBuffer frame = PeerProtocol.encode(reactor.wall(), load);
          context.settings().peers().forEach(p -> peers.send(p.address(), frame.duplicate()));
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
      PeerProtocol.Frame read = PeerProtocol.decode(frame);
      if (read.message()
          instanceof PeerProtocol.JobCancelled cancelled) { // final, and true at any age
        context.cancellations().heard(cancelled.job());
        shards.values().forEach(shard -> shard.tell(new ShardLeader.Cancelled(cancelled.job())));
        return;
      }
      long age = Math.abs(reactor.wall() - read.sentWall());
      if (age > context.heartbeatIntervalsMs(0.8) + 2 * context.settings().clockOffMs()) {
        return; // held by a cut: what it says was so then
      }
      PeerProtocol.Message message = read.message();
      if (message instanceof PeerProtocol.ShardLoad load && !shards.containsKey(load.shard())) {
        loads.heard(load);
      } else if (message instanceof PeerProtocol.Liveness pulse) {
        pulses.put(pulse.sender(), new Heard(reactor.now(), pulse.served()));
      } else if (message instanceof PeerProtocol.RedirectCount sent) {
        leadershipTransfer.heard(sent);
      }
    } catch (PeerProtocol.MalformedFrameException e) {
      LOG.warn("peer frame refused: {}", e.getMessage());
    }
  }

  /**
   * A hint that makes tasks stop sooner where the state service does not answer whoever runs them.
   * The fence holds without it.
   */
  private void sayCancelled(String job) {
    ByteBuffer frame =
        PeerProtocol.encode(
            reactor.wall(), new PeerProtocol.JobCancelled(context.settings().label(), job));
    context.settings().peers().forEach(p -> peers.send(p.address(), frame.duplicate()));
  }

  private int running(String job) {
    int sum = 0;
    for (ShardLeader shard : shards.values()) {
      sum += shard.runningOf(job);
    }
    return sum;
  }

  private void changed(Records.Key key) {
    if (key instanceof Records.MachineKey k) {
      if (stateCache.machines().containsKey(k.machine())) {
        knownMachines.add(k.machine());
      } else if (knownMachines.remove(k.machine())) {
        gone.put(k.machine(), true);
      }
    }
    shards.values().forEach(shard -> shard.tell(new ShardLeader.Changed(key)));
  }

  /** Two shards that complete a job's last ranges at once may both miss that it is over. */
  private void finishComplete() {
    if (!context.mayAct() || context.store().isCongested()) {
      return;
    }
    for (Map.Entry<String, StateCache.ActiveJob> one : stateCache.all().entrySet()) {
      StateCache.ActiveJob job = one.getValue();
      if (job.complete()
          && shards.containsKey(job.ranges().firstEntry().getValue().record().shard())
          && !finishing.contains(one.getKey())) {
        finish(one.getKey());
        return;
      }
    }
  }

  private void finish(String job) {
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    if (!JobCompletion.whole(context, job, conditions, changes)) {
      return;
    }
    finishing.add(job);
    context
        .store()
        .commit(
            new KeyValueClient.Transaction(conditions, changes),
            result -> {
              if (result instanceof KeyValueClient.Committed committed) {
                stateCache.committed(changes, committed.revision());
              }
              reactor.schedule(context.heartbeatIntervalsMs(0.2), () -> finishing.remove(job));
            });
  }

  // ---- requests

  @Override
  public void handle(Http.Request request, Consumer<Http.Response> reply) {
    Work work =
        request.path().equals(WorkerProtocol.REPORT) ? Work.WORKER_REPORT : Work.OTHER_REQUEST;
    meter.run(work, () -> dispatch(request, reply));
  }

  private void dispatch(Http.Request request, Consumer<Http.Response> reply) {
    String path = request.path();
    if (path.equals(WorkerProtocol.REPORT)) {
      if (request.method().equals("POST")) {
        report(request.body(), reply);
      } else {
        reply.accept(new Http.Response(405, Http.Response.EMPTY));
      }
    } else if (path.equals(UserProtocol.READY)) {
      reply.accept(
          gateway.ready()
              ? new Http.Response(200, Http.Response.EMPTY)
              : new Http.Response(503, Http.Response.EMPTY, 1));
    } else if (path.equals(UserProtocol.STATS) && request.method().equals("GET")) {
      reply.accept(new Http.Response(200, StatsPage.render(context, shards.values())));
    } else if (path.equals(UserProtocol.JOBS)) {
      if (request.method().equals("POST")) {
        gateway.tell(new UserApi.Submit(request.body(), reply));
      } else {
        reply.accept(new Http.Response(405, Http.Response.EMPTY));
      }
    } else if (path.startsWith(UserProtocol.JOBS + "/")) {
      job(request, path.substring(UserProtocol.JOBS.length() + 1), reply);
    } else {
      reply.accept(new Http.Response(404, Http.Response.EMPTY));
    }
  }

  private void job(Http.Request request, String rest, Consumer<Http.Response> reply) {
    int slash = rest.indexOf('/');
    if (slash < 0 && request.method().equals("GET")) {
      gateway.tell(new UserApi.Poll(rest, reply));
    } else if (slash >= 0 && rest.substring(slash + 1).equals(UserProtocol.CANCEL)) {
      if (request.method().equals("POST")) {
        gateway.tell(new UserApi.Cancel(rest.substring(0, slash), reply));
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
    WorkerProtocol.Heartbeat report;
    try {
      report = WorkerProtocol.readHeartbeat(body);
    } catch (Json.MalformedJsonException e) {
      reply.accept(new Http.Response(400, UserProtocol.error(e.getMessage())));
      return;
    }
    if (!stateCache.ready()) {
      reply.accept(new Http.Response(503, Http.Response.EMPTY));
      return;
    }
    Records.Machine record = stateCache.machines().get(report.machine());
    if (record == null) {
      adopt(report);
      reply.accept(new Http.Response(503, Http.Response.EMPTY));
      return;
    }
    ShardLeader shard = shards.get(record.shard());
    if (shard != null) {
      shard.tell(new ShardLeader.Reported(report, reply));
      return;
    }
    StateCache.Versioned<Records.Shard> holder = stateCache.shard(record.shard());
    String to = holder == null ? null : holder.record().holder();
    if (to != null) {
      leadershipTransfer.sentOn(report.machine(), to);
    }
    reply.accept(
        new Http.Response(
            421, WorkerProtocol.redirect(context.settings().label().equals(to) ? null : to)));
  }

  /**
   * A machine without a record reports: it becomes ours once it answers, as a report may be a late
   * copy of one from a machine that was returned long ago.
   */
  private void adopt(WorkerProtocol.Heartbeat report) {
    ShardLeader shard = shards.get(context.settings().label());
    String id = report.machine();
    if (shard == null || !shard.isLeading() || gone.get(id) != null || !adopting.add(id)) {
      return;
    }
    context
        .caller()
        .call(
            report.address(),
            "GET",
            WorkerProtocol.INSPECT,
            Http.Response.EMPTY,
            WorkerProtocol.ANSWER_WITHIN_MS,
            outcome -> {
              if (!shard.isLeading() || !answersAs(id, outcome)) {
                reactor.schedule(context.heartbeatIntervalsMs(1), () -> adopting.remove(id));
                return;
              }
              LOG.info("machine {} reports and is nobody's, adopting it", id);
              shard
                  .inventory()
                  .adopt(
                      id, report.type(), report.zone(), report.spot(), () -> adopting.remove(id));
            });
  }

  private static boolean answersAs(String machine, Http.Outcome outcome) {
    if (outcome instanceof Http.Answer answer && answer.status() == 200) {
      try {
        return WorkerProtocol.readHeartbeat(answer.body()).machine().equals(machine);
      } catch (Json.MalformedJsonException e) {
        return false;
      }
    }
    return false;
  }
}
