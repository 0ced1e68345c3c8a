package org.fieldtrestle.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.simulation.SimulatedNetwork;
import org.fieldtrestle.state.KeyValueClient;
import org.fieldtrestle.state.RecordCodec;
import org.fieldtrestle.state.ShardRecord;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.Reactor;
import org.junit.jupiter.api.Test;

/** Acquisition of shards when the key-value store answers late. */
class MembershipTest {
  private static final String LABEL = "trestle-0";

  /** Within the time-out of a request, and longer than a watch takes to deliver a change. */
  private static final long LATE_MS = 1000;

  private final SimulatedNetwork network = new SimulatedNetwork();
  private final Reactor reactor = network.reactor();
  private final List<Long> begun = new ArrayList<>();

  private Http.Caller lateCommits() {
    Http.Caller prompt = network.caller();
    return (address, method, path, body, timeoutMs, done) -> {
      long late = path.equals(KeyValueProtocol.COMMIT_PATH) ? LATE_MS : 0;
      prompt.call(
          address,
          method,
          path,
          body,
          timeoutMs,
          outcome -> reactor.schedule(late, () -> done.accept(outcome)));
    };
  }

  private final class RecordEpochs implements Membership.Listener {
    @Override
    public void began(String shard, long epoch, boolean formerLeaderMayAct) {
      begun.add(epoch);
    }

    @Override
    public void ended(String shard) {}
  }

  /**
   * Another controller acquired the shard before the answer to this one's acquisition arrived, and
   * the state cache shows it already: no later change would end a term that began now.
   */
  @Test
  void aShardAcquiredByAnotherBeforeTheAnswerArrivesIsNotLed() {
    network.serveState();
    Settings settings = network.settings(LABEL);
    KeyValueClient store = new KeyValueClient(reactor, lateCommits(), settings);
    StateCache stateCache = new StateCache(reactor, store, settings);
    Membership membership = new Membership(reactor, store, stateCache, settings, "boot");
    stateCache.start();
    network.runFor(500);
    membership.start(new RecordEpochs());
    network.runFor(LATE_MS / 2);
    network.writeState(StateKeys.shard(LABEL), RecordCodec.encode(new ShardRecord("trestle-1")));
    network.runFor(LATE_MS / 4);
    long taken = stateCache.version(StateKeys.shard(LABEL));
    network.runFor(LATE_MS);
    assertTrue(begun.stream().noneMatch(epoch -> epoch < taken), begun + " before " + taken);
    network.runFor(settings.controllerLeaseMs());
    assertEquals(
        stateCache.version(StateKeys.shard(LABEL)), begun.get(begun.size() - 1), "taken back");
  }
}
