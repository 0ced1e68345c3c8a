package org.fieldtrestle.controller;

import java.util.function.Consumer;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.transport.EventLoopMeter;
import org.fieldtrestle.transport.EventLoopMeter.Activity;
import org.fieldtrestle.transport.Http;

/** Makes HTTP calls and meters the time spent on handling the answers of each called service. */
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
      Consumer<Http.Outcome> callback) {
    Activity activity = activityOf(address, path);
    caller.call(
        address,
        method,
        path,
        body,
        timeoutMs,
        outcome -> meter.run(activity, () -> callback.accept(outcome)));
  }

  private Activity activityOf(String address, String path) {
    if (address.equals(settings.keyValueStoreAddress())) {
      return path.startsWith(KeyValueProtocol.WATCH_PATH)
          ? Activity.STATE_WATCH
          : Activity.STATE_ANSWER;
    }
    return address.equals(settings.cloudAddress())
        ? Activity.CLOUD_ANSWER
        : Activity.WORKER_COMMAND_ANSWER;
  }
}
