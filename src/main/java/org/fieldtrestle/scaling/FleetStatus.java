package org.fieldtrestle.scaling;

import java.util.HashMap;
import java.util.Map;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.worker.Worker;
import org.fieldtrestle.worker.WorkerRegistry;

/** Totals over a shard's workers, computed once per tick for the checks of individual workers. */
final class FleetStatus {
  /** Heartbeat intervals without a heartbeat after which a worker counts as silent in its zone. */
  private static final double SILENT_HEARTBEATS = 2;

  private static final class ZoneCount {
    private int up;
    private int silent;
  }

  private final ControllerContext context;
  private final WorkerRegistry workers;
  private final long nowMs;
  private final Map<String, ZoneCount> zones = new HashMap<>();
  private int spotMachines;

  FleetStatus(ControllerContext context, WorkerRegistry workers, long nowMs) {
    this.context = context;
    this.workers = workers;
    this.nowMs = nowMs;
    for (Worker worker : workers.all()) {
      if (worker.isSpot() && !worker.isDraining()) {
        spotMachines++;
      }
      if (worker.isUp()) {
        ZoneCount zone = zones.computeIfAbsent(worker.zone(), name -> new ZoneCount());
        zone.up++;
        zone.silent += isSilent(worker) ? 1 : 0;
      }
    }
  }

  private boolean isSilent(Worker worker) {
    return workers.silentForMs(worker, nowMs) > context.heartbeatIntervalsMs(SILENT_HEARTBEATS);
  }

  /** Returns the number of spot machines that are not draining. */
  int spotMachines() {
    return spotMachines;
  }

  /**
   * Whether at least half of the other workers in a worker's zone are silent too. If they are, the
   * likely cause is a network partition and not a failure of the machines.
   *
   * @param worker a worker that is up
   */
  boolean isZoneSilent(Worker worker) {
    ZoneCount zone = zones.get(worker.zone());
    int others = zone.up - 1;
    int silentOthers = zone.silent - (isSilent(worker) ? 1 : 0);
    return silentOthers > 0 && silentOthers * 2 >= others;
  }
}
