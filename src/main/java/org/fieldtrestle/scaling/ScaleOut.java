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

/** Scale out: rents machines for waiting and for arriving work, one rental at a time. */
final class ScaleOut {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOut.class);

  /** How long a kind of machine that was refused is not asked for, in lags of the machine list. */
  private static final int REFUSED_FOR_LAGS = 2;

  /** Part of the machine list's lag after which a request of unknown outcome is repeated. */
  private static final int RETRY_LAG_PARTS = 4;

  private static final int MAX_RETRIES = 20;

  /** What can be rented: a machine type in a zone, on the spot market or not. */
  private record Offer(String type, String zone, boolean spot) {}

  private final ControllerContext context;
  private final LeadershipTerm term;
  private final WorkerRegistry workers;
  private final MachineInventory inventory;
  private final DemandEstimator estimator;
  private final WorkloadRate workload;

  /** Until when offers are not asked for, as the cloud had too little of them, in ms. */
  private final Map<Offer, Long> refusedUntilMs = new HashMap<>();

  private long requests;
  private boolean renting;

  ScaleOut(
      ControllerContext context,
      LeadershipTerm term,
      WorkerRegistry workers,
      MachineInventory inventory,
      DemandEstimator estimator,
      WorkloadRate workload) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.inventory = inventory;
    this.estimator = estimator;
    this.workload = workload;
  }

  /** Rents machines if any are missing and no rental is under way. */
  void tick(long nowMs) {
    workload.update(nowMs);
    if (renting || context.types().isEmpty() || context.store().isCongested()) {
      return;
    }
    List<MachineDemand> demands = estimator.demands(nowMs);
    if (!demands.isEmpty() && !rentForWaitingWork(demands, nowMs)) {
      rentForArrivingWork(demands.get(0), nowMs);
    }
  }

  /** Rents for the kind of demand that lacks most machines; returns whether any are missing. */
  private boolean rentForWaitingWork(List<MachineDemand> demands, long nowMs) {
    MachineDemand largest = null;
    int most = 0;
    for (MachineDemand kind : kinds(demands)) {
      int missing = estimator.missingMachines(kind, demands, nowMs);
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
   * One demand of each kind. Demands for different machines are counted apart: idle machines of one
   * kind are no help to another, and would be returned and rented again and again.
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

  /** Rents ahead what arriving work keeps busy, but only as spot machines, for their price. */
  private void rentForArrivingWork(MachineDemand demand, long nowMs) {
    int machines = 0;
    for (Worker worker : workers.all()) {
      machines += worker.isDraining() ? 0 : 1;
    }
    int missing = (int) Math.floor(workload.targetMachines()) - machines;
    if (missing > 0 && demand.spot()) {
      rent(offers(demand, false), missing, nowMs);
    }
  }

  /**
   * The offers that serve a demand, the preferred ones first: spot before ordinary machines, and
   * the controller's own zone before others, so that a network partition separates a shard from few
   * of its machines.
   */
  private List<Offer> offers(MachineDemand demand, boolean ordinaryToo) {
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
    if (ordinaryToo) {
      zones.forEach(zone -> offers.add(new Offer(demand.type().name(), zone, false)));
    }
    return offers;
  }

  /** Rents from the first offer that was not refused lately. */
  private void rent(List<Offer> offers, int machines, long nowMs) {
    int count = Math.min(machines, CloudProtocol.MAX_MACHINES_PER_RENTAL);
    for (Offer offer : offers) {
      if (refusedUntilMs.getOrDefault(offer, 0L) <= nowMs) {
        renting = true;
        send(
            new RentalRequest(nextRequestId(), offer.type(), offer.zone(), offer.spot(), count),
            offer,
            0);
        return;
      }
    }
  }

  /** A name that no other request has: the cloud executes a request only once by its name. */
  private String nextRequestId() {
    requests++;
    return "r-"
        + context.membership().self()
        + "-"
        + term.shard()
        + "-"
        + term.epoch()
        + "-"
        + requests;
  }

  private void send(RentalRequest request, Offer offer, int retries) {
    context
        .cloud()
        .rent(
            request,
            result -> {
              if (!term.isOver()) {
                handle(result, request, offer, retries);
              }
            });
  }

  private void handle(RentalResult result, RentalRequest request, Offer offer, int retries) {
    if (result instanceof RentalResult.Rented rented) {
      renting = false;
      rented(rented.machines(), request, offer);
    } else if (result instanceof RentalResult.OutcomeUnknown && retries < MAX_RETRIES) {
      // Under the same name: if the request was executed, this gets the same machines.
      context
          .reactor()
          .schedule(
              context.cloud().listLagMs() / RETRY_LAG_PARTS,
              () -> send(request, offer, retries + 1));
    } else {
      renting = false;
      refused(offer);
    }
  }

  private void rented(List<String> machines, RentalRequest request, Offer offer) {
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
      refused(offer);
    }
    for (String id : machines) {
      inventory.addRented(id, offer.type(), offer.zone(), offer.spot());
    }
  }

  private void refused(Offer offer) {
    refusedUntilMs.put(offer, context.now() + REFUSED_FOR_LAGS * context.cloud().listLagMs());
  }
}
