package org.fieldtrestle.controller;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.leadership.LeadershipTransfer.WorkerReachability;
import org.fieldtrestle.leadership.Membership;
import org.fieldtrestle.shard.ShardLeader;

/** The shard leaders of this controller, ordered by the names of their shards. */
final class LocalShards implements Membership.Listener {
  private final ControllerContext context;
  private final Runnable onActivated;
  private final Map<String, ShardLeader> leaders = new TreeMap<>();

  /**
   * @param onActivated runs each time that a shard leader becomes active
   */
  LocalShards(ControllerContext context, Runnable onActivated) {
    this.context = context;
    this.onActivated = onActivated;
  }

  @Override
  public void leadershipBegan(String shard, long epoch, boolean formerLeaderMayAct) {
    ShardLeader leader = new ShardLeader(context, shard, epoch, formerLeaderMayAct, onActivated);
    ShardLeader former = leaders.put(shard, leader);
    if (former != null) {
      former.tell(new ShardLeader.TermEnded());
    }
    leader.tell(new ShardLeader.Tick());
  }

  @Override
  public void leadershipEnded(String shard) {
    ShardLeader former = leaders.remove(shard);
    if (former != null) {
      former.tell(new ShardLeader.TermEnded());
    }
  }

  /** Returns the leader of a shard, or {@code null} if this controller does not lead it. */
  ShardLeader get(String shard) {
    return leaders.get(shard);
  }

  boolean contains(String shard) {
    return leaders.containsKey(shard);
  }

  /** Returns a copy of the shards' names: leadership may change while a caller iterates over it. */
  List<String> names() {
    return List.copyOf(leaders.keySet());
  }

  Collection<ShardLeader> all() {
    return leaders.values();
  }

  void tellAll(ShardLeader.Message message) {
    for (ShardLeader leader : leaders.values()) {
      leader.tell(message);
    }
  }

  /** Returns how many tasks of a job are running on the workers of these shards. */
  int runningTaskCount(String job) {
    int running = 0;
    for (ShardLeader leader : leaders.values()) {
      running += leader.runningTaskCount(job);
    }
    return running;
  }

  /**
   * Returns how many workers of these shards are up and not draining, and how many of these have
   * been silent for longer than the threshold.
   */
  WorkerReachability reachability(long silenceThresholdMs) {
    int up = 0;
    int silent = 0;
    for (ShardLeader leader : leaders.values()) {
      WorkerReachability workers = leader.reachability(silenceThresholdMs);
      up += workers.up();
      silent += workers.silent();
    }
    return new WorkerReachability(up, silent);
  }
}
