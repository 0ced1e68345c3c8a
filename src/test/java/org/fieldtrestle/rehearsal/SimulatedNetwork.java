package org.fieldtrestle.rehearsal;

import java.util.SplittableRandom;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.Reactor;

/** A network without faults and its time, for tests of other packages. */
public final class SimulatedNetwork {
  private static final String ZONE = "a";

  private final World world = new World(new SplittableRandom(1));
  private final Net net = new Net(world);

  /** The reactor of a process whose clocks are exact. */
  public Reactor reactor() {
    return world.process(() -> true, Runnable::run, 0, 0);
  }

  /** Makes calls to whoever is served here. */
  public Http.Caller caller() {
    return (address, method, path, body, timeoutMs, done) ->
        net.call(ZONE, () -> true, address, method, path, body, timeoutMs, done);
  }

  /** Hands requests to an address to a handler. */
  public void serve(String address, Http.Handler handler) {
    net.serve(address, ZONE, handler);
  }

  /** Lets simulated time pass. */
  public void runFor(long ms) {
    world.runUntil(world.now() + ms);
  }
}
