package org.fieldtrestle.leadership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.PeerMessage;
import org.fieldtrestle.transport.Reactor;

/**
 * Detects that a controller is cut off from its workers, so that another should lead its shards.
 *
 * <p>A controller that is cut off from its workers alone keeps its lease, so that no failover takes
 * place, while all tasks would end with the workers' leases. But workers that get no answer ask
 * other controllers, which redirect them to their leader and report to it how many they have
 * redirected. From these reports a controller concludes that another one reaches its workers; and
 * from workers that come back after a redirect, that their leader is unreachable.
 */
public final class LeadershipTransfer {
  /** Heartbeat intervals without a heartbeat after which a worker counts as silent. */
  private static final double SILENCE_THRESHOLD_INTERVALS = 1.5;

  /** Heartbeat intervals after which a redirect no longer counts. */
  private static final double REDIRECT_EXPIRY_INTERVALS = 4;

  /** Heartbeat intervals after which the report of another controller no longer counts. */
  private static final double REPORT_EXPIRY_INTERVALS = 1;

  /**
   * Heartbeat intervals without a message after which a controller may count as unreachable: one
   * that only restarts is back sooner, and should keep its shards.
   */
  private static final double UNREACHABLE_INTERVALS = 3;

  /** Share of this controller's workers that have to be silent before it transfers its shards. */
  private static final double SILENT_SHARE = 0.9;

  /** Share of this controller's workers that others have to have redirected before a transfer. */
  private static final double REDIRECTED_SHARE = 0.3;

  /** Share of a shard's workers that have to come back after a redirect before it is seized. */
  private static final double RETURNED_SHARE = REDIRECTED_SHARE / 2;

  private static final int MIN_WORKERS = 2;

  /** How many of this controller's workers are in use, and how many of these are silent. */
  public record WorkerReachability(int up, int silent) {}

  /** Another controller's report of how many machines it has redirected to this one. */
  private record RedirectReport(long receivedAtMs, int machines) {}

  /** A machine's last redirect, and how many it got with no longer pause between two of them. */
  private record Redirects(long lastAtMs, int consecutive) {}

  private final Reactor reactor;
  private final Settings settings;

  /** Redirects of this controller, by the controller redirected to and by machine. */
  private final Map<String, Map<String, Redirects>> redirects = new HashMap<>();

  /** The last report of each other controller. */
  private final Map<String, RedirectReport> reports = new HashMap<>();

  /** Runs on the reactor's thread. */
  public LeadershipTransfer(Reactor reactor, Settings settings) {
    this.reactor = reactor;
    this.settings = settings;
  }

  /** After this time without a heartbeat a worker counts as silent, in ms. */
  public long silenceThresholdMs() {
    return settings.heartbeatIntervalsMs(SILENCE_THRESHOLD_INTERVALS);
  }

  /** Records that this controller has redirected a machine to another controller. */
  public void redirected(String machine, String to) {
    redirects
        .computeIfAbsent(to, controller -> new HashMap<>())
        .merge(
            machine,
            new Redirects(reactor.nowMs(), 1),
            (before, now) ->
                new Redirects(now.lastAtMs(), isRecent(before) ? before.consecutive() + 1 : 1));
  }

  private boolean isRecent(Redirects machine) {
    return reactor.nowMs() - machine.lastAtMs()
        <= settings.heartbeatIntervalsMs(REDIRECT_EXPIRY_INTERVALS);
  }

  private Collection<Redirects> recentRedirects(String to) {
    Collection<Redirects> machines = redirects.getOrDefault(to, new HashMap<>()).values();
    machines.removeIf(machine -> !isRecent(machine));
    return machines;
  }

  /** The report to a controller of how many machines were recently redirected to it. */
  public PeerMessage.RedirectCount reportFor(String controller) {
    return new PeerMessage.RedirectCount(
        settings.label(), controller, recentRedirects(controller).size());
  }

  /** Takes in another controller's report; one that is meant for a third controller is ignored. */
  public void reportReceived(PeerMessage.RedirectCount report) {
    if (report.to().equals(settings.label())) {
      reports.put(report.sender(), new RedirectReport(reactor.nowMs(), report.machines()));
    }
  }

  /**
   * Whether a controller is out of reach of a shard's workers, and of this controller: they come
   * back after a redirect. A first redirect proves nothing, as every machine gets one whose shard
   * has changed its leader; and controllers that merely do not hear each other would seize each
   * other's shards for as long as that lasts.
   *
   * @param silentMs how long this controller has received nothing from the other one
   * @param machines how many machines the shard has
   */
  public boolean isUnreachable(String controller, long silentMs, int machines) {
    if (silentMs <= settings.heartbeatIntervalsMs(UNREACHABLE_INTERVALS)) {
      return false;
    }
    int returned = 0;
    for (Redirects machine : recentRedirects(controller)) {
      returned += machine.consecutive() > 1 ? 1 : 0;
    }
    return returned >= Math.max(1, machines * RETURNED_SHARE);
  }

  /**
   * The controller that should lead this controller's shards instead, as most of its workers reach
   * that one; empty while this controller should keep them.
   */
  public Optional<String> preferredLeader(WorkerReachability workers) {
    if (workers.up() < MIN_WORKERS || workers.silent() < workers.up() * SILENT_SHARE) {
      return Optional.empty();
    }
    String preferred = null;
    int most = 0;
    int total = 0;
    for (Map.Entry<String, RedirectReport> entry : reports.entrySet()) {
      RedirectReport report = entry.getValue();
      if (isCurrent(report)) {
        total += report.machines();
        if (report.machines() > most) {
          most = report.machines();
          preferred = entry.getKey();
        }
      }
    }
    return total >= workers.up() * REDIRECTED_SHARE
        ? Optional.ofNullable(preferred)
        : Optional.empty();
  }

  private boolean isCurrent(RedirectReport report) {
    return reactor.nowMs() - report.receivedAtMs()
        <= settings.heartbeatIntervalsMs(REPORT_EXPIRY_INTERVALS);
  }
}
