package org.fieldtrestle.leadership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.PeerMessage;
import org.fieldtrestle.transport.Reactor;

/**
 * Finds out that this controller alone is cut off from its workers. Its lease at the state service
 * goes on meanwhile, so that nobody would take its shards over, and all that runs on their machines
 * would end with the workers' leases. But workers that get no answer here ask the others, who send
 * them on to us and tell us so: then those had better hold our shards.
 */
public final class LeadershipTransfer {
  /** Reports of a machine that go by before it counts as unheard. */
  private static final double UNHEARD = 1.5;

  /** How long what others tell counts, in reports. */
  private static final double LATELY = 4;

  /**
   * Reports that go by before a controller of which nothing is heard counts as out of reach: one
   * that only starts anew is back before, and does better to go on as itself.
   */
  private static final double GONE = 3;

  /** Share of our machines that have to be unheard, and that others have to have sent on to us. */
  private static final double UNHEARD_SHARE = 0.9;

  private static final double SENT_ON_SHARE = 0.3;

  /** How many workers of this controller are in use, and how many of them it no longer hears. */
  public record WorkerReachability(int up, int silent) {}

  private record Told(long at, int machines) {}

  /** A machine that was sent on, when last, and how often one after the other. */
  private record Sent(long at, int times) {}

  private final Reactor reactor;
  private final Settings settings;

  /** Machines that we have sent on, by the controller that they were sent to, and when last. */
  private final Map<String, Map<String, Sent>> sentOn = new HashMap<>();

  /** What the others have told of machines that they have sent on to us. */
  private final Map<String, Told> told = new HashMap<>();

  public LeadershipTransfer(Reactor reactor, Settings settings) {
    this.reactor = reactor;
    this.settings = settings;
  }

  /** After this silence a worker counts as unheard, in ms. */
  public long silentAfterMs() {
    return settings.heartbeatIntervalsMs(UNHEARD);
  }

  public void sentOn(String machine, String to) {
    sentOn
        .computeIfAbsent(to, t -> new HashMap<>())
        .merge(
            machine,
            new Sent(reactor.now(), 1),
            (before, now) -> new Sent(now.at(), recent(before) ? before.times() + 1 : 1));
  }

  private boolean recent(Sent sent) {
    return reactor.now() - sent.at() <= settings.heartbeatIntervalsMs(LATELY);
  }

  private Collection<Sent> sentTo(String to) {
    Collection<Sent> machines = sentOn.getOrDefault(to, new HashMap<>()).values();
    machines.removeIf(sent -> !recent(sent));
    return machines;
  }

  /** How many machines were lately sent on to a controller. */
  public PeerMessage.RedirectCount frame(String to) {
    return new PeerMessage.RedirectCount(settings.label(), to, sentTo(to).size());
  }

  public void heard(PeerMessage.RedirectCount frame) {
    if (frame.to().equals(settings.label())) {
      told.put(frame.sender(), new Told(reactor.now(), frame.machines()));
    }
  }

  /**
   * Whether a controller's workers ask us, and ask again after they were sent on to it, though
   * nothing is heard of it for long. Being sent on once tells nothing: so is every machine whose
   * shard has changed hands, and where controllers only do not hear each other, they would take
   * from each other for as long as that lasts.
   */
  public boolean unreachable(String controller, long silentMs, int machines) {
    if (silentMs <= settings.heartbeatIntervalsMs(GONE)) {
      return false;
    }
    long again = sentTo(controller).stream().filter(sent -> sent.times() > 1).count();
    return again >= Math.max(1, machines * SENT_ON_SHARE / 2);
  }

  /** Who should rather hold our shards: the one that most of our workers ask; null for nobody. */
  public String better(WorkerReachability workers) {
    long now = reactor.now();
    if (workers.up() < 2 || workers.silent() < workers.up() * UNHEARD_SHARE) {
      return null;
    }
    String best = null;
    int most = 0;
    int all = 0;
    for (Map.Entry<String, Told> one : told.entrySet()) {
      if (now - one.getValue().at() <= settings.heartbeatIntervalsMs(1)) {
        all += one.getValue().machines();
        if (one.getValue().machines() > most) {
          most = one.getValue().machines();
          best = one.getKey();
        }
      }
    }
    return all >= workers.up() * SENT_ON_SHARE ? best : null;
  }
}
