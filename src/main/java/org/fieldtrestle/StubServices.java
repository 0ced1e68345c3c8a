package org.fieldtrestle;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import org.fieldtrestle.protocol.CloudProtocol;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.protocol.WorkerProtocol;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.Reactor;

/**
 * Stubs of all services that a controller communicates with, for {@link ClassListRecorder}. They
 * implement just enough for a controller to run a job until it is done and to cancel another job.
 * All of them listen on one address.
 */
final class StubServices implements Http.Handler {
  private static final long HEARTBEAT_INTERVAL_MS = 50;
  private static final long WATCH_ANSWER_DELAY_MS = 50;
  private static final long CALL_TIMEOUT_MS = 2000;

  private final Reactor reactor;
  private final Http.Caller caller;
  private final Runnable onFinished;
  private final StubKeyValueStore store = new StubKeyValueStore();
  private final StubCloud cloud = new StubCloud();
  private final StubWorker worker = new StubWorker();
  private String ownAddress;
  private String controllerAddress;

  /**
   * Creates stubs that do not act before {@link #start} is called.
   *
   * @param onFinished run once all requests of the stub user have been answered
   */
  StubServices(Reactor reactor, Http.Caller caller, Runnable onFinished) {
    this.reactor = reactor;
    this.caller = caller;
    this.onFinished = onFinished;
  }

  /**
   * Begins to send heartbeats and to submit jobs.
   *
   * @param address the address on which the stubs listen
   * @param controller the address on which the controller listens for users and workers
   */
  void start(String address, String controller) {
    reactor.execute(
        () -> {
          ownAddress = address;
          controllerAddress = controller;
          new StubUser(reactor, this::call, onFinished).start();
          heartbeat();
        });
  }

  @Override
  public void handle(Http.Request request, Consumer<Http.Response> reply) {
    String path = request.path();
    if (path.equals(KeyValueProtocol.WATCH_PATH)) {
      reactor.schedule(WATCH_ANSWER_DELAY_MS, () -> reply.accept(ok(store.watch())));
    } else if (path.equals(CloudProtocol.MACHINES_PATH) && request.method().equals("POST")) {
      reply.accept(cloud.rent());
    } else {
      reply.accept(ok(answer(request, Json.parseOrEmpty(request.body()))));
    }
  }

  private JsonNode answer(Http.Request request, JsonNode body) {
    String path = request.path();
    if (path.startsWith(KeyValueProtocol.LEASES_PATH)) {
      return store.grantOrRenewLease();
    }
    return switch (path) {
      case KeyValueProtocol.KEYS_PATH -> store.list(request.query());
      case KeyValueProtocol.COMMIT_PATH -> store.commit(body);
      case CloudProtocol.MACHINE_TYPES_PATH -> cloud.machineTypes();
      case CloudProtocol.MACHINES_PATH -> cloud.machines(ownAddress);
      case WorkerProtocol.COMMANDS_PATH -> {
        worker.execute(body);
        yield worker.heartbeat(ownAddress);
      }
      default -> Json.object();
    };
  }

  private static Http.Response ok(JsonNode body) {
    return new Http.Response(200, Json.bytes(body));
  }

  private void heartbeat() {
    if (cloud.isRented()) {
      worker.advanceTasks();
      call("POST", WorkerProtocol.HEARTBEAT_PATH, worker.heartbeat(ownAddress), worker::execute);
    }
    reactor.schedule(HEARTBEAT_INTERVAL_MS, this::heartbeat);
  }

  private void call(String method, String path, JsonNode body, Consumer<JsonNode> onAnswer) {
    byte[] bytes = method.equals("GET") ? Http.Response.EMPTY : Json.bytes(body);
    caller.call(
        controllerAddress,
        method,
        path,
        bytes,
        CALL_TIMEOUT_MS,
        outcome ->
            onAnswer.accept(
                outcome instanceof Http.Answer answer
                    ? Json.parseOrEmpty(answer.body())
                    : Json.object()));
  }
}
