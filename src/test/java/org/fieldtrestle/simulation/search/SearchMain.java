package org.fieldtrestle.simulation.search;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The search as a command-line tool that is run by hand; {@code docs/search.md} describes it:
 *
 * <pre>
 * mvn -o -q -B test-compile exec:java -Dexec.classpathScope=test \
 *     -Dexec.mainClass=org.fieldtrestle.simulation.search.SearchMain \
 *     -Dexec.args="--scenario cancel --singles 2000 --pairs 500 --threads 4"
 * </pre>
 */
@Command(
    name = "search",
    mixinStandardHelpOptions = true,
    description = "Runs short scenarios with faults before each of their steps.")
public final class SearchMain implements Callable<Integer> {
  static final int NOTHING_FOUND = 0;
  static final int VIOLATION_FOUND = 1;
  static final int INVALID_INPUT = 2;
  private static final int PROGRESS_INTERVAL_RUNS = 500;

  /** The result of the search of a scenario, as written to the report file. */
  record Summary(
      String scenario,
      int possibleSingles,
      int runs,
      long steps,
      double seconds,
      List<Finding> findings) {}

  @Option(
      names = "--scenario",
      description = "name of a scenario to search; all scenarios by default")
  private List<String> scenarios = List.of();

  @Option(names = "--fault", description = "name of a fault to inject; all faults by default")
  private List<String> faults = List.of();

  @Option(names = "--singles", description = "number of runs with one fault for each scenario")
  private int singles = 500;

  @Option(names = "--pairs", description = "number of runs with two faults for each scenario")
  private int pairs;

  @Option(names = "--seed", description = "seed of the cluster and of the order of runs")
  private long seed = 1;

  @Option(names = "--threads", description = "number of runs that are executed at the same time")
  private int threads = 4;

  @Option(
      names = "--findings",
      description = "directory to which a file for each finding is written")
  private Path findingsDirectory;

  @Option(names = "--report", description = "file to which the whole report is written as JSON")
  private Path reportFile;

  @Option(names = "--replay", description = "file of a finding to run again, without a search")
  private Path replayedFile;

  private final PrintStream out;

  private SearchMain(PrintStream out) {
    this.out = out;
  }

  /** Runs the command and returns its exit status. */
  static int run(PrintStream out, PrintStream err, String... arguments) {
    CommandLine command = new CommandLine(new SearchMain(out));
    command.setParameterExceptionHandler(
        (e, args) -> {
          err.println("search: " + e.getMessage());
          return INVALID_INPUT;
        });
    command.setExecutionExceptionHandler(
        (e, line, parsed) -> {
          err.println("search: " + e.getMessage());
          return e instanceof InvalidInputException ? INVALID_INPUT : VIOLATION_FOUND;
        });
    return command.execute(arguments);
  }

  /** Runs the command and exits with its status. */
  public static void main(String[] arguments) {
    System.exit(run(System.out, System.err, arguments));
  }

  @Override
  public Integer call() throws InvalidInputException, IOException, InterruptedException {
    if (replayedFile != null) {
      ScenarioRun.Result result = Finding.read(replayedFile).replay();
      out.println(result.failed() ? "broken: " + result.violations() : "no rule broken");
      return result.failed() ? VIOLATION_FOUND : NOTHING_FOUND;
    }
    if (singles < 0 || pairs < 0 || singles + pairs == 0 || threads < 1) {
      throw new InvalidInputException(
          "invalid budget: --singles, --pairs and --threads allow no run");
    }
    List<Summary> summaries = new ArrayList<>();
    for (Scenario scenario : chosenScenarios()) {
      summaries.add(search(scenario));
    }
    if (reportFile != null) {
      ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
      mapper.writeValue(reportFile.toFile(), summaries);
    }
    boolean violated = summaries.stream().anyMatch(summary -> !summary.findings().isEmpty());
    return violated ? VIOLATION_FOUND : NOTHING_FOUND;
  }

  private List<Scenario> chosenScenarios() throws InvalidInputException {
    List<Scenario> chosen = new ArrayList<>();
    for (String name : scenarios) {
      chosen.add(Scenario.named(name));
    }
    return chosen.isEmpty() ? List.of(Scenario.values()) : chosen;
  }

  private List<Fault> chosenFaults() throws InvalidInputException {
    List<Fault> chosen = new ArrayList<>();
    for (String name : faults) {
      try {
        chosen.add(Fault.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_')));
      } catch (IllegalArgumentException e) {
        throw new InvalidInputException(
            "unknown fault '" + name + "', known faults are " + Arrays.toString(Fault.values()));
      }
    }
    return chosen.isEmpty() ? List.of(Fault.values()) : chosen;
  }

  private Summary search(Scenario scenario)
      throws InvalidInputException, IOException, InterruptedException {
    Search.Plan plan = new Search.Plan(scenario, chosenFaults(), singles, pairs, seed, threads);
    long startedAtNs = System.nanoTime();
    Search search =
        new Search(
            plan,
            completedRuns -> {
              if (completedRuns % PROGRESS_INTERVAL_RUNS == 0) {
                out.println(scenario.printedName() + ": " + completedRuns + " runs");
              }
            });
    Search.Report report = search.search();
    double seconds = (System.nanoTime() - startedAtNs) / 1e9;
    out.printf(
        Locale.ROOT,
        "%s: %d runs of %d single placements, %d steps, %.1f s, %d findings%n",
        scenario.printedName(),
        report.runs(),
        report.possibleSingles(),
        report.steps(),
        seconds,
        report.findings().size());
    for (int i = 0; i < report.findings().size(); i++) {
      print(scenario, report.findings().get(i), i);
    }
    return new Summary(
        scenario.printedName(),
        report.possibleSingles(),
        report.runs(),
        report.steps(),
        seconds,
        report.findings());
  }

  private void print(Scenario scenario, Finding finding, int number) throws IOException {
    out.println("  " + finding.placements());
    finding.faultSteps().forEach(step -> out.println("    before " + step));
    finding.broken().stream()
        .limit(3)
        .forEach(violation -> out.println("    broken: " + violation));
    if (findingsDirectory != null) {
      finding.write(findingsDirectory.resolve(scenario.printedName() + "-" + number + ".json"));
    }
  }
}
