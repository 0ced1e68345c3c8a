package org.fieldtrestle.transport;

/**
 * Owns state that other classes access only by sending messages. All messages are handled on the
 * reactor's thread.
 *
 * @param <M> the type of the messages
 */
public abstract class Actor<M> {
  protected final Reactor reactor;

  protected Actor(Reactor reactor) {
    this.reactor = reactor;
  }

  /** Queues a message, to be handled after all messages and tasks that were queued earlier. */
  public final void tell(M message) {
    reactor.execute(() -> receive(message));
  }

  /** Handles one message on the reactor's thread. */
  protected abstract void receive(M message);
}
