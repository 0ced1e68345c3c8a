package org.fieldtrestle.transport;

/**
 * Owner of some state that is reached by messages only, all on the reactor's thread.
 *
 * @param <M> the type of its messages
 */
public abstract class Actor<M> {
  protected final Reactor reactor;

  protected Actor(Reactor reactor) {
    this.reactor = reactor;
  }

  /** Queues a message; it is received after all that were queued before it. */
  public final void tell(M message) {
    reactor.execute(() -> receive(message));
  }

  /** Handles one message on the reactor's thread. */
  protected abstract void receive(M message);
}
