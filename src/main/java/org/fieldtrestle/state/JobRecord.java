package org.fieldtrestle.state;

import java.util.BitSet;
import java.util.List;
import org.fieldtrestle.protocol.JobSpec;

/**
 * An accepted job.
 *
 * @param spec the job as its user submitted it
 * @param acceptedWallMs time of day at which the job was accepted, in milliseconds
 * @param zone the zone in which all tasks of the job must run; {@code null} if there is no such
 *     restriction
 * @param initialRanges the job's task ranges by index, as they were first assigned to shards. A
 *     range has a record of its own only once it differs from its initial state. Empty for jobs
 *     that were stored in the previous format, in which every range has a record of its own
 */
public record JobRecord(
    JobSpec spec, long acceptedWallMs, String zone, List<InitialRange> initialRanges) {

  /** Returns the record of a range that has not changed since the job was accepted. */
  public RangeRecord initialRange(int index) {
    InitialRange initial = initialRanges.get(index);
    return new RangeRecord(
        initial.shard(),
        initial.epoch(),
        initial.from(),
        initial.to(),
        new BitSet(),
        initial.zoneLimits(),
        spec.team(),
        spec.cpus(),
        spec.gpus());
  }
}
