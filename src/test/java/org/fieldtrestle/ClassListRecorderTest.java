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
 * The build records the classes that a controller loads while {@link StubServices} serve it. If the
 * answers of the stubs are not what the controller expects, the recording ends early and
 * controllers start more slowly, which no other test detects.
 */
class ClassListRecorderTest {
  private static final int PORT = 4000;
  private static final String SERVICES_ADDRESS = "127.0.0.1:" + PORT;
  private static final String CONTROLLER_ADDRESS = "127.0.0.1:4001";
  private static final long MAX_RUN_MS = 10_000;

  @Test
  void stubUserFinishesAllRequests() throws IOException, InvalidSettingException {
    boolean[] finished = {false};
    SimulatedNetwork network = new SimulatedNetwork();
    StubServices services =
        new StubServices(network.reactor(), network.caller(), () -> finished[0] = true);
    Controller controller =
        new Controller(
            ClassListRecorder.settings(PORT),
            OperatorSettings.DEFAULT,
            network.reactor(),
            new SplittableRandom(1),
            network.caller(),
            (address, frame) -> {},
            new EventLoopMeter(() -> 0));
    network.serve(SERVICES_ADDRESS, services);
    controller.start(() -> network.serve(CONTROLLER_ADDRESS, controller));
    services.start(SERVICES_ADDRESS, CONTROLLER_ADDRESS);

    network.runFor(MAX_RUN_MS);

    assertTrue(finished[0], "the stub user should finish all its requests");
  }
}
