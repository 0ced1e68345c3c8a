package org.fieldtrestle.transport;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A reactor on a Netty event loop and the clocks of the system, for production use. */
public final class NettyReactor implements Reactor {
  private static final Logger LOG = LoggerFactory.getLogger(NettyReactor.class);
  private static final long NANOS_PER_MS = 1_000_000;

  private final EventLoop loop;
  private final long originNanos = System.nanoTime();

  /** Creates a reactor whose monotonic clock starts at zero. */
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
  public void execute(Runnable task) {
    loop.execute(logFailures(task));
  }

  @Override
  public Timer schedule(long delayMs, Runnable task) {
    Future<?> pending =
        loop.schedule(logFailures(task), Math.max(0, delayMs), TimeUnit.MILLISECONDS);
    return () -> pending.cancel(false);
  }

  /**
   * Wraps a task so that its failure is only logged. A failure in one task must not end the event
   * loop that all tasks share.
   */
  private static Runnable logFailures(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.atError().setCause(e).log("task on the event loop failed");
      }
    };
  }
}
