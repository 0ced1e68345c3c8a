package org.fieldtrestle.simulation.search;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;
import org.fieldtrestle.simulation.SteppedCluster;
import org.fieldtrestle.simulation.SteppedCluster.Step;

/**
 * Plays a scenario once for every fault before every step, or a part of these, and again with two
 * faults. The same plan and sources give the same findings, on however many threads.
 */
final class Search {
  /** How much a fault outlasts a lease or a cancellation where it is to outlast it, in ms. */
  private static final long BEYOND_MS = 3000;

  /**
   * What is to be searched.
   *
   * @param singles runs with one fault at the most
   * @param pairs runs with two faults
   * @param threads how many runs are played at once
   */
  record Plan(
      Scenario scenario, List<Fault> faults, int singles, int pairs, long seed, int threads) {}

  /**
   * What a search came to.
   *
   * @param possible how many single placements there are
   * @param findings made as short as they could be made
   */
  record Report(int possible, int runs, long steps, List<Finding> findings) {}

  private final Plan plan;
  private final IntConsumer progress;
  private final AtomicInteger played = new AtomicInteger();

  /** Below and above a worker's lease, and above the time that a cancellation has, in ms. */
  private final List<Long> lengths;

  /**
   * @param progress told how many runs have been played, now and then
   */
  Search(Plan plan, IntConsumer progress) {
    this.plan = plan;
    this.progress = progress;
    this.lengths = lengths(plan.seed());
  }

  Report search() throws InterruptedException {
    ScenarioRun.Result undisturbed =
        new ScenarioRun(plan.scenario(), plan.seed(), List.of()).play();
    if (undisturbed.failed()) {
      Finding finding = Finding.of(plan.scenario(), plan.seed(), List.of());
      return new Report(0, 1, undisturbed.stepCount(), List.of(finding));
    }
    List<FaultPlacement> all = placements(undisturbed.steps());
    List<List<FaultPlacement>> runs = new ArrayList<>();
    all.stream().limit(plan.singles()).forEach(one -> runs.add(List.of(one)));
    runs.addAll(pairs(all));
    return play(all.size(), runs);
  }

  /**
   * All single placements: first those before steps of which there was none alike before, so that a
   * small budget sees every kind of step; alike ones in an order that the seed decides.
   */
  private List<FaultPlacement> placements(List<Step> steps) {
    Map<String, Integer> seen = new HashMap<>();
    Map<FaultPlacement, Integer> rounds = new HashMap<>();
    List<FaultPlacement> all = new ArrayList<>();
    for (Step step : steps) {
      String alike = step.controller() + step.kind() + step.detail();
      int round = seen.merge(alike, 1, Integer::sum);
      for (Fault fault : plan.faults()) {
        if (!fault.appliesTo(step)) {
          continue;
        }
        for (long length : fault.hasLength() ? lengths : List.of(0L)) {
          FaultPlacement placement = new FaultPlacement(step.number(), fault, length);
          rounds.put(placement, round);
          all.add(placement);
        }
      }
    }
    Collections.shuffle(all, new Random(plan.seed()));
    all.sort(Comparator.comparing(rounds::get));
    return all;
  }

  private static List<Long> lengths(long seed) {
    SteppedCluster figures = new SteppedCluster(seed, 1, step -> SteppedCluster.Effect.NONE);
    return List.of(
        figures.workerLeaseMs() - BEYOND_MS,
        figures.workerLeaseMs() + BEYOND_MS,
        figures.cancelMs() + BEYOND_MS);
  }

  private List<List<FaultPlacement>> pairs(List<FaultPlacement> all) {
    Random random = new Random(plan.seed() + 1);
    List<List<FaultPlacement>> pairs = new ArrayList<>();
    while (pairs.size() < plan.pairs() && all.size() > 1) {
      FaultPlacement one = all.get(random.nextInt(all.size()));
      FaultPlacement other = all.get(random.nextInt(all.size()));
      if (one.step() != other.step()) {
        pairs.add(one.step() < other.step() ? List.of(one, other) : List.of(other, one));
      }
    }
    return pairs;
  }

  private Report play(int possible, List<List<FaultPlacement>> runs) throws InterruptedException {
    ExecutorService threads = Executors.newFixedThreadPool(plan.threads());
    try {
      List<Future<ScenarioRun.Result>> results = new ArrayList<>();
      for (List<FaultPlacement> placements : runs) {
        results.add(threads.submit(() -> playOne(placements)));
      }
      long steps = 0;
      List<Finding> findings = new ArrayList<>();
      for (int i = 0; i < runs.size(); i++) {
        ScenarioRun.Result result = get(results.get(i));
        steps += result.stepCount();
        if (result.failed()) {
          List<FaultPlacement> shorter = shorten(runs.get(i));
          findings.add(Finding.of(plan.scenario(), plan.seed(), shorter));
        }
      }
      return new Report(possible, runs.size() + 1, steps, findings);
    } finally {
      threads.shutdownNow();
    }
  }

  private ScenarioRun.Result playOne(List<FaultPlacement> placements) {
    ScenarioRun.Result result = new ScenarioRun(plan.scenario(), plan.seed(), placements).play();
    progress.accept(played.incrementAndGet());
    return result;
  }

  private static ScenarioRun.Result get(Future<ScenarioRun.Result> future)
      throws InterruptedException {
    try {
      return future.get();
    } catch (ExecutionException e) {
      throw new IllegalStateException("a run ended by a fault of its own", e.getCause());
    }
  }

  /** Leaves out faults, and makes them shorter, for as long as a rule is still broken. */
  private List<FaultPlacement> shorten(List<FaultPlacement> failing) {
    for (FaultPlacement one : failing) {
      if (failing.size() > 1 && fails(List.of(one))) {
        return shorten(List.of(one));
      }
    }
    List<FaultPlacement> shortest = new ArrayList<>(failing);
    for (int i = 0; i < shortest.size(); i++) {
      FaultPlacement one = shortest.get(i);
      for (long length : one.fault().hasLength() ? lengths : List.<Long>of()) {
        List<FaultPlacement> shorter = new ArrayList<>(shortest);
        shorter.set(i, new FaultPlacement(one.step(), one.fault(), length));
        if (length < one.lengthMs() && fails(shorter)) {
          shortest = shorter;
          break;
        }
      }
    }
    return List.copyOf(shortest);
  }

  private boolean fails(List<FaultPlacement> placements) {
    return new ScenarioRun(plan.scenario(), plan.seed(), placements).play().failed();
  }
}
