package org.fieldtrestle.scaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fieldtrestle.cloud.RentalRequest;
import org.fieldtrestle.cloud.RentalResult;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.CloudProtocol;
import org.fieldtrestle.worker.LeadershipTerm;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Scale out: rents machines for waiting and arriving work. At most one rental request is in flight.
 */
final class ScaleOut {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOut.class);

  /**
   * How long an offer that was refused is not requested again, in multiples of the machine list's
   * lag.
   */
  private static final int REFUSED_FOR_LAGS = 2;

  /**
   * Divisor of the machine list's lag that gives the delay before a request of unknown outcome is
   * repeated.
   */
  private static final int RETRY_LAG_DIVISOR = 4;

  private static final int MAX_RETRIES = 20;

  /** Machines that can be rented: a machine type in a zone, as spot or ordinary machines. */
  private record Offer(String type, String zone, boolean spot) {}

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final MachineInventory inventory;
  private final DemandEstimator demandEstimator;
  private final WorkloadRate workloadRate;

  /**
   * Until when offers are not requested because the cloud had too few machines, in milliseconds.
   */
  private final Map<Offer, Long> refusedUntilMs = new HashMap<>();

  private long requestCount;
  private boolean rentalInFlight;

  ScaleOut(
      ControllerContext context,
      LeadershipTerm term,
      WorkerRegistry workers,
      MachineInventory inventory,
      DemandEstimator demandEstimator,
      WorkloadRate workloadRate) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.inventory = inventory;
    this.demandEstimator = demandEstimator;
    this.workloadRate = workloadRate;
  }

  /** Rents machines if any are missing and no rental request is in flight. */
  void tick(long nowMs) {
    workloadRate.update(nowMs);
    if (rentalInFlight || context.machineTypes().isEmpty() || context.store().isCongested()) {
      return;
    }
    List<MachineDemand> demands = demandEstimator.demands(nowMs);
    if (!demands.isEmpty() && !rentForWaitingWork(demands, nowMs)) {
      rentForArrivingWork(demands.get(0), nowMs);
    }
  }

  /**
   * Rents machines for the kind of demand that lacks the most. Returns whether any machines are
   * missing.
   */
  private boolean rentForWaitingWork(List<MachineDemand> demands, long nowMs) {
    MachineDemand largest = null;
    int most = 0;
    for (MachineDemand kind : kinds(demands)) {
      int missing = demandEstimator.missingMachines(kind, demands, nowMs);
      if (missing > most) {
        most = missing;
        largest = kind;
      }
    }
    if (largest == null) {
      return false;
    }
    rent(offers(largest, true), most, nowMs);
    return true;
  }

  /**
   * Returns one demand of each kind. Demands for different kinds of machines are counted
   * separately: idle machines of one kind do not serve the demand for another, and would be
   * returned and rented again and again.
   */
  private static List<MachineDemand> kinds(List<MachineDemand> demands) {
    List<MachineDemand> kinds = new ArrayList<>();
    for (MachineDemand demand : demands) {
      if (kinds.stream().noneMatch(demand::isSameKind)) {
        kinds.add(demand);
      }
    }
    return kinds;
  }

  /** Rents machines in advance for arriving work, but only spot machines because of their price. */
  private void rentForArrivingWork(MachineDemand demand, long nowMs) {
    int machines = 0;
    for (Worker worker : workers.all()) {
      machines += worker.isDraining() ? 0 : 1;
    }
    int missing = (int) Math.floor(workloadRate.targetMachines()) - machines;
    if (missing > 0 && demand.spot()) {
      rent(offers(demand, false), missing, nowMs);
    }
  }

  /**
   * Returns the offers that serve a demand, in order of preference: spot machines before ordinary
   * machines, and the controller's own zone before other zones, so that a network partition
   * separates a shard from only a few of its machines.
   */
  private List<Offer> offers(MachineDemand demand, boolean includeOrdinary) {
    List<String> zones = new ArrayList<>();
    String ownZone = context.settings().zone();
    for (String zone : demand.type().zones()) {
      if (demand.zone() == null || demand.zone().equals(zone)) {
        zones.add(zone);
      }
    }
    zones.sort((a, b) -> Boolean.compare(b.equals(ownZone), a.equals(ownZone)));
    List<Offer> offers = new ArrayList<>();
    if (demand.spot()) {
      zones.forEach(zone -> offers.add(new Offer(demand.type().name(), zone, true)));
    }
    if (includeOrdinary) {
      zones.forEach(zone -> offers.add(new Offer(demand.type().name(), zone, false)));
    }
    return offers;
  }

  /** Rents machines of the first offer that was not refused recently. */
  private void rent(List<Offer> offers, int machines, long nowMs) {
    int count = Math.min(machines, CloudProtocol.MAX_MACHINES_PER_RENTAL);
    for (Offer offer : offers) {
      if (refusedUntilMs.getOrDefault(offer, 0L) <= nowMs) {
        rentalInFlight = true;
        send(
            new RentalRequest(nextRequestId(), offer.type(), offer.zone(), offer.spot(), count),
            offer,
            0);
        return;
      }
    }
  }

  /**
   * Returns an identifier that no other request has. The cloud executes requests with the same
   * identifier only once.
   */
  private String nextRequestId() {
    requestCount++;
    return "r-"
        + context.membership().ownLabel()
        + "-"
        + term.shard()
        + "-"
        + term.epoch()
        + "-"
        + requestCount;
  }

  private void send(RentalRequest request, Offer offer, int retries) {
    context
        .cloud()
        .rent(
            request,
            result -> {
              if (!term.isOver()) {
                handleResult(result, request, offer, retries);
              }
            });
  }

  private void handleResult(RentalResult result, RentalRequest request, Offer offer, int retries) {
    if (result instanceof RentalResult.Rented rented) {
      rentalInFlight = false;
      machinesRented(rented.machines(), request, offer);
    } else if (result instanceof RentalResult.OutcomeUnknown && retries < MAX_RETRIES) {
      // The request keeps its identifier: if it was executed, the answer lists the same machines.
      context
          .reactor()
          .schedule(
              context.cloud().listLagMs() / RETRY_LAG_DIVISOR,
              () -> send(request, offer, retries + 1));
    } else {
      rentalInFlight = false;
      offerRefused(offer);
    }
  }

  private void machinesRented(List<String> machines, RentalRequest request, Offer offer) {
    context.metrics().countRented(machines.size());
    LOG.atInfo()
        .addKeyValue("count", machines.size())
        .addKeyValue("requested", request.count())
        .addKeyValue("type", offer.type())
        .addKeyValue("zone", offer.zone())
        .addKeyValue("spot", offer.spot())
        .addKeyValue("machines", machines)
        .log("machines rented");
    if (machines.size() < request.count()) {
      offerRefused(offer);
    }
    for (String id : machines) {
      inventory.addRented(id, offer.type(), offer.zone(), offer.spot());
    }
  }

  private void offerRefused(Offer offer) {
    refusedUntilMs.put(offer, context.nowMs() + REFUSED_FOR_LAGS * context.cloud().listLagMs());
  }
}
