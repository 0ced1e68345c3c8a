package org.fieldtrestle.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.fieldtrestle.bookkeeping.Records;
import org.fieldtrestle.bookkeeping.Store;
import org.fieldtrestle.bookkeeping.View;
import org.fieldtrestle.protocol.Settings;
import org.fieldtrestle.protocol.StateWire;
import org.fieldtrestle.transport.Reactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's lease, and which masters it acts as. A master's epoch is the version of its key
 * at the state service: every change of hands raises it, and every write of a master depends on it.
 */
public final class Membership {
  private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

  /** Told when this controller begins or ends to act as a master. */
  public interface Listener {
    /**
     * @param othersMayAct whoever acted as this master before may not know yet that it ended
     */
    void began(String master, long epoch, boolean othersMayAct);

    void ended(String master);
  }

  /** How many of our leases a master that we gave away stays away. */
  private static final int APART = 2;

  private final Reactor reactor;
  private final Store store;
  private final View view;
  private final String self;
  private final String boot;
  private final long ttlMs;
  private final Map<String, Long> held = new HashMap<>();
  private final Map<String, Long> vacantSince = new HashMap<>();
  private final Set<String> taking = new HashSet<>();

  /** When a master last changed hands. */
  private final Map<String, Long> changedAt = new HashMap<>();

  private Listener listener;
  private final Fence fence;
  private long lease;
  private boolean registered;
  private boolean busy;

  /** Until when our own master stays with whom we have given it to. */
  private long apartUntil;

  public Membership(Reactor reactor, Store store, View view, Settings settings, String boot) {
    this.reactor = reactor;
    this.store = store;
    this.view = view;
    this.self = settings.label();
    this.boot = boot;
    this.ttlMs = settings.stateLeaseMs();
    this.fence = new Fence(reactor, view, ttlMs);
  }

  public void start(Listener to) {
    this.listener = to;
    view.listen(this::changed);
    register();
    beat();
  }

  /** Whether this controller may act as the masters that it holds. */
  public boolean acting() {
    return fence.open();
  }

  Fence fence() {
    return fence;
  }

  public String self() {
    return self;
  }

