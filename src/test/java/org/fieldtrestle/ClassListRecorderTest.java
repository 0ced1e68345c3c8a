package org.fieldtrestle;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.SplittableRandom;
import org.fieldtrestle.config.InvalidSettingException;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.controller.Controller;
import org.fieldtrestle.simulation.SimulatedNetwork;
import org.fieldtrestle.transport.EventLoopMeter;
import org.junit.jupiter.api.Test;

/**
 * The build records the classes of a controller that is served by {@link StubServices}. If their
 * answers no longer are what the controller expects, the run ends early and starts become slower,
 * which nothing else would show.
 */
class ClassListRecorderTest {
  private static final int PORT = 4000;
  private static final String SERVICES = "127.0.0.1:" + PORT;
  private static final String CONTROLLER = "127.0.0.1:4001";
  private static final long LONGEST_RUN_MS = 10_000;

  @Test
  void recordingRunIsServedToItsEnd() throws IOException, InvalidSettingException {
    boolean[] served = {false};
    SimulatedNetwork network = new SimulatedNetwork();
    StubServices services =
        new StubServices(network.reactor(), network.caller(), () -> served[0] = true);
    Controller controller =
        new Controller(
            ClassListRecorder.settings(PORT),
            OperatorSettings.DEFAULT,
            network.reactor(),
            new SplittableRandom(1),
            network.caller(),
            (address, frame) -> {},
            new EventLoopMeter(() -> 0));
    network.serve(SERVICES, services);
    controller.start(() -> network.serve(CONTROLLER, controller));
    services.start(SERVICES, CONTROLLER);

    network.runFor(LONGEST_RUN_MS);

    assertTrue(served[0], "the recording run should be served to its end");
  }
}
