package org.fieldtrestle.state;

import java.util.BitSet;
import java.util.List;
import org.fieldtrestle.protocol.JobSpec;

/**
 * An accepted job.
 *
 * @param spec the job as its user submitted it
 * @param acceptedWallMs time of day at which it was accepted
 * @param zone the zone that all its tasks have to be in; null where there is no such rule
 * @param initialRanges its ranges as they were first given to shards, by index. A range has a
 *     record of its own only once it differs from this. Empty for jobs of the former form, whose
 *     ranges all have records of their own
 */
public record JobRecord(
    JobSpec spec, long acceptedWallMs, String zone, List<InitialRange> initialRanges) {

  /** The record of a range that has not changed since the job was accepted. */
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
