package org.fieldtrestle.coordination;

import java.util.List;
import java.util.random.RandomGenerator;
import org.fieldtrestle.bookkeeping.Store;
import org.fieldtrestle.bookkeeping.View;
import org.fieldtrestle.protocol.CloudWire;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.Settings;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.Reactor;

/** What all actors of one controller share. */
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
    Stats stats) {

  public CloudWire.MachineType type(String name) {
    for (CloudWire.MachineType type : cloud.types()) {
      if (type.name().equals(name)) {
        return type;
      }
    }
    return null;
  }

  public List<CloudWire.MachineType> types() {
    return cloud.types();
  }

  public long now() {
    return reactor.now();
  }

  /** May we answer workers and give commands? */
  public boolean acting() {
    return membership.acting();
  }

  /** Whether tasks of the job's class are to start within some time. */
  boolean hurried(JobSpec spec) {
    for (Settings.Objective aim : settings.objectives()) {
      if (aim.kind().equals("wait") && aim.jobClass().equals(spec.jobClass())) {
        return true;
      }
    }
    return false;
  }

  /** A class that is to start within some time may evict after a part of it, if that is sooner. */
  double evictWaitS(JobSpec spec) {
    double wait = tuning.evictWaitS();
    for (Settings.Objective aim : settings.objectives()) {
      if (aim.kind().equals("wait") && aim.jobClass().equals(spec.jobClass())) {
        wait = Math.min(wait, aim.withinS() / 6);
      }
    }
    return wait;
  }

  public long reportMs(double times) {
    return Math.round(settings.workers().reportS() * 1000 * times);
  }
}
