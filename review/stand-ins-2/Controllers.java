import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The project's controllers, each a process of its own started by the line of the deploy file. */
final class Controllers {
  private final Records records;
  private final Zones zones;
  private final Path folder;
  private final List<String> run;
  private final TreeMap<String, String> fronts = new TreeMap<>();
  private final Map<String, Process> processes = new TreeMap<>();

  Controllers(Records records, Zones zones, Map<String, String> zoneByLabel) throws IOException {
    this.records = records;
    this.zones = zones;
    this.folder = Files.createTempDirectory("fieldtrestle-review");
    this.run =
        List.of(
            new TomlMapper()
                .readTree(Path.of("deploy", "service.toml").toFile())
                .path("run")
                .asText()
                .split(" "));
    for (Map.Entry<String, String> entry : zoneByLabel.entrySet()) {
      zones.placeController(entry.getKey(), entry.getValue());
      fronts.put(entry.getKey(), "127.0.0.1:" + Web.freePort());
    }
  }

  /** Returns the addresses for users and workers by label. */
  TreeMap<String, String> fronts() {
    return fronts;
  }

  /** Writes the settings of all controllers; {@code cluster} is the part that they share. */
  void configure(Store store, Cloud cloud, String cluster) throws IOException {
    Map<String, Integer> internal = new TreeMap<>();
    for (String label : fronts.keySet()) {
      internal.put(label, Web.freePort());
    }
    for (String label : fronts.keySet()) {
      StringBuilder text = new StringBuilder();
      text.append("label = \"" + label + "\"\nsite = \"" + zones.zoneOf(label) + "\"\n");
      text.append("front = \"" + fronts.get(label) + "\"\n");
      text.append("internal_addr = \"127.0.0.1:" + internal.get(label) + "\"\n");
      for (String other : fronts.keySet()) {
        if (!other.equals(label)) {
          Relay relay =
              new Relay(
                  internal.get(other),
                  () -> zones.reaches(zones.zoneOf(label), zones.zoneOf(other)));
          text.append("[[others]]\nlabel = \"" + other + "\"\n");
          text.append("site = \"" + zones.zoneOf(other) + "\"\n");
          text.append("peer_addr = \"" + relay.address() + "\"\n");
        }
      }
      text.append("[endpoints]\ncloud = \"" + cloud.addressFor(label) + "\"\n");
      text.append("state = \"" + store.addressFor(label) + "\"\n");
      Files.writeString(folder.resolve(label + ".toml"), text.append(cluster).toString());
    }
  }

  void start(String label) throws IOException {
    List<String> command = new ArrayList<>(run);
    command.add(folder.resolve(label + ".toml").toString());
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(label + ".log").toFile()));
    processes.put(label, builder.start());
    records.line(label, "started");
  }

  void startAll() throws IOException {
    for (String label : fronts.keySet()) {
      start(label);
    }
  }

  void kill(String label) throws InterruptedException {
    processes.get(label).destroyForcibly().waitFor();
    records.line(label, "killed");
  }

  boolean isRunning(String label) {
    return processes.get(label).isAlive();
  }

  boolean isReady(String label) {
    return Web.call("GET", fronts.get(label), "/ready", null, 1000).status() == 200;
  }

  /** Ends all processes, adds the main lines of their logs to the record, and removes the folder. */
  void close() throws IOException {
    for (Process process : processes.values()) {
      process.destroyForcibly();
    }
    for (Process process : processes.values()) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    for (String label : processes.keySet()) {
      for (String line : Files.readAllLines(folder.resolve(label + ".log"))) {
        if (!line.contains("summary") && !line.contains("event loop work")) {
          records.line(label + ".log", line);
        }
      }
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
