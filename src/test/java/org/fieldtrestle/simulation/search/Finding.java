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
 * A run that violated an invariant. A finding can be written to a file and run again from there.
 *
 * @param version the version of the file format
 * @param scenario the printed name of the scenario
 * @param faultSteps the steps before which the faults were placed, as information for the reader
 * @param broken the violations, as information for the reader
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
    ScenarioRun scenarioRun = new ScenarioRun(scenario, seed, placements);
    ScenarioRun.Result result = scenarioRun.run();
    return new Finding(
        VERSION,
        scenario.printedName(),
        seed,
        placements,
        scenarioRun.faultSteps().stream().map(Object::toString).toList(),
        result.violations());
  }

  /** Runs the scenario with the same seed and faults again. */
  ScenarioRun.Result replay() throws InvalidInputException {
    return new ScenarioRun(Scenario.named(scenario), seed, placements).run();
  }

  void write(Path file) throws IOException {
    Files.write(file, MAPPER.writeValueAsBytes(this));
  }

  static Finding read(Path file) throws InvalidInputException {
    Finding finding;
    try {
      finding = MAPPER.readValue(Files.readAllBytes(file), Finding.class);
    } catch (JsonProcessingException e) {
      throw new InvalidInputException(file + " is not a finding: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new InvalidInputException("cannot read " + file);
    }
    if (finding.version() != VERSION) {
      throw new InvalidInputException(
          file + " has version " + finding.version() + ", expected " + VERSION);
    }
    Scenario.named(finding.scenario());
    return finding;
  }
}
