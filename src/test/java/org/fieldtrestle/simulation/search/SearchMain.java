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
 * The search as a command, a tool that is run by hand; {@code docs/search.md} describes it:
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
    description = "Plays short scenarios with faults before each of their steps.")
public final class SearchMain implements Callable<Integer> {
  static final int NOTHING_FOUND = 0;
  static final int RULE_BROKEN = 1;
  static final int BAD_INPUT = 2;
  private static final int PROGRESS_EVERY = 500;

  /** What was searched and found, as the report file has it. */
  record Summary(
      String scenario,
      int possibleSingles,
      int runs,
      long steps,
      double seconds,
      List<Finding> findings) {}

  @Option(names = "--scenario", description = "by name; all of them by default")
  private List<String> scenarios = List.of();

  @Option(names = "--fault", description = "only these faults, by name; all of them by default")
  private List<String> faults = List.of();

  @Option(names = "--singles", description = "runs with one fault for each scenario")
  private int singles = 500;

  @Option(names = "--pairs", description = "runs with two faults for each scenario")
  private int pairs;

  @Option(names = "--seed", description = "of the cluster and of the order of runs")
  private long seed = 1;

  @Option(names = "--threads", description = "runs that are played at once")
  private int threads = 4;

  @Option(names = "--findings", description = "directory that a file for each finding goes to")
  private Path directory;

  @Option(names = "--report", description = "file for the whole report, as JSON")
  private Path report;

  @Option(names = "--replay", description = "only plays a finding's file again")
  private Path replay;

  private final PrintStream out;

  private SearchMain(PrintStream out) {
    this.out = out;
  }

  /** Runs the command; returns its exit status. */
  static int run(PrintStream out, PrintStream err, String... arguments) {
    CommandLine command = new CommandLine(new SearchMain(out));
    command.setParameterExceptionHandler(
        (e, args) -> {
          err.println("search: " + e.getMessage());
          return BAD_INPUT;
        });
    command.setExecutionExceptionHandler(
        (e, line, parsed) -> {
          err.println("search: " + e.getMessage());
          return e instanceof InvalidInputException ? BAD_INPUT : RULE_BROKEN;
        });
    return command.execute(arguments);
  }

  /** Runs the command and exits with its status. */
  public static void main(String[] arguments) {
    System.exit(run(System.out, System.err, arguments));
  }

  @Override
  public Integer call() throws InvalidInputException, IOException, InterruptedException {
    if (replay != null) {
      ScenarioRun.Result result = Finding.read(replay).replay();
      out.println(result.failed() ? "broken: " + result.broken() : "no rule broken");
      return result.failed() ? RULE_BROKEN : NOTHING_FOUND;
    }
    if (singles < 0 || pairs < 0 || singles + pairs == 0 || threads < 1) {
      throw new InvalidInputException("a budget of nothing: --singles, --pairs or --threads");
    }
    List<Summary> summaries = new ArrayList<>();
    for (Scenario scenario : chosenScenarios()) {
      summaries.add(search(scenario));
    }
    if (report != null) {
      ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
      mapper.writeValue(report.toFile(), summaries);
    }
    boolean broken = summaries.stream().anyMatch(one -> !one.findings().isEmpty());
    return broken ? RULE_BROKEN : NOTHING_FOUND;
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
            "unknown fault '" + name + "', there are " + Arrays.toString(Fault.values()));
      }
    }
    return chosen.isEmpty() ? List.of(Fault.values()) : chosen;
  }

  private Summary search(Scenario scenario)
      throws InvalidInputException, IOException, InterruptedException {
    Search.Plan plan = new Search.Plan(scenario, chosenFaults(), singles, pairs, seed, threads);
    long began = System.nanoTime();
    Search search =
        new Search(
            plan,
            played -> {
              if (played % PROGRESS_EVERY == 0) {
                out.println(scenario.printedName() + ": " + played + " runs");
              }
            });
    Search.Report found = search.search();
    double seconds = (System.nanoTime() - began) / 1e9;
    out.printf(
        Locale.ROOT,
        "%s: %d runs of %d single placements, %d steps, %.1f s, %d findings%n",
        scenario.printedName(),
        found.runs(),
        found.possible(),
        found.steps(),
        seconds,
        found.findings().size());
    for (int i = 0; i < found.findings().size(); i++) {
      print(scenario, found.findings().get(i), i);
    }
    return new Summary(
        scenario.printedName(),
        found.possible(),
        found.runs(),
        found.steps(),
        seconds,
        found.findings());
  }

  private void print(Scenario scenario, Finding finding, int number) throws IOException {
    out.println("  " + finding.placements());
    finding.faultSteps().forEach(step -> out.println("    before " + step));
    finding.broken().stream().limit(3).forEach(one -> out.println("    broken: " + one));
    if (directory != null) {
      finding.write(directory.resolve(scenario.printedName() + "-" + number + ".json"));
    }
  }
}
