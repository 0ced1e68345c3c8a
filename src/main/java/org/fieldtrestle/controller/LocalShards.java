package org.fieldtrestle.controller;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.leadership.LeadershipTransfer.WorkerReachability;
import org.fieldtrestle.leadership.Membership;
import org.fieldtrestle.shard.ShardLeader;

/** The leaders of the shards that this controller leads, in the order of the shards' names. */
final class LocalShards implements Membership.Listener {
  private final ControllerContext context;
  private final Runnable activated;
  private final Map<String, ShardLeader> leaders = new TreeMap<>();

  /**
   * @param activated run each time that a shard leader knows its shard's state and begins to act
   */
  LocalShards(ControllerContext context, Runnable activated) {
    this.context = context;
    this.activated = activated;
  }

  @Override
  public void leadershipBegan(String shard, long epoch, boolean formerLeaderMayAct) {
    ShardLeader leader = new ShardLeader(context, shard, epoch, formerLeaderMayAct, activated);
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

  /** The leader of a shard; null if this controller does not lead it. */
  ShardLeader get(String shard) {
    return leaders.get(shard);
  }

  boolean contains(String shard) {
    return leaders.containsKey(shard);
  }

  /** The names at this time; leadership may change while they are looked through. */
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

  /** How many tasks of a job run on the workers of these shards. */
  int runningTasksOf(String job) {
    int running = 0;
    for (ShardLeader leader : leaders.values()) {
      running += leader.runningOf(job);
    }
    return running;
  }

  /** The workers of all these shards, and how many of them were silent for longer than that. */
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