  /** The member that does what needs doing only once: the lowest label of those present. */
  public boolean first() {
    for (String label : view.members().keySet()) {
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
          if (renewal == Store.Renewal.KEPT) {
            fence.leaseKept(sent);
          } else if (renewal == Store.Renewal.ENDED) {
            LOG.warn("lease {} has ended, registering again", lease);
            registered = false;
            fence.leaseEnded();
            register();
          }
        });
  }

  /** Takes a lease, shows ourselves under it, and takes or keeps our own master. */
  private void register() {
    if (busy) {
      return;
    }
    busy = true;
    long sent = reactor.now();
    store.grant(
        ttlMs,
        granted -> {
          if (granted == 0) {
            retry(-1);
            return;
          }
          present(granted, sent);
        });
  }

  private void present(long granted, long sent) {
    List<StateWire.Condition> conditions = new ArrayList<>();
    List<StateWire.Change> changes = new ArrayList<>();
    String member = Records.member(self);
    conditions.add(new StateWire.Condition(member, view.version(member)));
    changes.add(new StateWire.Put(member, Records.write(new Records.Member(boot)), granted));
    // Whoever took one of our masters over while we had no lease waits for workers' leases that
    // it counts from then on: acting again under the old epoch would renew them. So all or none.
    held.forEach((m, epoch) -> conditions.add(new StateWire.Condition(Records.master(m), epoch)));
    boolean take = !held.containsKey(self);
    String own = Records.master(self);
    boolean othersMayAct = take && othersMayAct(self);
    if (take) {
      conditions.add(new StateWire.Condition(own, view.version(own)));
      changes.add(new StateWire.Put(own, Records.write(new Records.Master(self)), 0));
    }
    store.commitFirst(
        new Store.Txn(conditions, changes),
        result -> {
          if (result instanceof Store.Committed committed) {
            busy = false;
            registered = true;
            lease = granted;
            fence.leaseKept(sent);
            LOG.info("registered as {} under lease {}", self, granted);
            // Where the answer was late, another may have taken it since, as was followed already.
            if (take && view.version(own) <= committed.revision()) {
              begin(self, committed.revision(), othersMayAct);
            }
            view.committed(changes, committed.revision());
          } else if (result instanceof Store.Conflict conflict) {
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
      view.await(revision, ttlMs / 12, seen -> reactor.schedule(seen ? 0 : ttlMs / 50, again));
    }
  }

  private boolean othersMayAct(String master) {
    View.Kept<Records.Master> kept = view.master(master);
    return kept != null
        && !kept.record().holder().equals(self)
        && view.members().containsKey(kept.record().holder());
  }

  private void begin(String master, long epoch, boolean othersMayAct) {
    held.put(master, epoch);
    LOG.info("acting as master {} in epoch {}", master, epoch);
    listener.began(master, epoch, othersMayAct);
  }

  private void changed(Records.Key key) {
    if (key instanceof Records.MasterKey k) {
      changedAt.put(k.master(), reactor.now());
      Long epoch = held.get(k.master());
      if (epoch != null && view.version(Records.master(k.master())) != epoch) {
        LOG.warn("no longer acting as master {}: another has taken it", k.master());
        held.remove(k.master());
        if (k.master().equals(self) && acting()) {
          // Whoever took it while our lease holds had its reasons: our workers did not reach us.
          apartUntil = reactor.now() + ttlMs * APART;
        }
        listener.ended(k.master());
      }
      View.Kept<Records.Master> now = view.master(k.master());
      if (now != null
          && now.record().holder().equals(self)
          && !k.master().equals(self)
          && !held.containsKey(k.master())
          && acting()) {
        take(k.master(), self, now.version()); // handed over to us
      }
    }
  }

  /**
   * Takes a master whose holder may still act as it, as for a while after the taking; but not where
   * it has changed hands only lately.
   */
  public void takeFrom(String master) {
    View.Kept<Records.Master> kept = view.master(master);
    if (kept != null
        && !held.containsKey(master)
        && reactor.now() - changedAt.getOrDefault(master, 0L) > ttlMs) {
      take(master, kept.record().holder(), kept.version());
    }
  }

  /**
   * Gives a master to another controller, and ends acting as it before that is written: whoever
   * takes it on by a new epoch then waits for nobody. Where the writing fails, it is taken again.
   */
  public void handOver(String master, String to) {
    Long epoch = held.get(master);
    if (epoch == null || view.version(Records.member(to)) == 0) {
      return;
    }
    held.remove(master);
    apartUntil = reactor.now() + ttlMs * APART;
    listener.ended(master);
    store.commitFirst(
        new Store.Txn(
            List.of(
                new StateWire.Condition(Records.master(master), epoch),
                new StateWire.Condition(Records.member(to), view.version(Records.member(to)))),
            List.of(
                new StateWire.Put(
                    Records.master(master), Records.write(new Records.Master(to)), 0))),
        result -> LOG.info("handing master {} over to {}: {}", master, to, result));
  }

  /** Takes masters whose holder has let its lease end, and our own back from whoever has it. */
  private void takeOver() {
    if (!acting()) {
      vacantSince.clear();
      return;
    }
    int order = new TreeSet<>(view.members().keySet()).headSet(self).size();
    for (Map.Entry<String, View.Kept<Records.Master>> one :
        List.copyOf(view.masters().entrySet())) {
      String master = one.getKey();
      String holder = one.getValue().record().holder();
      if (held.containsKey(master)) {
        vacantSince.remove(master);
        continue;
      }
      if (holder.equals(self)) {
        // Ours by an unanswered request, or given to us: nobody else would ever take it.
        take(master, holder, one.getValue().version());
        continue;
      }
      boolean own = master.equals(self) && reactor.now() >= apartUntil;
      if (view.members().containsKey(holder) && !own) {
        vacantSince.remove(master);
        continue;
      }
      long since = vacantSince.computeIfAbsent(master, m -> reactor.now());
      if (own || reactor.now() - since >= order * ttlMs / 6) {
        take(master, holder, one.getValue().version());
      }
    }
  }

  private void take(String master, String holder, long version) {
    if (!taking.add(master)) {
      return;
    }
    boolean othersMayAct = othersMayAct(master);
    List<StateWire.Condition> conditions = new ArrayList<>();
    conditions.add(new StateWire.Condition(Records.master(master), version));
    conditions.add(
        new StateWire.Condition(Records.member(self), view.version(Records.member(self))));
    if (!othersMayAct && !holder.equals(self)) {
      conditions.add(new StateWire.Condition(Records.member(holder), 0));
    }
    List<StateWire.Change> changes =
        List.of(
            new StateWire.Put(Records.master(master), Records.write(new Records.Master(self)), 0));
    LOG.warn("taking master {} from {}", master, holder);
    store.commitFirst(
        new Store.Txn(conditions, changes),
        result -> {
          taking.remove(master);
          if (result instanceof Store.Committed committed
              && view.version(Records.master(master)) <= committed.revision()) {
            begin(master, committed.revision(), othersMayAct);
            view.committed(changes, committed.revision());
          }
        });
  }
}
