package org.fieldtrestle.cloud;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.fieldtrestle.transport.Reactor;
import org.junit.jupiter.api.Test;

/** The order and the times at which requests to the cloud are sent. */
class RateLimitedQueueTest {
  private static final long INTERVAL_MS = 100;

  /** Runs scheduled actions in the order of their simulated times. */
  private static final class ManualReactor implements Reactor {
    private record Scheduled(long atMs, Runnable action) {}

    private final PriorityQueue<Scheduled> scheduled =
        new PriorityQueue<>(Comparator.comparingLong(Scheduled::atMs));
    private long nowMs = 1000;

    @Override
    public long nowMs() {
      return nowMs;
    }

    @Override
    public long wallClockMs() {
      return nowMs;
    }

    @Override
    public Timer schedule(long delayMs, Runnable action) {
      Scheduled entry = new Scheduled(nowMs + delayMs, action);
      scheduled.add(entry);
      return () -> scheduled.remove(entry);
    }

    @Override
    public void execute(Runnable action) {
      scheduled.add(new Scheduled(nowMs, action));
    }

    void runAll() {
      while (!scheduled.isEmpty()) {
        Scheduled next = scheduled.remove();
        nowMs = next.atMs();
        next.action().run();
      }
    }
  }

  private final ManualReactor reactor = new ManualReactor();
  private final RateLimitedQueue queue = new RateLimitedQueue(reactor, INTERVAL_MS);
  private final List<String> sent = new ArrayList<>();

  private Runnable request(String name) {
    return () -> sent.add(name + "@" + reactor.nowMs());
  }

  @Test
  void threeRequestsAreSentAtOnceAfterAPauseAndTheRestAtTheRateLimit() {
    for (int i = 1; i <= 5; i++) {
      queue.addRead(request("r" + i));
    }
    reactor.runAll();
    assertEquals(List.of("r1@1000", "r2@1000", "r3@1000", "r4@1100", "r5@1200"), sent);
  }

  @Test
  void changesAreSentBeforeWaitingReads() {
    for (int i = 1; i <= 5; i++) {
      queue.addRead(request("r" + i));
    }
    queue.addChange(request("c1"));
    reactor.runAll();
    assertEquals(List.of("r1@1000", "r2@1000", "r3@1000", "c1@1100", "r4@1200", "r5@1300"), sent);
  }

  @Test
  void requestsMayAddRequests() {
    queue.addChange(
        () -> {
          sent.add("c1@" + reactor.nowMs());
          queue.addRead(request("r1"));
          queue.addChange(request("c2"));
          queue.addRead(request("r2"));
          queue.addChange(request("c3"));
        });
    reactor.runAll();
    assertEquals(List.of("c1@1000", "r1@1000", "c2@1000", "c3@1100", "r2@1200"), sent);
  }
}
