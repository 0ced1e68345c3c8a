package org.fieldtrestle.simulation.search;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A run that broke a rule, as it is written to a file and played again from there.
 *
 * @param version of this form of file
 * @param scenario its printed name
 * @param faultSteps the steps before which the faults were placed, for the reader
 * @param broken what was broken, for the reader
 */
record Finding(
    int version,
    String scenario,
    long seed,
    List<FaultPlacement> placements,
    List<String> faultSteps,
    List<String> broken) {
  static final int VERSION = 1;

  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .enable(SerializationFeature.INDENT_OUTPUT)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);

  static Finding of(Scenario scenario, long seed, List<FaultPlacement> placements) {
    ScenarioRun run = new ScenarioRun(scenario, seed, placements);
    ScenarioRun.Result result = run.play();
    return new Finding(
        VERSION,
        scenario.printedName(),
        seed,
        placements,
        run.faultSteps().stream().map(Object::toString).toList(),
        result.broken());
  }

  /** Plays it again. */
  ScenarioRun.Result replay() throws InvalidInputException {
    return new ScenarioRun(Scenario.named(scenario), seed, placements).play();
  }

  void write(Path file) throws IOException {
    Files.write(file, MAPPER.writeValueAsBytes(this));
  }

  static Finding read(Path file) throws InvalidInputException {
    Finding finding;
    try {
      finding = MAPPER.readValue(Files.readAllBytes(file), Finding.class);
    } catch (JsonProcessingException e) {
      throw new InvalidInputException(file + " is no finding: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new InvalidInputException("cannot read " + file);
    }
    if (finding.version() != VERSION) {
      throw new InvalidInputException(
          file + " is of version " + finding.version() + ", not " + VERSION);
    }
    Scenario.named(finding.scenario());
    return finding;
  }
}
