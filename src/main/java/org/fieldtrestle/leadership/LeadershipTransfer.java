package org.fieldtrestle.leadership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.PeerMessage;
import org.fieldtrestle.transport.Reactor;

/**
 * Detects that a controller is cut off from its workers, so that another one should lead its
 * shards.
 *
 * <p>A controller that is cut off from its workers but not from the key-value store keeps its
 * lease. No failover takes place then, although all tasks would end when the workers' leases run
 * out. Workers that get no answer ask other controllers. These redirect the workers to the shard
 * leader and report to it how many they have redirected. A shard leader concludes from these
 * reports that another controller can reach its workers. A controller concludes that a shard leader
 * is unreachable when workers come back after it has redirected them to that leader.
 */
public final class LeadershipTransfer {
  /** A worker counts as silent after this many heartbeat intervals without a heartbeat. */
  private static final double SILENCE_THRESHOLD_INTERVALS = 1.5;

  /** A redirect no longer counts after this many heartbeat intervals. */
  private static final double REDIRECT_EXPIRY_INTERVALS = 4;

  /** The report of another controller no longer counts after this many heartbeat intervals. */
  private static final double REPORT_EXPIRY_INTERVALS = 1;

  /**
   * A controller may count as unreachable after this many heartbeat intervals without a message. A
   * controller that merely restarts is back sooner and should keep its shards.
   */
  private static final double UNREACHABLE_INTERVALS = 3;

  /** Share of this controller's workers that must be silent before it transfers its shards. */
  private static final double SILENT_SHARE = 0.9;

  /** Share of this controller's workers that others must have redirected before a transfer. */
  private static final double REDIRECTED_SHARE = 0.3;

  /** Share of a shard's workers that must come back after a redirect before the shard is seized. */
  private static final double RETURNED_SHARE = REDIRECTED_SHARE / 2;

  private static final int MIN_WORKERS_FOR_TRANSFER = 2;

  /**
   * Counts of the workers of this controller's shards.
   *
   * @param up how many workers are up and not being drained
   * @param silent how many of these are silent
   */
  public record WorkerReachability(int up, int silent) {}

  /** Another controller's report of how many machines it has redirected to this controller. */
  private record RedirectReport(long receivedAtMs, int machines) {}

  /**
   * The redirects of one machine to the same controller.
   *
   * @param lastAtMs when the machine was last redirected
   * @param consecutive how many redirects followed each other, each within the time for which the
   *     previous one counted
   */
  private record Redirects(long lastAtMs, int consecutive) {}

  private final Reactor reactor;
  private final Settings settings;

  /** The redirects that this controller has sent, by target controller and machine. */
  private final Map<String, Map<String, Redirects>> redirects = new HashMap<>();

  /** The last report of each other controller, by its label. */
  private final Map<String, RedirectReport> reports = new HashMap<>();

  /** All methods must be called on the reactor's thread. */
  public LeadershipTransfer(Reactor reactor, Settings settings) {
    this.reactor = reactor;
    this.settings = settings;
  }

  /**
   * Returns the time without a heartbeat after which a worker counts as silent, in milliseconds.
   */
  public long silenceThresholdMs() {
    return settings.heartbeatIntervalsMs(SILENCE_THRESHOLD_INTERVALS);
  }

  /** Called when this controller has redirected a machine to another controller. */
  public void redirected(String machine, String to) {
    redirects
        .computeIfAbsent(to, controller -> new HashMap<>())
        .merge(
            machine,
            new Redirects(reactor.nowMs(), 1),
            (before, now) ->
                new Redirects(now.lastAtMs(), isRecent(before) ? before.consecutive() + 1 : 1));
  }

  private boolean isRecent(Redirects machineRedirects) {
    return reactor.nowMs() - machineRedirects.lastAtMs()
        <= settings.heartbeatIntervalsMs(REDIRECT_EXPIRY_INTERVALS);
  }

  private Collection<Redirects> recentRedirects(String to) {
    Collection<Redirects> recent = redirects.getOrDefault(to, new HashMap<>()).values();
    recent.removeIf(machineRedirects -> !isRecent(machineRedirects));
    return recent;
  }

  /** Returns the report to a controller about how many machines were recently redirected to it. */
  public PeerMessage.RedirectCount reportFor(String controller) {
    return new PeerMessage.RedirectCount(
        settings.label(), controller, recentRedirects(controller).size());
  }

  /** Called with another controller's report; ignores a report that is meant for a third one. */
  public void reportReceived(PeerMessage.RedirectCount report) {
    if (report.targetController().equals(settings.label())) {
      reports.put(report.sender(), new RedirectReport(reactor.nowMs(), report.machineCount()));
    }
  }

  /**
   * Returns whether neither this controller nor a shard's workers can reach a controller. Workers
   * that come back after a redirect show that they could not reach it. A first redirect proves
   * nothing, because every machine is redirected once when its shard changes its leader. Silence
   * between the two controllers alone is not enough either: controllers that merely cannot hear
   * each other would seize each other's shards for as long as this lasts.
   *
   * @param silentMs how long this controller has received nothing from the other one, in
   *     milliseconds
   * @param machines how many machines the shard has
   */
  public boolean isUnreachable(String controller, long silentMs, int machines) {
    if (silentMs <= settings.heartbeatIntervalsMs(UNREACHABLE_INTERVALS)) {
      return false;
    }
    int returned = 0;
    for (Redirects machineRedirects : recentRedirects(controller)) {
      returned += machineRedirects.consecutive() > 1 ? 1 : 0;
    }
    return returned >= Math.max(1, machines * RETURNED_SHARE);
  }

  /**
   * Returns the controller that should lead this controller's shards instead, namely the one that
   * reports the largest number of machines that it has redirected to this controller; empty if this
   * controller should keep its shards.
   */
  public Optional<String> preferredLeader(WorkerReachability workers) {
    if (workers.up() < MIN_WORKERS_FOR_TRANSFER || workers.silent() < workers.up() * SILENT_SHARE) {
      return Optional.empty();
    }
    String preferred = null;
    int mostMachines = 0;
    int totalMachines = 0;
    for (Map.Entry<String, RedirectReport> entry : reports.entrySet()) {
      RedirectReport report = entry.getValue();
      if (isCurrent(report)) {
        totalMachines += report.machines();
        if (report.machines() > mostMachines) {
          mostMachines = report.machines();
          preferred = entry.getKey();
        }
      }
    }
    return totalMachines >= workers.up() * REDIRECTED_SHARE
        ? Optional.ofNullable(preferred)
        : Optional.empty();
  }

  private boolean isCurrent(RedirectReport report) {
    return reactor.nowMs() - report.receivedAtMs()
        <= settings.heartbeatIntervalsMs(REPORT_EXPIRY_INTERVALS);
  }
}
