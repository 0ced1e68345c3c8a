package org.fieldtrestle.cloud;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.protocol.CloudProtocol;
import org.fieldtrestle.protocol.ListedMachine;
import org.fieldtrestle.protocol.MachinePage;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.protocol.MalformedJsonException;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.Reactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the cloud, which keeps to this controller's share of the cloud's request limit. All
 * methods are called on the event loop, and all callbacks run on it.
 */
public final class CloudClient {
  private static final Logger LOG = LoggerFactory.getLogger(CloudClient.class);

  /** Fraction of this controller's share of the request limit that is used. */
  private static final double USED_SHARE = 0.9;

  /** Time between two requests for the machine types, in multiples of the machine list's lag. */
  private static final int TYPES_INTERVAL_LAGS = 5;

  private final Reactor reactor;
  private final Http.Caller caller;
  private final String address;
  private final long requestIntervalMs;
  private final long listLagMs;
  private final RateLimitedQueue queue;
  private List<MachineType> machineTypes = List.of();

  /** Creates the client. No request is sent before {@link #start}. */
  public CloudClient(Reactor reactor, Http.Caller caller, Settings settings) {
    this.reactor = reactor;
    this.caller = caller;
    this.address = settings.cloudAddress();
    this.requestIntervalMs =
        Math.round(
            1000 / (settings.equalShare(settings.cloudLimits().requestsPerS()) * USED_SHARE));
    this.listLagMs = Math.round(settings.cloudLimits().maxListLagS() * 1000);
    this.queue = new RateLimitedQueue(reactor, requestIntervalMs);
  }

  /**
   * Returns the machine types with their prices; empty until they have been read for the first
   * time.
   */
  public List<MachineType> machineTypes() {
    return machineTypes;
  }

  /**
   * Returns by how many milliseconds the machine list may lag behind. This is also the timeout of a
   * request.
   */
  public long listLagMs() {
    return listLagMs;
  }

  /** Reads the machine types at once and then periodically, as spot prices change. */
  public void start() {
    read(
        CloudProtocol.MACHINE_TYPES_PATH,
        outcome -> {
          readTypes(outcome);
          reactor.schedule(
              machineTypes.isEmpty() ? requestIntervalMs : listLagMs * TYPES_INTERVAL_LAGS,
              this::start);
        });
  }

  private void readTypes(Http.Outcome outcome) {
    if (outcome instanceof Http.Answer answer && answer.status() == 200) {
      try {
        machineTypes = CloudProtocol.readMachineTypes(answer.body());
      } catch (MalformedJsonException e) {
        LOG.atWarn().addKeyValue("reason", e.getMessage()).log("machine types are malformed");
      }
    }
  }

  /** Rents machines. */
  public void rent(RentalRequest request, Consumer<RentalResult> done) {
    change(
        CloudProtocol.MACHINES_PATH,
        CloudProtocol.writeRentalRequest(
            request.id(), request.type(), request.zone(), request.spot(), request.count()),
        outcome -> done.accept(rentalResult(outcome)));
  }

  private static RentalResult rentalResult(Http.Outcome outcome) {
    if (!(outcome instanceof Http.Answer answer)) {
      return new RentalResult.OutcomeUnknown();
    }
    if (answer.status() == 200) {
      try {
        return new RentalResult.Rented(CloudProtocol.readRentedMachines(answer.body()));
      } catch (MalformedJsonException e) {
        return new RentalResult.OutcomeUnknown();
      }
    }
    if (answer.status() == 400) {
      return new RentalResult.Rejected();
    }
    if (answer.status() == 503 && CloudProtocol.isNoCapacity(answer.body())) {
      return new RentalResult.NoCapacity();
    }
    return new RentalResult.OutcomeUnknown();
  }

  /**
   * Returns machines to the cloud.
   *
   * @param done receives true once the machines and everything on them are gone; false if that is
   *     not known, in which case the request may be repeated
   */
  public void terminate(List<String> machines, Consumer<Boolean> done) {
    change(
        CloudProtocol.RETURN_PATH,
        CloudProtocol.writeReturnRequest(machines),
        outcome -> done.accept(outcome instanceof Http.Answer answer && answer.status() == 200));
  }

  /**
   * Reads the complete machine list, page by page.
   *
   * @param done receives the list, or empty if any page could not be read
   */
  public void list(Consumer<Optional<List<ListedMachine>>> done) {
    readPage("", new ArrayList<>(), done);
  }

  private void readPage(
      String after, List<ListedMachine> listed, Consumer<Optional<List<ListedMachine>>> done) {
    read(
        CloudProtocol.listPath(after),
        outcome -> {
          Optional<MachinePage> page = page(outcome);
          if (page.isEmpty()) {
            done.accept(Optional.empty());
            return;
          }
          List<ListedMachine> machines = page.get().machines();
          listed.addAll(machines);
          if (page.get().hasMore() && !machines.isEmpty()) {
            readPage(machines.get(machines.size() - 1).name(), listed, done);
          } else {
            done.accept(Optional.of(listed));
          }
        });
  }

  private static Optional<MachinePage> page(Http.Outcome outcome) {
    if (outcome instanceof Http.Answer answer && answer.status() == 200) {
      try {
        return Optional.of(CloudProtocol.readPage(answer.body()));
      } catch (MalformedJsonException e) {
        LOG.atWarn().addKeyValue("reason", e.getMessage()).log("machine list is malformed");
      }
    }
    return Optional.empty();
  }

  private void read(String path, Consumer<Http.Outcome> done) {
    queue.addRead(() -> caller.call(address, "GET", path, Http.Response.EMPTY, listLagMs, done));
  }

  private void change(String path, byte[] body, Consumer<Http.Outcome> done) {
    queue.addChange(() -> caller.call(address, "POST", path, body, listLagMs, done));
  }
}
