package org.fieldtrestle.api;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.protocol.MachineType;
import org.fieldtrestle.routing.JobSplitter;
import org.fieldtrestle.state.InitialRange;
import org.fieldtrestle.state.JobRecord;
import org.fieldtrestle.state.StateChanges;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.state.Transaction;

/** Splits a job into task ranges and prepares the transaction that accepts it. */
final class AcceptancePlanner {
  /** Operations of the transaction that do not depend on the number of task ranges. */
  private static final int FIXED_OPERATIONS = 4;

  private static final int BYTES_PER_KB = 1024;

  /** Part of a value that the bitmap of done tasks may take; the rest is for other fields. */
  private static final int BITMAP_VALUE_DIVISOR = 2;

  /** Base64 holds six bits in a byte. */
  private static final int BITMAP_BITS_PER_BYTE = 6;

  private final ControllerContext context;

  AcceptancePlanner(ControllerContext context) {
    this.context = context;
  }

  /**
   * How a job would be accepted.
   *
   * @param parts its task ranges
   * @param transaction the compare-and-swap that accepts it
   * @param recordBytes size of the job's record
   */
  record Plan(List<JobSplitter.Part> parts, Transaction transaction, int recordBytes) {}

  /** Returns the largest record of a job that the store takes, in bytes. */
  double maxRecordBytes() {
    return context.settings().state().valueKb() * BYTES_PER_KB;
  }

  /** Plans the acceptance of a job by the present loads and epochs of the shards. */
  Plan plan(JobSpec spec) {
    String zone = spec.oneZone() ? context.loads().zoneWithMostFreeCpus(allowedZones(spec)) : null;
    List<JobSplitter.Part> parts = split(spec, zone);
    Map<String, Long> epochs = epochsOfShards(parts);
    // One record holds the job and all its ranges; a range gets its own once it differs.
    KeyValueProtocol.Put put =
        StateChanges.put(
            StateKeys.job(spec.id()),
            new JobRecord(
                spec, context.reactor().wallClockMs(), zone, recordedParts(parts, epochs)));
    return new Plan(
        parts,
        new Transaction(conditions(spec, epochs), List.of(put)),
        Json.bytes(put.value()).length);
  }

  private List<JobSplitter.Part> split(JobSpec spec, String zone) {
    Settings settings = context.settings();
    List<JobSplitter.Candidate> candidates = context.loads().candidates(spec, zone);
    int maxRanges = settings.state().txnOps() - FIXED_OPERATIONS;
    int maxTasks = (int) (maxRecordBytes() / BITMAP_VALUE_DIVISOR * BITMAP_BITS_PER_BYTE);
    List<JobSplitter.Part> parts = JobSplitter.split(spec, candidates, maxTasks, settings.zones());
    if (parts.size() <= maxRanges) {
      return parts;
    }
    return JobSplitter.split(spec, candidates.subList(0, 1), maxTasks, settings.zones());
  }

  private Map<String, Long> epochsOfShards(List<JobSplitter.Part> parts) {
    Map<String, Long> epochs = new TreeMap<>();
    for (JobSplitter.Part part : parts) {
      epochs.put(part.shard(), context.stateCache().version(StateKeys.shard(part.shard())));
    }
    return epochs;
  }

  private static List<KeyValueProtocol.Condition> conditions(
      JobSpec spec, Map<String, Long> epochs) {
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    conditions.add(new KeyValueProtocol.Condition(StateKeys.job(spec.id()), 0));
    conditions.add(new KeyValueProtocol.Condition(StateKeys.finished(spec.id()), 0));
    // If a shard changed leaders before the write, its new leader could not know whether the old
    // one has started tasks of these ranges.
    epochs.forEach(
        (shard, epoch) ->
            conditions.add(new KeyValueProtocol.Condition(StateKeys.shard(shard), epoch)));
    return conditions;
  }

  private static List<InitialRange> recordedParts(
      List<JobSplitter.Part> parts, Map<String, Long> epochs) {
    List<InitialRange> recorded = new ArrayList<>();
    for (JobSplitter.Part part : parts) {
      recorded.add(
          new InitialRange(
              part.shard(), epochs.get(part.shard()), part.from(), part.to(), part.zoneLimits()));
    }
    return recorded;
  }

  private List<String> allowedZones(JobSpec spec) {
    TreeSet<String> zones = new TreeSet<>();
    for (MachineType type : context.types()) {
      if (type.allowedFor(spec)) {
        zones.addAll(type.zones());
      }
    }
    if (spec.zone() != null) {
      zones.retainAll(List.of(spec.zone()));
    }
    return List.copyOf(zones);
  }
}
