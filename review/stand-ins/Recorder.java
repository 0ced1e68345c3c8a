package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Writes the record of a run and checks what machines run against the users' rules. */
final class Recorder {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  /** The machines that each task is on, from the moment it has its image until it exits. */
  private final Map<String, TreeSet<String>> machinesByTask = new HashMap<>();

  private final List<String> violations = new ArrayList<>();

  Recorder(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  synchronized void log(String text) {
    out.printf("%9.3f  %s%n", (System.nanoTime() - startNanos) / 1e9, text);
    out.flush();
  }

  /** Rule ran_twice: a task starts on a machine while it is on a different one. */
  synchronized void taskStarts(String task, String machine) {
    TreeSet<String> on = machinesByTask.computeIfAbsent(task, t -> new TreeSet<>());
    log("RUN    " + task + " starts on " + machine);
    if (!on.isEmpty() && !(on.size() == 1 && on.contains(machine))) {
      violation("ran_twice: " + task + " starts on " + machine + " while it is on " + on);
    }
    on.add(machine);
  }

  synchronized void taskLeaves(String task, String machine, String why) {
    TreeSet<String> on = machinesByTask.get(task);
    if (on != null && on.remove(machine)) {
      log("RUN    " + task + " leaves " + machine + " (" + why + ")");
    }
  }

  synchronized boolean isOn(String task, String machine) {
    return machinesByTask.containsKey(task) && machinesByTask.get(task).contains(machine);
  }

  synchronized void violation(String text) {
    violations.add(text);
    log("BROKEN " + text);
  }

  synchronized List<String> violations() {
    return List.copyOf(violations);
  }
}
