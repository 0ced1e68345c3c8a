package org.fieldtrestle.coordination;

import java.util.List;
import java.util.random.RandomGenerator;
import org.fieldtrestle.bookkeeping.Store;
import org.fieldtrestle.bookkeeping.View;
import org.fieldtrestle.protocol.CloudWire.MachineType;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.Settings;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.Reactor;

/**
 * What all actors of one controller share.
 *
 * @param cancellations jobs that are known to be cancelled before the followed state shows it
 */
public record Node(
    Settings settings,
    Tuning tuning,
    Reactor reactor,
    RandomGenerator random,
    Http.Caller caller,
    Store store,
    View view,
    Cloud cloud,
    Membership membership,
    Loads loads,
    Cancellations cancellations,
    Stats stats) {

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
  public boolean acting() {
    return membership.acting();
  }

  /**
   * Whether tasks of the job are to start within some time: its class has such an objective, or its
   * deadline leaves less time than a machine takes to come up, so that room has to be there.
   */
  boolean hurried(JobSpec spec) {
    return spec.deadlineS() >= 0 && spec.deadlineS() - spec.estimateS() < bootS()
        || waitWithinS(spec) < Double.MAX_VALUE;
  }

  /** How soon a machine comes up, of the type that is the quickest. */
  double bootS() {
    double least = Double.MAX_VALUE;
    for (MachineType type : types()) {
      least = Math.min(least, type.bootS());
    }
    return least == Double.MAX_VALUE ? 0 : least;
  }

  /** How long the image of a job takes to come, on the type with the slowest line. */
  double fetchS(JobSpec spec) {
    double fetchS = 0;
    for (MachineType type : types()) {
      fetchS = Math.max(fetchS, Fleet.fetchS(type, spec));
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
  double evictWaitS(JobSpec spec, boolean guaranteed) {
    double wait = Math.min(tuning.evictWaitS(), waitWithinS(spec) / EVICT_AFTER);
    if (hurried(spec) && spec.deadlineS() >= 0) {
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

  public long reportMs(double times) {
    return Math.round(settings.workers().reportS() * 1000 * times);
  }
}
