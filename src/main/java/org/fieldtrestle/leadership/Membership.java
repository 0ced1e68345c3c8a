package org.fieldtrestle.leadership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.CommitResult;
import org.fieldtrestle.state.KeyValueClient;
import org.fieldtrestle.state.LeaseGrant;
import org.fieldtrestle.state.LeaseRenewal;
import org.fieldtrestle.state.MemberRecord;
import org.fieldtrestle.state.ShardRecord;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.state.StateChanges;
import org.fieldtrestle.state.StateKey;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.state.Transaction;
import org.fieldtrestle.state.Versioned;
import org.fieldtrestle.transport.Reactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's lease, and which shards it acts as. A shard's epoch is the version of its key
 * at the state service: every change of hands raises it, and every write of a shard depends on it.
 */
public final class Membership {
  private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

  /** Told when this controller begins or ends to act as a shard. */
  public interface Listener {
    /**
     * @param othersMayAct whoever acted as this shard before may not know yet that it ended
     */
    void began(String shard, long epoch, boolean formerLeaderMayAct);

    void ended(String shard);
  }

  /** How many of our leases a shard that we gave away stays away. */
  private static final int APART = 2;

  private final Reactor reactor;
  private final KeyValueClient store;
  private final StateCache stateCache;
  private final String self;
  private final String boot;
  private final long ttlMs;
  private final Map<String, Long> held = new HashMap<>();
  private final Map<String, Long> vacantSince = new HashMap<>();
  private final Set<String> taking = new HashSet<>();

  /** When a shard last changed hands. */
  private final Map<String, Long> changedAt = new HashMap<>();

  private Listener listener;
  private final LeadershipFence fence;
  private long lease;
  private boolean registered;
  private boolean busy;

  /** Until when our own shard stays with whom we have given it to. */
  private long apartUntil;

  public Membership(
      Reactor reactor,
      KeyValueClient store,
      StateCache stateCache,
      Settings settings,
      String boot) {
    this.reactor = reactor;
    this.store = store;
    this.stateCache = stateCache;
    this.self = settings.label();
    this.boot = boot;
    this.ttlMs = settings.stateLeaseMs();
    this.fence = new LeadershipFence(reactor, stateCache, ttlMs);
  }

  public void start(Listener to) {
    this.listener = to;
    stateCache.addKeyListener(this::changed);
    register();
    beat();
  }

  /** Whether this controller may act as the shards that it holds. */
  public boolean mayAct() {
    return fence.open();
  }

  public LeadershipFence fence() {
    return fence;
  }

  public String self() {
    return self;
  }

  /** The member that does what needs doing only once: the lowest label of those present. */
  public boolean isFirst() {
    for (String label : stateCache.members().keySet()) {
      if (label.compareTo(self) < 0) {
        return false;
      }
    }
    return registered;
  }

  private void beat() {
    reactor.schedule(
        ttlMs / 12,
        () -> {
          renew();
          takeOver();
          beat();
        });
  }

  private void renew() {
    if (!registered) {
      register();
      return;
    }
    long sent = reactor.now();
    long renewed = lease;
    store.renew(
        renewed,
        renewal -> {
          if (renewed != lease || !registered) {
            return;
          }
          if (renewal == LeaseRenewal.KEPT) {
            fence.leaseKept(sent);
          } else if (renewal == LeaseRenewal.ENDED) {
            LOG.warn("lease {} has ended, registering again", lease);
            registered = false;
            fence.leaseEnded();
            register();
          }
        });
  }

  /** Takes a lease, shows ourselves under it, and takes or keeps our own shard. */
  private void register() {
    if (busy) {
      return;
    }
    busy = true;
    long sent = reactor.now();
    store.grant(
        ttlMs,
        granted -> {
          if (granted instanceof LeaseGrant.Granted grant) {
            present(grant.lease(), sent);
          } else {
            retry(-1);
          }
        });
  }

  private void present(long granted, long sent) {
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    String member = StateKeys.member(self);
    conditions.add(new KeyValueProtocol.Condition(member, stateCache.version(member)));
    changes.add(StateChanges.put(member, new MemberRecord(boot), granted));
    // Whoever took one of our shards over while we had no lease waits for workers' leases that
    // it counts from then on: acting again under the old epoch would renew them. So all or none.
    held.forEach(
        (m, epoch) -> conditions.add(new KeyValueProtocol.Condition(StateKeys.shard(m), epoch)));
    boolean take = !held.containsKey(self);
    String own = StateKeys.shard(self);
    boolean formerLeaderMayAct = take && formerLeaderMayAct(self);
    if (take) {
      conditions.add(new KeyValueProtocol.Condition(own, stateCache.version(own)));
      changes.add(StateChanges.put(own, new ShardRecord(self)));
    }
    store.commitWithPriority(
        new Transaction(conditions, changes),
        result -> {
          if (result instanceof CommitResult.Committed committed) {
            busy = false;
            registered = true;
            lease = granted;
            fence.leaseKept(sent);
            LOG.info("registered as {} under lease {}", self, granted);
            // Where the answer was late, another may have taken it since, as was followed already.
            if (take && stateCache.version(own) <= committed.revision()) {
              begin(self, committed.revision(), formerLeaderMayAct);
            }
            stateCache.applyCommit(changes, committed.revision());
          } else if (result instanceof CommitResult.Conflict conflict) {
            retry(conflict.revision());
          } else {
            retry(-1);
          }
        });
  }

