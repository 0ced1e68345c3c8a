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
 * The build records the classes of a controller that serves {@link WarmUpServices}. Where these no
 * longer answer as the controller expects, the run ends early and starts become slower, which
 * nothing else would tell.
 */
class WarmUpServicesTest {
  private static final int PORT = 4000;
  private static final String SERVICES = "127.0.0.1:" + PORT;
  private static final String CONTROLLER = "127.0.0.1:4001";
  private static final long LONGEST_RUN_MS = 10_000;

  @Test
  void theWarmUpRunIsServedToItsEnd() throws IOException, InvalidSettingException {
    boolean[] served = {false};
    SimulatedNetwork network = new SimulatedNetwork();
    WarmUpServices services =
        new WarmUpServices(network.reactor(), network.caller(), () -> served[0] = true);
    Controller controller =
        new Controller(
            WarmUp.settings(PORT),
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

    assertTrue(served[0], "the warm-up run should be served to its end");
  }
}
