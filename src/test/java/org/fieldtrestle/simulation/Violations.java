package org.fieldtrestle.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The violations of invariants that were found so far, in the order in which they were. */
final class Violations {
  private static final Logger LOG = LoggerFactory.getLogger(Violations.class);

  private final SimulatedTime time;
  private final List<String> found = new ArrayList<>();

  Violations(SimulatedTime time) {
    this.time = time;
  }

  /** Logs an event of the simulation between what the controllers log. */
  void trace(String event) {
    LOG.debug("{} ms: {}", time.now(), event);
  }

  /** Adds a violation of a named invariant. */
  void add(String invariant, String what) {
    trace("BROKEN " + invariant + " " + what);
    found.add(invariant + " at " + time.now() + " ms: " + what);
  }

  /** Adds a violation that a user found. */
  void report(String what) {
    found.add(what);
  }

  List<String> all() {
    return Collections.unmodifiableList(found);
  }

  void clear() {
    found.clear();
  }
}
