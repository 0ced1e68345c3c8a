package org.fieldtrestle.simulation.search;

import java.util.Arrays;
import java.util.Locale;
import org.fieldtrestle.simulation.SteppedCluster;

/** What users do in a run; faults are placed within a part of it. */
enum Scenario {
  /** Running jobs are cancelled, some where their tasks are led and some elsewhere. */
  CANCEL(44_900, 46_200) {
    @Override
    void plan(SteppedCluster cluster) {
      submitLong(cluster, 4);
      cluster.at(45_000, () -> cluster.cancelAtLeader(FIRST_JOB));
      cluster.at(45_040, () -> cluster.cancelAtLeader("job-2"));
      cluster.at(45_080, () -> cluster.cancel("job-3"));
      cluster.at(45_300, () -> cluster.ask(FIRST_JOB));
    }
  },

  /** Short jobs end one after the other, and some are cancelled just then. */
  END(30_000, 36_000) {
    @Override
    void plan(SteppedCluster cluster) {
      for (int i = 1; i <= 6; i++) {
        String job = "job-" + i;
        cluster.at(1000, () -> cluster.submit(job, 3, 4, 12_000));
      }
      cluster.at(31_000, () -> cluster.cancel("job-2"));
      cluster.at(33_000, () -> cluster.cancel("job-4"));
      cluster.at(34_000, () -> cluster.submitAgain(FIRST_JOB));
    }
  },

  /** Jobs are accepted on a running fleet, asked about, repeated and cancelled at once. */
  ACCEPT(44_900, 46_500) {
    @Override
    void plan(SteppedCluster cluster) {
      submitLong(cluster, 2);
      for (int i = 11; i <= 14; i++) {
        String job = "job-" + i;
        long at = 45_000 + (i - 11) * 150L;
        cluster.at(at, () -> cluster.submit(job, 4, 4, 8000));
        cluster.at(at + 60, () -> cluster.submitAgain(job));
        cluster.at(at + 120, () -> cluster.ask(job));
      }
      cluster.at(45_200, () -> cluster.cancel("job-11"));
      cluster.at(45_900, () -> cluster.cancel("job-13"));
    }
  },

  /** A controller ends while jobs run and are cancelled; another takes its shard, it comes back. */
  TAKE_OVER(66_000, 90_000) {
    @Override
    void plan(SteppedCluster cluster) {
      submitLong(cluster, 4);
      cluster.at(40_000, () -> cluster.kill(SteppedCluster.controller(1), 45_000));
      cluster.at(68_000, () -> cluster.cancel(FIRST_JOB));
      cluster.at(86_000, () -> cluster.cancel("job-2"));
    }
  };

  static final String FIRST_JOB = "job-1";
  private static final long LONG_RUN_MS = 150_000;
  private static final int SPREAD_TASKS = 24;

  private final long faultsFromMs;
  private final long faultsUntilMs;

  Scenario(long faultsFromMs, long faultsUntilMs) {
    this.faultsFromMs = faultsFromMs;
    this.faultsUntilMs = faultsUntilMs;
  }

  /** Plans what users do; called at the beginning of a run. */
  abstract void plan(SteppedCluster cluster);

  /** Whether faults are placed at this time. */
  boolean placesFaultsAt(long ms) {
    return ms >= faultsFromMs && ms <= faultsUntilMs;
  }

  long faultsUntilMs() {
    return faultsUntilMs;
  }

  String printedName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** The scenario of a printed name. */
  static Scenario named(String name) throws InvalidInputException {
    for (Scenario scenario : values()) {
      if (scenario.printedName().equals(name)) {
        return scenario;
      }
    }
    throw new InvalidInputException(
        "unknown scenario '"
            + name
            + "', there are "
            + Arrays.stream(values()).map(Scenario::printedName).toList());
  }

  /**
   * Each task fills a machine, so that many machines send heartbeats within a moment. The first job
   * is spread over the zones: its ranges are not handed on, and only its own record names them.
   */
  private static void submitLong(SteppedCluster cluster, int jobs) {
    cluster.at(1000, () -> cluster.submitSpread(FIRST_JOB, SPREAD_TASKS, 16, LONG_RUN_MS));
    for (int i = 2; i <= jobs; i++) {
      String job = "job-" + i;
      cluster.at(1000, () -> cluster.submit(job, 6, 16, LONG_RUN_MS));
    }
  }
}
