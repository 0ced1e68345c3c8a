package org.fieldtrestle.cloud;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
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

/** Our side of the cloud, within this controller's part of its limit. */
public final class CloudClient {
  private static final Logger LOG = LoggerFactory.getLogger(CloudClient.class);

  private final Reactor reactor;
  private final Http.Caller caller;
  private final String address;
  private final long gapMs;
  private final long timeoutMs;

  /** What changes the fleet goes before what only looks at it: a list has many pages. */
  private final ArrayDeque<Runnable> changes = new ArrayDeque<>();

  private final ArrayDeque<Runnable> looks = new ArrayDeque<>();
  private long nextAt;
  private boolean scheduled;
  private List<MachineType> types = List.of();

  public CloudClient(Reactor reactor, Http.Caller caller, Settings settings) {
    this.reactor = reactor;
    this.caller = caller;
    this.address = settings.cloudAddress();
    this.gapMs = Math.round(1000 / (settings.share(settings.cloud().rps()) * 0.9));
    this.timeoutMs = Math.round(settings.cloud().listLagS() * 1000);
  }

  /** The machine types; empty until the cloud has told. */
  public List<MachineType> types() {
    return types;
  }

  /** Reads the types now and again and again, as spot prices move. */
  public void start() {
    call(
        "GET",
        CloudProtocol.TYPES_PATH,
        Http.Response.EMPTY,
        outcome -> {
          if (outcome instanceof Http.Answer answer && answer.status() == 200) {
            try {
              types = CloudProtocol.readTypes(answer.body());
            } catch (MalformedJsonException e) {
              LOG.warn("machine types are not as agreed: {}", e.getMessage());
            }
          }
          reactor.schedule(types.isEmpty() ? gapMs : timeoutMs * 5, this::start);
        });
  }

  /** How a rental went. */
  public sealed interface Rent {}

  public record Rented(List<String> machines) implements Rent {}

  public record NoCapacity() implements Rent {}

  /** May be repeated under the same name. */
  public record Again() implements Rent {}

  /** The cloud will not have it under any name. */
  public record Wrong() implements Rent {}

  public void rent(
      String request, String type, String zone, boolean spot, int count, Consumer<Rent> done) {
    call(
        "POST",
        CloudProtocol.MACHINES_PATH,
        CloudProtocol.writeRental(request, type, zone, spot, count),
        outcome -> done.accept(rent(outcome)));
  }

  private static Rent rent(Http.Outcome outcome) {
    if (outcome instanceof Http.Answer answer) {
      if (answer.status() == 200) {
        try {
          return new Rented(CloudProtocol.readRentedMachines(answer.body()));
        } catch (MalformedJsonException e) {
          return new Again();
        }
      }
      if (answer.status() == 400) {
        return new Wrong();
      }
      if (answer.status() == 503 && CloudProtocol.isNoCapacity(answer.body())) {
        return new NoCapacity();
      }
    }
    return new Again();
  }

  /** Returns machines; true once they and all that was on them are gone. */
  public void terminate(List<String> machines, Consumer<Boolean> done) {
    call(
        "POST",
        CloudProtocol.RETURN_PATH,
        CloudProtocol.writeReturn(machines),
        outcome -> done.accept(outcome instanceof Http.Answer answer && answer.status() == 200));
  }

  /** Reads the whole machine list; null where that failed. */
  public void list(Consumer<List<ListedMachine>> done) {
    page("", new ArrayList<>(), done);
  }

  private void page(String after, List<ListedMachine> sofar, Consumer<List<ListedMachine>> done) {
    call(
        "GET",
        CloudProtocol.listPath(after),
        Http.Response.EMPTY,
        outcome -> {
          if (outcome instanceof Http.Answer answer && answer.status() == 200) {
            try {
              MachinePage page = CloudProtocol.readPage(answer.body());
              sofar.addAll(page.machines());
              if (page.more() && !page.machines().isEmpty()) {
                page(page.machines().get(page.machines().size() - 1).machine(), sofar, done);
              } else {
                done.accept(sofar);
              }
              return;
            } catch (MalformedJsonException e) {
              LOG.warn("machine list is not as agreed: {}", e.getMessage());
            }
          }
          done.accept(null);
        });
  }

  private void call(String method, String path, byte[] body, Consumer<Http.Outcome> done) {
    (method.equals("GET") ? looks : changes)
        .addLast(() -> caller.call(address, method, path, body, timeoutMs, done));
    drain();
  }

  private void drain() {
    if (scheduled || changes.isEmpty() && looks.isEmpty()) {
      return;
    }
    long wait = nextAt - reactor.now();
    if (wait > 0) {
      scheduled = true;
      reactor.schedule(
          wait,
          () -> {
            scheduled = false;
            drain();
          });
      return;
    }
    // Two may go close together: the cloud allows bursts.
    nextAt = Math.max(nextAt + gapMs, reactor.now() - gapMs);
    (changes.isEmpty() ? looks : changes).removeFirst().run();
    drain();
  }
}
