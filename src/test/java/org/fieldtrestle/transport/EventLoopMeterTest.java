package org.fieldtrestle.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.fieldtrestle.transport.EventLoopMeter.Activity;
import org.junit.jupiter.api.Test;

/** Checks the times and counts of nested and of failing activities. */
class EventLoopMeterTest {
  private static final long NANOS_PER_MS = 1_000_000;

  private long nowNanos;
  private final EventLoopMeter meter = new EventLoopMeter(() -> nowNanos);

  private void pass(long ms) {
    nowNanos += ms * NANOS_PER_MS;
  }

  @Test
  void nestedActivityCountsForItselfAlone() {
    pass(5); // no activity runs
    meter.run(
        Activity.HTTP_SERVER_READ,
        () -> {
          pass(10);
          meter.run(Activity.WORKER_REPORT, () -> pass(7));
          pass(1);
        });
    pass(100);
    assertEquals(11, meter.totalMs(Activity.HTTP_SERVER_READ));
    assertEquals(7, meter.totalMs(Activity.WORKER_REPORT));
    assertEquals(1, meter.count(Activity.WORKER_REPORT));
    assertEquals("http_server_read 1 in 11 ms, worker_report 1 in 7 ms", meter.summary());
  }

  @Test
  void failingActivityIsCountedAndEnds() {
    assertThrows(
        IllegalStateException.class,
        () ->
            meter.run(
                Activity.PLACEMENT,
                () -> {
                  pass(3);
                  throw new IllegalStateException("on purpose");
                }));
    pass(50);
    meter.run(Activity.PEER_FRAME, () -> pass(2));
    assertEquals(3, meter.totalMs(Activity.PLACEMENT));
    assertEquals(2, meter.totalMs(Activity.PEER_FRAME));
  }
}