  private void retry(long revision) {
    Runnable again =
        () -> {
          busy = false;
          register();
        };
    if (revision < 0) {
      reactor.schedule(ttlMs / 50, again);
    } else {
      stateCache.awaitRevision(
          revision, ttlMs / 12, seen -> reactor.schedule(seen ? 0 : ttlMs / 50, again));
    }
  }

  private boolean formerLeaderMayAct(String shard) {
    Versioned<ShardRecord> kept = stateCache.shard(shard);
    return kept != null
        && !kept.record().leader().equals(self)
        && stateCache.members().containsKey(kept.record().leader());
  }

  private void begin(String shard, long epoch, boolean formerLeaderMayAct) {
    held.put(shard, epoch);
    LOG.info("acting as master {} in epoch {}", shard, epoch);
    listener.began(shard, epoch, formerLeaderMayAct);
  }

  private void changed(StateKey key) {
    if (key instanceof StateKey.ShardKey k) {
      changedAt.put(k.shard(), reactor.now());
      Long epoch = held.get(k.shard());
      if (epoch != null && stateCache.version(StateKeys.shard(k.shard())) != epoch) {
        LOG.warn("no longer acting as master {}: another has taken it", k.shard());
        held.remove(k.shard());
        if (k.shard().equals(self) && mayAct()) {
          // Whoever took it while our lease holds had its reasons: our workers did not reach us.
          apartUntil = reactor.now() + ttlMs * APART;
        }
        listener.ended(k.shard());
      }
      Versioned<ShardRecord> now = stateCache.shard(k.shard());
      if (now != null
          && now.record().leader().equals(self)
          && !k.shard().equals(self)
          && !held.containsKey(k.shard())
          && mayAct()) {
        take(k.shard(), self, now.version()); // handed over to us
      }
    }
  }

  /**
   * Takes a shard whose holder may still act as it, as for a while after the taking; but not where
   * it has changed hands only lately.
   */
  public void seizeLeadership(String shard) {
    Versioned<ShardRecord> kept = stateCache.shard(shard);
    if (kept != null
        && !held.containsKey(shard)
        && reactor.now() - changedAt.getOrDefault(shard, 0L) > ttlMs) {
      take(shard, kept.record().leader(), kept.version());
    }
  }

  /**
   * Gives a shard to another controller, and ends acting as it before that is written: whoever
   * takes it on by a new epoch then waits for nobody. Where the writing fails, it is taken again.
   */
  public void transferLeadership(String shard, String to) {
    Long epoch = held.get(shard);
    if (epoch == null || stateCache.version(StateKeys.member(to)) == 0) {
      return;
    }
    held.remove(shard);
    apartUntil = reactor.now() + ttlMs * APART;
    listener.ended(shard);
    store.commitWithPriority(
        new Transaction(
            List.of(
                new KeyValueProtocol.Condition(StateKeys.shard(shard), epoch),
                new KeyValueProtocol.Condition(
                    StateKeys.member(to), stateCache.version(StateKeys.member(to)))),
            List.of(StateChanges.put(StateKeys.shard(shard), new ShardRecord(to)))),
        result -> LOG.info("handing master {} over to {}: {}", shard, to, result));
  }

  /** Takes shards whose holder has let its lease end, and our own back from whoever has it. */
  private void takeOver() {
    if (!mayAct()) {
      vacantSince.clear();
      return;
    }
    int order = new TreeSet<>(stateCache.members().keySet()).headSet(self).size();
    for (Map.Entry<String, Versioned<ShardRecord>> one :
        List.copyOf(stateCache.shards().entrySet())) {
      String shard = one.getKey();
      String holder = one.getValue().record().leader();
      if (held.containsKey(shard)) {
        vacantSince.remove(shard);
        continue;
      }
      if (holder.equals(self)) {
        // Ours by an unanswered request, or given to us: nobody else would ever take it.
        take(shard, holder, one.getValue().version());
        continue;
      }
      boolean own = shard.equals(self) && reactor.now() >= apartUntil;
      if (stateCache.members().containsKey(holder) && !own) {
        vacantSince.remove(shard);
        continue;
      }
      long since = vacantSince.computeIfAbsent(shard, m -> reactor.now());
      if (own || reactor.now() - since >= order * ttlMs / 6) {
        take(shard, holder, one.getValue().version());
      }
    }
  }

  private void take(String shard, String holder, long version) {
    if (!taking.add(shard)) {
      return;
    }
    boolean formerLeaderMayAct = formerLeaderMayAct(shard);
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    conditions.add(new KeyValueProtocol.Condition(StateKeys.shard(shard), version));
    conditions.add(
        new KeyValueProtocol.Condition(
            StateKeys.member(self), stateCache.version(StateKeys.member(self))));
    if (!formerLeaderMayAct && !holder.equals(self)) {
      conditions.add(new KeyValueProtocol.Condition(StateKeys.member(holder), 0));
    }
    List<KeyValueProtocol.Change> changes =
        List.of(StateChanges.put(StateKeys.shard(shard), new ShardRecord(self)));
    LOG.warn("taking master {} from {}", shard, holder);
    store.commitWithPriority(
        new Transaction(conditions, changes),
        result -> {
          taking.remove(shard);
          if (result instanceof CommitResult.Committed committed
              && stateCache.version(StateKeys.shard(shard)) <= committed.revision()) {
            begin(shard, committed.revision(), formerLeaderMayAct);
            stateCache.applyCommit(changes, committed.revision());
          }
        });
  }
}
