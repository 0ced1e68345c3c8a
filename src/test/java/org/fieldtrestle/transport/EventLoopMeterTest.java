package org.fieldtrestle.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.fieldtrestle.transport.EventLoopMeter.Work;
import org.junit.jupiter.api.Test;

class EventLoopMeterTest {
  private static final long MS = 1_000_000;

  private long now;
  private final EventLoopMeter meter = new EventLoopMeter(() -> now);

  private void pass(long ms) {
    now += ms * MS;
  }

  @Test
  void workWithinOtherWorkCountsForItselfAlone() {
    pass(5); // nothing is done
    meter.run(
        Work.HTTP_SERVER_READ,
        () -> {
          pass(10);
          meter.run(Work.WORKER_REPORT, () -> pass(7));
          pass(1);
        });
    pass(100);
    assertEquals(11, meter.millis(Work.HTTP_SERVER_READ));
    assertEquals(7, meter.millis(Work.WORKER_REPORT));
    assertEquals(1, meter.count(Work.WORKER_REPORT));
    assertEquals("http_server_read 1 in 11 ms, worker_report 1 in 7 ms", meter.summary());
  }

  @Test
  void workThatFailsIsCountedAndEnds() {
    assertThrows(
        IllegalStateException.class,
        () ->
            meter.run(
                Work.PLACEMENT,
                () -> {
                  pass(3);
                  throw new IllegalStateException("on purpose");
                }));
    pass(50);
    meter.run(Work.PEER_FRAME, () -> pass(2));
    assertEquals(3, meter.millis(Work.PLACEMENT));
    assertEquals(2, meter.millis(Work.PEER_FRAME));
  }
}
