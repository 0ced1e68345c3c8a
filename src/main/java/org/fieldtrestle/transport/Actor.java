package org.fieldtrestle.transport;

/**
 * Owner of some state that others reach by messages only.
 *
 * @param <M> the messages it takes
 */
public abstract class Actor<M> {
  protected final Reactor reactor;

  protected Actor(Reactor reactor) {
    this.reactor = reactor;
  }

  /** Queues a message; it is taken after all that were queued before it. */
  public final void tell(M message) {
    reactor.execute(() -> receive(message));
  }

  protected abstract void receive(M message);
}
