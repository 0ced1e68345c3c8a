package org.fieldtrestle.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.fieldtrestle.bookkeeping.Records;
import org.fieldtrestle.bookkeeping.Store;
import org.fieldtrestle.protocol.StateWire;
import org.fieldtrestle.transport.Reactor;

/**
 * What is told to a user must not be older than what any node told before. Whoever passes here
 * knows everything that was written before it came; all that wait together share one request.
 */
final class Barrier {
  private final Reactor reactor;
  private final Node node;
  private final long gapMs;
  private final long seenWithinMs;
  private List<Consumer<Boolean>> waiting = new ArrayList<>();
  private boolean asking;
  private long nextAt;

  Barrier(Node node) {
    this.node = node;
    this.reactor = node.reactor();
    this.gapMs = node.view().watchGapMs();
    this.seenWithinMs = gapMs * 8;
  }

  void pass(Consumer<Boolean> then) {
    waiting.add(then);
    ask();
  }

  private void ask() {
    if (asking || waiting.isEmpty()) {
      return;
    }
    asking = true;
    long wait = nextAt - reactor.now();
    if (wait > 0) {
      reactor.schedule(wait, this::send);
    } else {
      send();
    }
  }

  private void send() {
    List<Consumer<Boolean>> passing = waiting;
    waiting = new ArrayList<>();
    nextAt = reactor.now() + gapMs;
    node.store()
        .commit(
            new Store.Txn(List.of(new StateWire.Condition(Records.LIVE + "barrier", 0)), List.of()),
            result -> {
              asking = false;
              if (result instanceof Store.Committed committed) {
                node.view()
                    .await(
                        committed.revision(),
                        seenWithinMs,
                        seen -> passing.forEach(then -> then.accept(seen)));
              } else {
                passing.forEach(then -> then.accept(false));
              }
              ask();
            });
  }
}
