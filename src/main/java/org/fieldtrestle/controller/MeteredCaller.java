package org.fieldtrestle.controller;

import java.util.function.Consumer;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.transport.EventLoopMeter;
import org.fieldtrestle.transport.EventLoopMeter.Work;
import org.fieldtrestle.transport.Http;

/** Makes calls and meters the handling of their answers by the service that has answered. */
final class MeteredCaller implements Http.Caller {
  private final Http.Caller caller;
  private final Settings settings;
  private final EventLoopMeter meter;

  MeteredCaller(Http.Caller caller, Settings settings, EventLoopMeter meter) {
    this.caller = caller;
    this.settings = settings;
    this.meter = meter;
  }

  @Override
  public void call(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<Http.Outcome> done) {
    Work work = workOf(address, path);
    caller.call(
        address,
        method,
        path,
        body,
        timeoutMs,
        outcome -> meter.run(work, () -> done.accept(outcome)));
  }

  private Work workOf(String address, String path) {
    if (address.equals(settings.stateAddress())) {
      return path.startsWith(KeyValueProtocol.WATCH) ? Work.STATE_WATCH : Work.STATE_ANSWER;
    }
    return address.equals(settings.cloudAddress()) ? Work.CLOUD_ANSWER : Work.WORKER_COMMAND_ANSWER;
  }
}
