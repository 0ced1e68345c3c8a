package review;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The controllers, each a process that the line "run" of the deploy file starts. */
final class Controllers {
  static final List<String> LABELS = List.of("trestle-0", "trestle-1", "trestle-2");

  private final Recorder recorder;
  private final Path directory;
  private final List<String> command = new ArrayList<>();
  private final Map<String, String> fronts = new TreeMap<>();
  private final Map<String, Process> processes = new TreeMap<>();

  Controllers(
      Recorder recorder, Path directory, Deployment deployment, String state, String cloud)
      throws IOException {
    this.recorder = recorder;
    this.directory = directory;
    for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
      if (line.startsWith("run = ")) {
        command.addAll(List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
      }
    }
    Map<String, String> internals = new TreeMap<>();
    for (String label : LABELS) {
      fronts.put(label, Web.HOST + ":" + Web.freePort());
      internals.put(label, Web.HOST + ":" + Web.freePort());
    }
    for (String label : LABELS) {
      StringBuilder others = new StringBuilder();
      for (String other : LABELS) {
        if (!other.equals(label)) {
          others.append(
              "[[others]]\nlabel = \"%s\"\nsite = \"palermo\"\npeer_addr = \"%s\"\n"
                  .formatted(other, internals.get(other)));
        }
      }
      Files.writeString(
          directory.resolve(label + ".toml"),
          deployment.settings(
              label,
              fronts.get(label),
              internals.get(label),
              others.toString(),
              "cloud = \"%s\"\nstate = \"%s\"\n".formatted(cloud, state)));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::stopAll));
  }

  String front(String label) {
    return fronts.get(label);
  }

  synchronized void start(String label) throws IOException {
    List<String> all = new ArrayList<>(command);
    all.add(directory.resolve(label + ".toml").toString());
    ProcessBuilder builder = new ProcessBuilder(all);
    builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
    File log = directory.resolve(label + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    processes.put(label, builder.start());
    recorder.log("START  " + label);
  }

  /** Ends a controller without a signal that it could handle. */
  synchronized void kill(String label) throws InterruptedException {
    processes.get(label).destroyForcibly().waitFor();
    recorder.log("KILL   " + label);
  }

  synchronized boolean isAlive(String label) {
    return processes.get(label).isAlive();
  }

  synchronized void stopAll() {
    for (Process process : processes.values()) {
      process.destroyForcibly();
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
