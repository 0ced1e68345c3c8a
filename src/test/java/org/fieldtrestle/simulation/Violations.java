package org.fieldtrestle.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The violations of invariants found so far, in the order in which they were found. */
final class Violations {
  private static final Logger LOG = LoggerFactory.getLogger(Violations.class);

  private final SimulatedTime time;
  private final List<String> found = new ArrayList<>();

  Violations(SimulatedTime time) {
    this.time = time;
  }

  /** Logs an event of the simulation, so that it appears among the log lines of the controllers. */
  void trace(String event) {
    LOG.debug("{} ms: {}", time.now(), event);
  }

  /** Adds a violation of a named invariant, with the current time. */
  void add(String invariant, String description) {
    trace("VIOLATION " + invariant + " " + description);
    found.add(invariant + " at " + time.now() + " ms: " + description);
  }

  /** Adds a violation that a simulated user found. */
  void report(String description) {
    found.add(description);
  }

  List<String> all() {
    return Collections.unmodifiableList(found);
  }

  void clear() {
    found.clear();
  }
}
