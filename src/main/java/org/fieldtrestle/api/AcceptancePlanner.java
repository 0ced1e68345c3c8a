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
  /** Number of operations in the transaction besides those for each task range. */
  private static final int FIXED_OPERATIONS = 4;

  private static final int BYTES_PER_KB = 1024;

  /**
   * The bitmap of done tasks may take up the largest value divided by this number; the rest is left
   * for the other fields.
   */
  private static final int BITMAP_VALUE_DIVISOR = 2;

  /** Base64 encodes six bits in each byte. */
  private static final int BITMAP_BITS_PER_BYTE = 6;

  private final ControllerContext context;

  AcceptancePlanner(ControllerContext context) {
    this.context = context;
  }

  /**
   * The plan for accepting a job.
   *
   * @param parts the task ranges that the job is split into
   * @param transaction the compare-and-swap that accepts the job
   * @param recordBytes size of the job's record in bytes
   */
  record Plan(List<JobSplitter.Part> parts, Transaction transaction, int recordBytes) {}

  /** Returns the size of the largest job record that the key-value store accepts, in bytes. */
  double maxRecordBytes() {
    return context.settings().storeLimits().maxValueKb() * BYTES_PER_KB;
  }

  /** Plans the acceptance of a job according to the current loads and epochs of the shards. */
  Plan plan(JobSpec spec) {
    String zone = spec.oneZone() ? context.loads().zoneWithMostFreeCpus(allowedZones(spec)) : null;
    List<JobSplitter.Part> parts = split(spec, zone);
    Map<String, Long> epochs = epochsOfShards(parts);
    // One record holds the job and all its ranges; a range gets a record of its own once it
    // changes.
    KeyValueProtocol.Put put =
        StateChanges.put(
            StateKeys.job(spec.id()),
            new JobRecord(
                spec, context.reactor().wallClockMs(), zone, initialRanges(parts, epochs)));
    return new Plan(
        parts,
        new Transaction(conditions(spec, epochs), List.of(put)),
        Json.bytes(put.value()).length);
  }

  private List<JobSplitter.Part> split(JobSpec spec, String zone) {
    Settings settings = context.settings();
    List<JobSplitter.Candidate> candidates = context.loads().candidates(spec, zone);
    int maxRanges = settings.storeLimits().maxTransactionChanges() - FIXED_OPERATIONS;
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
    // The epochs must not have changed: if a shard changed leaders before the write, the new leader
    // could not know whether the old one had started tasks of these ranges.
    epochs.forEach(
        (shard, epoch) ->
            conditions.add(new KeyValueProtocol.Condition(StateKeys.shard(shard), epoch)));
    return conditions;
  }

  private static List<InitialRange> initialRanges(
      List<JobSplitter.Part> parts, Map<String, Long> epochs) {
    List<InitialRange> initialRanges = new ArrayList<>();
    for (JobSplitter.Part part : parts) {
      initialRanges.add(
          new InitialRange(
              part.shard(), epochs.get(part.shard()), part.from(), part.to(), part.zoneLimits()));
    }
    return initialRanges;
  }

  private List<String> allowedZones(JobSpec spec) {
    TreeSet<String> zones = new TreeSet<>();
    for (MachineType type : context.machineTypes()) {
      if (type.isAllowedFor(spec)) {
        zones.addAll(type.zones());
      }
    }
    if (spec.zone() != null) {
      zones.retainAll(List.of(spec.zone()));
    }
    return List.copyOf(zones);
  }
}
