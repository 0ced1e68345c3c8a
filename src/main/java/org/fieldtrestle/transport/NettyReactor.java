package org.fieldtrestle.transport;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The reactor of a real process: Netty's event loop and the system's clocks. */
public final class NettyReactor implements Reactor {
  private static final Logger LOG = LoggerFactory.getLogger(NettyReactor.class);
  private final EventLoop loop;
  private final long origin = System.nanoTime();

  public NettyReactor(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public long now() {
    return (System.nanoTime() - origin) / 1_000_000;
  }

  @Override
  public long nanoTime() {
    return System.nanoTime();
  }

  @Override
  public long wall() {
    return System.currentTimeMillis();
  }

  @Override
  public void execute(Runnable work) {
    loop.execute(guarded(work));
  }

  @Override
  public Timer schedule(long delayMs, Runnable work) {
    Future<?> pending = loop.schedule(guarded(work), Math.max(0, delayMs), TimeUnit.MILLISECONDS);
    return () -> pending.cancel(false);
  }

  /** A fault in one message must not end the loop that all the others share. */
  private static Runnable guarded(Runnable work) {
    return () -> {
      try {
        work.run();
      } catch (RuntimeException e) {
        LOG.error("unexpected failure while handling a message", e);
      }
    };
  }
}
