package org.fieldtrestle.simulation;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The controller processes that a {@link LoadGenerator} measures. This class writes their settings,
 * starts and stops them, and reads their processor time and memory.
 */
final class RealControllers {
  private static final int USER_PORT = 23_800;
  private static final int PEER_PORT = 23_810;

  /** The duration of a clock tick, the unit in which Linux counts processor time. */
  private static final long MS_PER_TICK = 10;

  private static final int KB_PER_MB = 1024;

  private final List<String> command;
  private final String storeAddress;
  private final String cloudAddress;
  private final Deployment deployment;
  private final Path directory;
  private final Map<String, Process> processes = new TreeMap<>();

  /**
   * Creates the directory for settings and logs, but no process yet.
   *
   * @param command command that starts a controller; {@code LABEL} in it is replaced by the label
   *     of the controller, and the path of the settings file is appended
   */
  RealControllers(
      List<String> command, String storeAddress, String cloudAddress, Deployment deployment)
      throws IOException {
    this.command = command;
    this.storeAddress = storeAddress;
    this.cloudAddress = cloudAddress;
    this.deployment = deployment;
    this.directory = Files.createTempDirectory("fieldtrestle-load");
  }

  /** Returns the directory of the logs and settings of the controllers. */
  Path directory() {
    return directory;
  }

  /** Returns the address at which a controller serves users and workers. */
  static String address(String label) {
    return "127.0.0.1:" + (USER_PORT + index(label));
  }

  private static int index(String label) {
    return label.charAt(label.length() - 1) - '0';
  }

  // ---- processes

  void start(String label) throws IOException {
    Path settings = directory.resolve(label + ".toml");
    Files.writeString(settings, settings(label));
    List<String> all = new ArrayList<>(command);
    all.add(settings.toString());
    all.replaceAll(part -> part.replace("LABEL", label));
    ProcessBuilder builder = new ProcessBuilder(all);
    builder.environment().putIfAbsent("LOG_LEVEL", "info");
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(directory.resolve(label + ".log").toFile()));
    processes.put(label, builder.start());
  }

  void stop(String label) throws InterruptedException {
    processes.get(label).destroyForcibly().waitFor();
  }

  void stopAll() {
    processes.values().forEach(Process::destroyForcibly);
  }

  private String settings(String label) {
    StringBuilder text = new StringBuilder();
    text.append("label = \"").append(label).append("\"\nsite = \"a\"\n");
    text.append("front = \"").append(address(label)).append("\"\n");
    text.append("internal_addr = \"127.0.0.1:" + (PEER_PORT + index(label)) + "\"\n");
    for (String other : ClusterLayout.LABELS) {
      if (!other.equals(label)) {
        text.append("[[others]]\nlabel = \"" + other + "\"\nsite = \"a\"\n");
        text.append("peer_addr = \"127.0.0.1:" + (PEER_PORT + index(other)) + "\"\n");
      }
    }
    text.append("[endpoints]\ncloud = \"" + cloudAddress + "\"\n");
    text.append("state = \"" + storeAddress + "\"\n");
    return text.append(clusterSettings()).toString();
  }

  private String clusterSettings() {
    return """
        [cluster]
        initial_size = 3
        zones = ["a", "b"]
        skew_ms = 100.0
        [[cluster.teams]]
        name = "open"
        cpus = 4000.0
        cpus_max = 70000.0
        gpus = 0.0
        gpus_max = 0.0
        [[cluster.objectives]]
        kind = "wait"
        class = "rush"
        within_s = 5.0
        [cluster.workers]
        report_s = %s
        lease_s = %s
        cancel_s = %s
        [cluster.state]
        rps = 200.0
        write_rps = 40.0
        value_kb = 8.0
        txn_ops = 32
        [cluster.cloud]
        rps = 3.0
        list_lag_s = 6.0
        [cluster.machine_limits]
        cpu = 0.061
        mem_mb = 194.0
        fd_limit = 3000
        """
        .formatted(
            deployment.heartbeatIntervalMs() / 1000.0,
            deployment.leaseMs() / 1000.0,
            deployment.cancellationTimeMs() / 1000.0);
  }

  // ---- measurements

  /**
   * Returns the processor time of each thread of each controller so far, in milliseconds, by label
   * and thread name.
   */
  Map<String, Map<String, Long>> threadTimesMs() throws IOException {
    Map<String, Map<String, Long>> all = new TreeMap<>();
    for (Map.Entry<String, Process> process : processes.entrySet()) {
      all.put(process.getKey(), threadTimesMs(process.getValue()));
    }
    return all;
  }

  private static Map<String, Long> threadTimesMs(Process process) throws IOException {
    Map<String, Long> times = new TreeMap<>();
    Path threads = Path.of("/proc", Long.toString(process.pid()), "task");
    if (!Files.isDirectory(threads)) {
      return times;
    }
    try (var all = Files.list(threads)) {
      for (Path thread : all.toList()) {
        String stat = Files.readString(thread.resolve("stat"));
        int end = stat.lastIndexOf(')');
        String name = stat.substring(stat.indexOf('(') + 1, end);
        String[] fields = stat.substring(end + 2).split(" ", -1);
        long ticks = Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
        times.merge(name, ticks * MS_PER_TICK, Long::sum);
      }
    }
    return times;
  }

  /** Returns the resident memory of a controller in MB, or 0 if the system does not report it. */
  long residentMb(String label) throws IOException {
    String pid = Long.toString(processes.get(label).pid());
    for (String line : Files.readAllLines(Path.of("/proc", pid, "status"))) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("[^0-9]", "")) / KB_PER_MB;
      }
    }
    return 0;
  }
}
