package org.fieldtrestle.transport;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The reactor of a real process: a Netty event loop and the system's clocks. */
public final class NettyReactor implements Reactor {
  private static final Logger LOG = LoggerFactory.getLogger(NettyReactor.class);
  private static final long NANOS_PER_MS = 1_000_000;

  private final EventLoop loop;
  private final long originNanos = System.nanoTime();

  /** A reactor whose steady clock begins now. */
  public NettyReactor(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public long nowMs() {
    return (System.nanoTime() - originNanos) / NANOS_PER_MS;
  }

  @Override
  public long nanoTime() {
    return System.nanoTime();
  }

  @Override
  public long wallClockMs() {
    return System.currentTimeMillis();
  }

  @Override
  public void execute(Runnable work) {
    loop.execute(logFailures(work));
  }

  @Override
  public Timer schedule(long delayMs, Runnable work) {
    Future<?> pending =
        loop.schedule(logFailures(work), Math.max(0, delayMs), TimeUnit.MILLISECONDS);
    return () -> pending.cancel(false);
  }

  /** A failure in one task must not end the loop that all others share. */
  private static Runnable logFailures(Runnable work) {
    return () -> {
      try {
        work.run();
      } catch (RuntimeException e) {
        LOG.atError().setCause(e).log("task on the event loop failed");
      }
    };
  }
}
