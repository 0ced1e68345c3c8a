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

/** One controller: creates its components, starts them in order and runs their periodic checks. */
public final class Controller implements Http.Handler {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  /**
   * Time between two rounds of periodic checks and between two broadcasts, in heartbeat intervals.
   */
  private static final double CHECK_INTERVALS = 0.2;

  /** Time after which the last status of another controller expires, in heartbeat intervals. */
  private static final double PEER_STATUS_EXPIRY_INTERVALS = 0.8;

  /**
   * Requests are accepted after a worker's lease divided by this number, even if this controller
   * leads no shard by then.
   */
  private static final long LISTEN_DELAY_DIVISOR = 4;

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
  private Runnable startListening;
  private boolean listening;

  /**
   * Creates a controller; {@link #start} starts it.
   *
   * @param caller makes the HTTP calls to the key-value store, the cloud and workers
   * @param peerSender sends frames to other controllers
   */
  public Controller(
      Settings settings,
      OperatorSettings operatorSettings,
      Reactor reactor,
      RandomGenerator random,
      Http.Caller caller,
      PeerSender peerSender,
      EventLoopMeter meter) {
    this.reactor = reactor;
    this.meter = meter;
    this.context = createContext(settings, operatorSettings, reactor, random, caller, meter);
    this.stateCache = context.stateCache();
    this.shards = new LocalShards(context, this::startListeningOnce);
    LeadershipTransfer leadershipTransfer = new LeadershipTransfer(reactor, settings);
    long peerExpiryMs = context.heartbeatIntervalsMs(PEER_STATUS_EXPIRY_INTERVALS);
    PeerLiveness liveness = new PeerLiveness(reactor, peerExpiryMs);
    this.broadcaster = new PeerBroadcaster(context, peerSender, leadershipTransfer, shards);
    this.peerReceiver =
        new PeerMessageReceiver(context, liveness, leadershipTransfer, shards, peerExpiryMs);
    this.leadershipMonitor = new LeadershipMonitor(context, leadershipTransfer, liveness, shards);
    this.jobFinisher = new JobFinisher(context, shards, checkIntervalMs());
    this.orphanAdopter = new OrphanAdopter(context, shards);
    this.router =
        new RequestRouter(
            context,
            meter,
            new UserApi(context, shards::runningTaskCount, new UserApiPeers(liveness, broadcaster)),
            new HeartbeatRouter(context, shards, leadershipTransfer, orphanAdopter),
            shards);
  }

  private static ControllerContext createContext(
      Settings settings,
      OperatorSettings operatorSettings,
      Reactor reactor,
      RandomGenerator random,
      Http.Caller unmeteredCaller,
      EventLoopMeter meter) {
    Http.Caller caller = new MeteredCaller(unmeteredCaller, settings, meter);
    KeyValueClient store = new KeyValueClient(reactor, caller, settings);
    StateCache stateCache = new StateCache(reactor, store, settings);
    String bootId = Long.toHexString(random.nextLong());
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
        new Membership(reactor, store, stateCache, settings, bootId),
        new ShardLoads(
            reactor, settings.label(), settings.heartbeatIntervalsMs(PEER_STATUS_EXPIRY_INTERVALS)),
        new CancellationNotices(),
        new ControllerMetrics(meter),
        new JobObjectives(settings, operatorSettings, cloud));
  }

  /**
   * Starts to follow the key-value store, and then to acquire and lead shards.
   *
   * @param startListening opens the server for requests of users and workers. It is called once:
   *     when the first shard leader becomes active, or after part of a worker's lease if that is
   *     earlier (see {@link #LISTEN_DELAY_DIVISOR}). Until then the controller could only answer
   *     503. On a small share of a core, the requests of all workers at once would delay the start
   *     past the end of the workers' leases, whereas a refused connection sends a worker to another
   *     controller at no cost. If the start takes long, as in an outage of the key-value store, the
   *     server is opened anyway, so that users get an answer that says when to retry.
   */
  public void start(Runnable startListening) {
    LOG.atInfo()
        .addKeyValue("controller", context.settings().label())
        .addKeyValue("zone", context.settings().zone())
        .log("controller starts");
    this.startListening = startListening;
    stateCache.addKeyListener(this::onKeyChanged);
    stateCache.addProgressListener(
        () -> context.cancellations().revisionApplied(stateCache.appliedRevision()));
    stateCache.start();
    context.cloud().start();
    startWhenStateIsKnown();
    reactor.schedule(
        context.settings().workerLeaseMs() / LISTEN_DELAY_DIVISOR, this::startListeningOnce);
  }

  private void startListeningOnce() {
    if (!listening) {
      listening = true;
      startListening.run();
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

  private void onKeyChanged(StateKey key) {
    if (key instanceof StateKey.MachineKey machineKey) {
      orphanAdopter.machineChanged(machineKey);
    }
    shards.tellAll(new ShardLeader.KeyChanged(key));
  }

  /**
   * Called on the reactor's thread with each frame that another controller sent.
   *
   * @param frame the frame without its length field
   */
  public void peerFrameReceived(ByteBuffer frame) {
    meter.run(Activity.PEER_FRAME, () -> peerReceiver.receive(frame));
  }

  @Override
  public void handle(Http.Request request, Consumer<Http.Response> reply) {
    router.handle(request, reply);
  }
}
