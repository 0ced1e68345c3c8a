package org.fieldtrestle.simulation.search;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.fieldtrestle.simulation.SteppedCluster.Step;
import org.fieldtrestle.simulation.SteppedCluster.StepKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests the search, and runs a small part of it. {@code docs/search.md} describes larger searches,
 * which are run by hand.
 *
 * <p>The budget is counted in runs and the seed is fixed, so that the result is the same each time.
 */
class SearchTest {
  private static final int SINGLES = 120;
  private static final int PAIRS = 30;
  private static final int THREADS = 2;
  private static final long SEED = 1;

  /** Two watches of each of the three controllers. */
  private static final int MIN_WATCHES = 6;

  private final ByteArrayOutputStream printed = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

  private int search(String... arguments) {
    return SearchMain.run(new PrintStream(printed), new PrintStream(errors), arguments);
  }

  private static Search.Report search(Scenario scenario, List<Fault> faults, int singles, int pairs)
      throws InterruptedException {
    Search.Plan plan = new Search.Plan(scenario, faults, singles, pairs, SEED, THREADS);
    return new Search(plan, completedRuns -> {}).search();
  }

  @ParameterizedTest
  @EnumSource(Scenario.class)
  void noInvariantIsViolatedWithinTheBudget(Scenario scenario) throws InterruptedException {
    Search.Report report = search(scenario, List.of(Fault.values()), SINGLES, PAIRS);
    assertEquals(SINGLES + PAIRS + 1, report.runs());
    assertEquals(List.of(), report.findings());
  }

  /**
   * Guards against a failure that the search found: a cancelled task was started again. An outage
   * of the key-value store began just before the watch that would have reported the cancellation.
   */
  @Test
  void noTaskStartsWhenAnOutageBeginsBeforeTheWatchAfterACancellation() {
    int[] runs = {0};
    for (Step step : steps(Scenario.CANCEL)) {
      if (step.kind() == StepKind.STORE_REQUEST && step.detail().equals("/watch")) {
        FaultPlacement outage = new FaultPlacement(step.number(), Fault.STATE_OUTAGE, 67_000);
        ScenarioRun.Result result = new ScenarioRun(Scenario.CANCEL, SEED, List.of(outage)).run();
        assertEquals(List.of(), result.violations(), step.toString());
        runs[0]++;
      }
    }
    assertTrue(runs[0] >= MIN_WATCHES, "watches within the time of the faults: " + runs[0]);
  }

  private static List<Step> steps(Scenario scenario) {
    return new ScenarioRun(scenario, SEED, List.of()).run().steps();
  }

  @Test
  void sameRunHasTheSameSteps() {
    assertEquals(steps(Scenario.CANCEL), steps(Scenario.CANCEL));
    FaultPlacement fault =
        new FaultPlacement(steps(Scenario.CANCEL).get(5).number(), Fault.STATE_SLOW, 9000);
    ScenarioRun.Result first = new ScenarioRun(Scenario.CANCEL, SEED, List.of(fault)).run();
    ScenarioRun.Result second = new ScenarioRun(Scenario.CANCEL, SEED, List.of(fault)).run();
    assertEquals(first, second);
  }

  @Test
  void reportDoesNotDependOnTheNumberOfThreads() throws InterruptedException {
    Search.Plan plan =
        new Search.Plan(Scenario.END, List.of(Fault.values()), 20, 5, SEED, THREADS + 1);
    assertEquals(
        search(Scenario.END, List.of(Fault.values()), 20, 5),
        new Search(plan, completedRuns -> {}).search());
  }

  @Test
  void findingIsReadAsItWasWrittenAndRunAgain(@TempDir Path directory) throws Exception {
    FaultPlacement fault =
        new FaultPlacement(steps(Scenario.END).get(0).number(), Fault.MESSAGE_LOST, 0);
    Finding finding = Finding.of(Scenario.END, SEED, List.of(fault));
    Path file = directory.resolve("finding.json");
    finding.write(file);
    assertEquals(finding, Finding.read(file));
    assertFalse(Finding.read(file).replay().failed());
    assertEquals(SearchMain.NOTHING_FOUND, search("--replay", file.toString()));
    assertTrue(printed.toString(StandardCharsets.UTF_8).contains("no rule broken"));
  }

  private void assertInvalidInput(String expectedText, String... arguments) {
    errors.reset();
    assertEquals(SearchMain.INVALID_INPUT, search(arguments));
    String line = errors.toString(StandardCharsets.UTF_8);
    assertTrue(line.contains(expectedText), line);
    assertEquals(1, line.lines().count(), line);
  }

  @Test
  void invalidInputIsNamedInOneLine(@TempDir Path directory) throws IOException {
    assertInvalidInput("unknown scenario 'x'", "--scenario", "x");
    assertInvalidInput("unknown fault 'y'", "--fault", "y");
    assertInvalidInput("invalid budget", "--singles", "0");
    assertInvalidInput("--nonsense", "--nonsense");
    assertInvalidInput("cannot read", "--replay", directory.resolve("none").toString());
    Path file = directory.resolve("finding.json");
    Finding.of(Scenario.END, SEED, List.of()).write(file);
    String content = Files.readString(file);
    Files.writeString(file, content.substring(0, content.length() / 2));
    assertInvalidInput("is not a finding", "--replay", file.toString());
    Files.writeString(file, content.replace("\"version\" : 1", "\"version\" : 2"));
    assertInvalidInput("has version 2, expected 1", "--replay", file.toString());
  }
}
