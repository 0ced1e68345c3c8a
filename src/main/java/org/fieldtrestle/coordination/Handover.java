package org.fieldtrestle.coordination;

import java.util.HashMap;
import java.util.Map;
import org.fieldtrestle.protocol.PeerWire;

/**
 * Finds out that this controller alone is cut off from its workers. Its lease at the state service
 * goes on meanwhile, so that nobody would take its masters over, and all that runs on their
 * machines would end with the workers' leases. But workers that get no answer here ask the others,
 * who send them on to us and tell us so: then those had better hold our masters.
 */
final class Handover {
  /** Reports of a machine that go by before it counts as unheard. */
  private static final double UNHEARD = 1.5;

  /** How long what others tell counts, in reports. */
  private static final double LATELY = 4;

  /** Share of our machines that have to be unheard, and that others have to have sent on to us. */
  private static final double UNHEARD_SHARE = 0.9;

  private static final double SENT_ON_SHARE = 0.3;

  private record Told(long at, int machines) {}

  private final Node node;

  /** Machines that we have sent on, by the controller that they were sent to, and when last. */
  private final Map<String, Map<String, Long>> sentOn = new HashMap<>();

  /** What the others have told of machines that they have sent on to us. */
  private final Map<String, Told> told = new HashMap<>();

  Handover(Node node) {
    this.node = node;
  }

  void sentOn(String machine, String to) {
    sentOn.computeIfAbsent(to, t -> new HashMap<>()).put(machine, node.now());
  }

  /** How many machines were lately sent on to a controller. */
  PeerWire.SentOn frame(String to) {
    Map<String, Long> machines = sentOn.getOrDefault(to, new HashMap<>());
    long since = node.now() - node.reportMs(LATELY);
    machines.values().removeIf(at -> at < since);
    return new PeerWire.SentOn(node.settings().label(), to, machines.size());
  }

  void heard(PeerWire.SentOn frame) {
    if (frame.to().equals(node.settings().label())) {
      told.put(frame.sender(), new Told(node.now(), frame.machines()));
    }
  }

  /** Who should rather hold our masters: the one that most of our workers ask; null for nobody. */
  String better(Iterable<Master> masters) {
    long now = node.now();
    int up = 0;
    int unheard = 0;
    for (Master master : masters) {
      for (Host host : master.machines().all()) {
        if (host.up && !host.draining) {
          up++;
          unheard += master.machines().silentFor(host, now) > node.reportMs(UNHEARD) ? 1 : 0;
        }
      }
    }
    if (up < 2 || unheard < up * UNHEARD_SHARE) {
      return null;
    }
    String best = null;
    int most = 0;
    int all = 0;
    for (Map.Entry<String, Told> one : told.entrySet()) {
      if (now - one.getValue().at() <= node.reportMs(1)) {
        all += one.getValue().machines();
        if (one.getValue().machines() > most) {
          most = one.getValue().machines();
          best = one.getKey();
        }
      }
    }
    return all >= up * SENT_ON_SHARE ? best : null;
  }
}
