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
 * The services and data that the components of one controller share. There is one context for each
 * controller; everything in it is used on the reactor's thread only.
 *
 * @param settings the platform's settings
 * @param operatorSettings the operators' settings
 * @param reactor the controller's event loop and clocks
 * @param random the source of all random numbers, so that a simulated run can be repeated
 * @param caller makes HTTP calls to workers
 * @param store the client of the key-value store
 * @param stateCache this controller's copy of the contents of the key-value store
 * @param cloud the client of the cloud that machines are rented from
 * @param membership this controller's lease and the shards that it leads
 * @param loads the loads of all shards, as far as their leaders have reported them
 * @param cancellations notices of cancellations that the state cache may not contain yet
 * @param metrics counters and latencies for operators
 * @param objectives the requirements that service-level objectives and deadlines put on jobs
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
    ControllerMetrics metrics,
    JobObjectives objectives) {

  /**
   * Returns the machine type with this name; {@code null} if the cloud does not offer it or the
   * cloud's machine types are not known yet.
   */
  public MachineType machineType(String name) {
    for (MachineType type : cloud.machineTypes()) {
      if (type.name().equals(name)) {
        return type;
      }
    }
    return null;
  }

  /** Returns the machine types that the cloud offers; empty until they are known. */
  public List<MachineType> machineTypes() {
    return cloud.machineTypes();
  }

  /** Returns the time of the reactor's monotonic clock, in milliseconds. */
  public long nowMs() {
    return reactor.nowMs();
  }

  /** Whether this controller may send commands and acknowledge heartbeats now. */
  public boolean mayAct() {
    return membership.mayAct();
  }

  /** See {@link JobObjectives#isLatencySensitive}. */
  public boolean isLatencySensitive(JobSpec spec) {
    return objectives.isLatencySensitive(spec);
  }

  /** See {@link JobObjectives#shortestBootS}. */
  public double shortestBootS() {
    return objectives.shortestBootS();
  }

  /** See {@link JobObjectives#imageFetchS}. */
  public double imageFetchS(JobSpec spec) {
    return objectives.imageFetchS(spec);
  }

  /** See {@link JobObjectives#preemptionDelayS}. */
  public double preemptionDelayS(JobSpec spec, boolean guaranteed) {
    return objectives.preemptionDelayS(spec, guaranteed);
  }

  /** Returns the duration of a number of heartbeat intervals, in milliseconds. */
  public long heartbeatIntervalsMs(double count) {
    return settings.heartbeatIntervalsMs(count);
  }
}
