package org.fieldtrestle.leadership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.MemberRecord;
import org.fieldtrestle.state.ShardRecord;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.state.StateChanges;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.state.Versioned;

/**
 * Decides which former leaders of a shard may not know yet that their terms have ended, and plans
 * all changes of a shard's leader. It decides from stored records alone, so that a restarted
 * controller and any later leader come to the same conclusion.
 *
 * <p>A shard's record names its leader and those former leaders. One of them is dropped only on
 * proof that it has stopped:
 *
 * <ul>
 *   <li>Its member record is gone. Then its lease has expired, and its {@link LeadershipFence} had
 *       closed before. It registers again only on condition that all terms it still believes in are
 *       current.
 *   <li>Its member record states that the process has followed the store up to the shard's record
 *       or further. This is never written too early, and a late write of it is still true.
 * </ul>
 */
final class FormerLeaders {
  private final StateCache stateCache;
  private final String ownLabel;
  private final List<String> otherControllers;

  FormerLeaders(StateCache stateCache, Settings settings) {
    this.stateCache = stateCache;
    this.ownLabel = settings.label();
    this.otherControllers = settings.peers().stream().map(Settings.Peer::label).toList();
  }

  /** Plans the acquisition of a shard by this controller. */
  ShardAcquisition planAcquisition(String shard) {
    String key = StateKeys.shard(shard);
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    conditions.add(new KeyValueProtocol.Condition(key, stateCache.version(key)));
    Collection<String> former = new TreeSet<>(mayActAfterAcquisition(shard, conditions));
    // An earlier process of this controller has ended, and this one has ended its own earlier term.
    former.remove(ownLabel);
    return new ShardAcquisition(
        shard,
        conditions,
        StateChanges.put(key, new ShardRecord(ownLabel, List.copyOf(former))),
        !former.isEmpty());
  }

  private Collection<String> mayActAfterAcquisition(
      String shard, List<KeyValueProtocol.Condition> conditions) {
    Versioned<ShardRecord> current = stateCache.shard(shard);
    if (current == null) {
      boolean exists = stateCache.version(StateKeys.shard(shard)) != 0;
      return exists ? otherControllers : List.of(); // an unreadable record names nobody
    }
    List<String> former = new ArrayList<>(stillActing(current));
    String leader = current.record().leader();
    if (isRegistered(leader)) {
      former.add(leader);
    } else if (!leader.equals(ownLabel)) {
      // If the leader registers before the acquisition, it goes on in its term.
      conditions.add(new KeyValueProtocol.Condition(StateKeys.member(leader), 0));
    }
    return former;
  }

  /**
   * Returns the change that makes another controller the leader of a shard. This controller, its
   * present leader, has ended its term before and therefore is not among the former leaders.
   */
  KeyValueProtocol.Change planTransfer(String shard, String to) {
    return StateChanges.put(
        StateKeys.shard(shard), new ShardRecord(to, stillActing(stateCache.shard(shard))));
  }

  /** Returns the former leaders that a shard's record names and that may still act. */
  private List<String> stillActing(Versioned<ShardRecord> shard) {
    return shard.record().formerLeaders().orElse(otherControllers).stream()
        .filter(label -> mayStillAct(label, shard.version()))
        .toList();
  }

  private boolean mayStillAct(String label, long epoch) {
    if (stateCache.appliedRevision() < epoch) {
      return true; // the member record may be older than the shard's record
    }
    if (!isRegistered(label)) {
      return false;
    }
    Versioned<MemberRecord> member = stateCache.members().get(label);
    return member == null || member.record().followedRevision() < epoch;
  }

  private boolean isRegistered(String label) {
    return stateCache.version(StateKeys.member(label)) != 0;
  }

  /**
   * Returns whether a shard's record names this controller as a former leader that may still act,
   * although this controller has followed the store up to that record.
   */
  boolean namesThisController() {
    for (Versioned<ShardRecord> shard : stateCache.shards().values()) {
      if (shard.version() <= stateCache.appliedRevision()
          && shard.record().formerLeaders().orElse(List.of()).contains(ownLabel)
          && mayStillAct(ownLabel, shard.version())) {
        return true;
      }
    }
    return false;
  }
}
