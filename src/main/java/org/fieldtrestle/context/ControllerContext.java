package org.fieldtrestle.context;

import java.util.List;
import java.util.random.RandomGenerator;
import org.fieldtrestle.cloud.CloudClient;
import org.fieldtrestle.config.OperatorSettings;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.leadership.CancellationNotices;
import org.fieldtrestle.leadership.Membership;
import org.fieldtrestle.metrics.ControllerMetrics;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.routing.ShardLoads;
import org.fieldtrestle.state.KeyValueClient;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.Reactor;

/**
 * What all actors of one controller share.
 *
 * @param cancellations jobs that are known to be cancelled before the followed state shows it
 */
public record ControllerContext(
    Settings settings,
    OperatorSettings operatorSettings,
    Reactor reactor,
    RandomGenerator random,
    Http.Caller caller,
    KeyValueClient store,
    StateCache stateCache,
    CloudClient cloud,
    Membership membership,
    ShardLoads loads,
    CancellationNotices cancellations,
    ControllerMetrics metrics) {

  /** A task may evict once this part of the time in which it is to start has gone by. */
  private static final double EVICT_AFTER = 6;

  public MachineType type(String name) {
    for (MachineType type : cloud.types()) {
      if (type.name().equals(name)) {
        return type;
      }
    }
    return null;
  }

  public List<MachineType> types() {
    return cloud.types();
  }

  public long now() {
    return reactor.now();
  }

  /** May we answer workers and give commands? */
  public boolean mayAct() {
    return membership.mayAct();
  }

  /**
   * Whether tasks of the job are to start within some time: its class has such an objective, or its
   * deadline leaves less time than a machine takes to come up, so that room has to be there.
   */
  public boolean isLatencySensitive(JobSpec spec) {
    return spec.deadlineS() >= 0 && spec.deadlineS() - spec.estimateS() < shortestBootS()
        || waitWithinS(spec) < Double.MAX_VALUE;
  }

  /** How soon a machine comes up, of the type that is the quickest. */
  public double shortestBootS() {
    double least = Double.MAX_VALUE;
    for (MachineType type : types()) {
      least = Math.min(least, type.bootS());
    }
    return least == Double.MAX_VALUE ? 0 : least;
  }

  /** How long the image of a job takes to come, on the type with the slowest line. */
  public double fetchS(JobSpec spec) {
    double fetchS = 0;
    for (MachineType type : types()) {
      fetchS = Math.max(fetchS, type.imageFetchS(spec));
    }
    return fetchS;
  }

  private double waitWithinS(JobSpec spec) {
    double within = Double.MAX_VALUE;
    for (Settings.Objective aim : settings.objectives()) {
      if (aim.kind().equals("wait") && aim.jobClass().equals(spec.jobClass())) {
        within = Math.min(within, aim.withinS());
      }
    }
    return within;
  }

  /**
   * How long a task waits for room before it may evict: less than usual where that would be more
   * than a part of the time within which it is to start.
   */
  public double preemptionDelayS(JobSpec spec, boolean guaranteed) {
    double wait = Math.min(operatorSettings.preemptionWaitS(), waitWithinS(spec) / EVICT_AFTER);
    if (isLatencySensitive(spec) && spec.deadlineS() >= 0) {
      wait = Math.min(wait, Math.max(0, spec.deadlineS() - spec.estimateS()) / EVICT_AFTER);
    }
    if (guaranteed) {
      for (Settings.Objective aim : settings.objectives()) {
        if (aim.kind().equals("guarantee")) {
          wait = Math.min(wait, aim.withinS() / EVICT_AFTER);
        }
      }
    }
    return wait;
  }

  public long heartbeatIntervalsMs(double times) {
    return settings.heartbeatIntervalsMs(times);
  }
}
