package org.fieldtrestle.controller;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.fieldtrestle.api.UserApi;
import org.fieldtrestle.cloud.CloudClient;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.context.JobObjectives;
import org.fieldtrestle.leadership.CancellationNotices;
import org.fieldtrestle.leadership.LeadershipTransfer;
import org.fieldtrestle.leadership.Membership;
import org.fieldtrestle.metrics.ControllerMetrics;
import org.fieldtrestle.routing.ShardLoads;
import org.fieldtrestle.shard.ShardLeader;
import org.fieldtrestle.state.KeyValueClient;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.state.StateKey;
import org.fieldtrestle.transport.EventLoopMeter;
import org.fieldtrestle.transport.EventLoopMeter.Activity;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.PeerSender;
import org.fieldtrestle.transport.Reactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: creates its parts, starts them in order and runs their periodic checks. */
public final class Controller implements Http.Handler {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  /** Heartbeat intervals between two rounds of periodic checks, and between two broadcasts. */
  private static final double CHECK_INTERVALS = 0.2;

  /** Heartbeat intervals for which another controller's status counts. */
  private static final double PEER_STATUS_INTERVALS = 0.8;

  /** Part of a worker's lease after which requests are accepted though no shard is led yet. */
  private static final long LISTEN_AFTER_DIVISOR = 4;

  private final ControllerContext context;
  private final Reactor reactor;
  private final StateCache stateCache;
  private final EventLoopMeter meter;
  private final LocalShards shards;
  private final PeerBroadcaster broadcaster;
  private final PeerMessageReceiver peerReceiver;
  private final LeadershipMonitor leadershipMonitor;
  private final JobFinisher jobFinisher;
  private final OrphanAdopter orphanAdopter;
  private final RequestRouter router;
  private Runnable listen;
  private boolean listening;

  /**
   * Creates a controller; {@link #start} starts it.
   *
   * @param caller makes the calls to the key-value store, the cloud and workers
   * @param peers sends frames to other controllers
   */
  public Controller(
      Settings settings,
      OperatorSettings operatorSettings,
      Reactor reactor,
      RandomGenerator random,
      Http.Caller caller,
      PeerSender peers,
      EventLoopMeter meter) {
    this.reactor = reactor;
    this.meter = meter;
    this.context = createContext(settings, operatorSettings, reactor, random, caller, meter);
    this.stateCache = context.stateCache();
    this.shards = new LocalShards(context, this::listenOnce);
    LeadershipTransfer leadershipTransfer = new LeadershipTransfer(reactor, settings);
    long peerExpiryMs = context.heartbeatIntervalsMs(PEER_STATUS_INTERVALS);
    PeerLiveness liveness = new PeerLiveness(reactor, peerExpiryMs);
    this.broadcaster = new PeerBroadcaster(context, peers, leadershipTransfer, shards);
    this.peerReceiver =
        new PeerMessageReceiver(context, liveness, leadershipTransfer, shards, peerExpiryMs);
    this.leadershipMonitor = new LeadershipMonitor(context, leadershipTransfer, liveness, shards);
    this.jobFinisher = new JobFinisher(context, shards, checkIntervalMs());
    this.orphanAdopter = new OrphanAdopter(context, shards);
    this.router =
        new RequestRouter(
            context,
            meter,
            new UserApi(context, shards::runningTasksOf, new UserApiPeers(liveness, broadcaster)),
            new HeartbeatRouter(context, shards, leadershipTransfer, orphanAdopter),
            shards);
  }

  private static ControllerContext createContext(
      Settings settings,
      OperatorSettings operatorSettings,
      Reactor reactor,
      RandomGenerator random,
      Http.Caller unmetered,
      EventLoopMeter meter) {
    Http.Caller caller = new MeteredCaller(unmetered, settings, meter);
    KeyValueClient store = new KeyValueClient(reactor, caller, settings);
    StateCache stateCache = new StateCache(reactor, store, settings);
    String boot = Long.toHexString(random.nextLong());
    CloudClient cloud = new CloudClient(reactor, caller, settings);
    return new ControllerContext(
        settings,
        operatorSettings,
        reactor,
        random,
        caller,
        store,
        stateCache,
        cloud,
        new Membership(reactor, store, stateCache, settings, boot),
        new ShardLoads(
            reactor, settings.label(), settings.heartbeatIntervalsMs(PEER_STATUS_INTERVALS)),
        new CancellationNotices(),
        new ControllerMetrics(meter),
        new JobObjectives(settings, operatorSettings, cloud));
  }

  /**
   * Begins to follow the state and to act.
   *
   * @param listen accepts requests of users and workers; called once, when the first shard is led
   *     or after a part of a worker's lease. Before that a controller could only answer 503, and
   *     the requests of all workers at once would keep a small share of a core from acting in time
   *     for their leases, while a refused connection sends them to another controller at no cost.
   *     If acting takes long, as in an outage of the key-value store, users should get an answer
   *     that says when to retry.
   */
  public void start(Runnable listen) {
    LOG.atInfo()
        .addKeyValue("controller", context.settings().label())
        .addKeyValue("zone", context.settings().zone())
        .log("controller starts");
    this.listen = listen;
    stateCache.addKeyListener(this::keyChanged);
    stateCache.addProgressListener(
        () -> context.cancellations().revisionApplied(stateCache.appliedRevision()));
    stateCache.start();
    context.cloud().start();
    startWhenStateIsKnown();
    reactor.schedule(context.settings().workerLeaseMs() / LISTEN_AFTER_DIVISOR, this::listenOnce);
  }

  private void listenOnce() {
    if (!listening) {
      listening = true;
      listen.run();
    }
  }

  private void startWhenStateIsKnown() {
    if (!stateCache.isReady()) {
      reactor.schedule(stateCache.watchIntervalMs() / 3, this::startWhenStateIsKnown);
      return;
    }
    context.membership().start(shards);
    checkPeriodically();
    broadcastPeriodically();
  }

  private long checkIntervalMs() {
    return context.heartbeatIntervalsMs(CHECK_INTERVALS);
  }

  private void checkPeriodically() {
    meter.run(Activity.PERIODIC_CHECKS, this::check);
    reactor.schedule(checkIntervalMs(), this::checkPeriodically);
  }

  private void check() {
    shards.tellAll(new ShardLeader.Tick());
    jobFinisher.check();
    leadershipMonitor.check();
  }

  private void broadcastPeriodically() {
    meter.run(Activity.PEER_BROADCAST, broadcaster::broadcastStatus);
    reactor.schedule(checkIntervalMs(), this::broadcastPeriodically);
  }

  private void keyChanged(StateKey key) {
    if (key instanceof StateKey.MachineKey machineKey) {
      orphanAdopter.machineChanged(machineKey);
    }
    shards.tellAll(new ShardLeader.KeyChanged(key));
  }

  /** Receives a frame from another controller, without its length; on the reactor's thread. */
  public void frame(ByteBuffer frame) {
    meter.run(Activity.PEER_FRAME, () -> peerReceiver.receive(frame));
  }

  @Override
  public void handle(Http.Request request, Consumer<Http.Response> reply) {
    router.handle(request, reply);
  }
}
