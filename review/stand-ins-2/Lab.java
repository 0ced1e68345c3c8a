import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/** A small deployment on loopback: controllers, stand-ins for all that is around them, users. */
final class Lab {
  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int COULD_NOT_RUN = 2;
  private static final long LONGEST_MS = 117_000;

  /** The figures of a site file that a case uses. */
  enum Site {
    JSA(3.0, 34.0, 64.0, 80, 30, 16.0, 24, 4.0, 250.0, "saw-32", 32, 256, 35, "amman", "zarqa"),
    TRINACRIA(
        2.5, 16.0, 46.0, 200, 40, 8.0, 32, 3.0, 100.0, "nodo-sedici", 16, 128, 50, "palermo",
        "catania");

    final double reportS;
    final double leaseS;
    final double cancelS;
    final double stateRps;
    final double writeRps;
    final double valueKb;
    final int txnOps;
    final double cloudRps;
    final double skewMs;
    final String type;
    final double cpus;
    final double memoryGb;
    final double bootS;
    final String zone1;
    final String zone2;

    Site(
        double reportS,
        double leaseS,
        double cancelS,
        double stateRps,
        double writeRps,
        double valueKb,
        int txnOps,
        double cloudRps,
        double skewMs,
        String type,
        double cpus,
        double memoryGb,
        double bootS,
        String zone1,
        String zone2) {
      this.reportS = reportS;
      this.leaseS = leaseS;
      this.cancelS = cancelS;
      this.stateRps = stateRps;
      this.writeRps = writeRps;
      this.valueKb = valueKb;
      this.txnOps = txnOps;
      this.cloudRps = cloudRps;
      this.skewMs = skewMs;
      this.type = type;
      this.cpus = cpus;
      this.memoryGb = memoryGb;
      this.bootS = bootS;
      this.zone1 = zone1;
      this.zone2 = zone2;
    }
  }

  /** One case. */
  interface Case {
    /** Returns whether the rule held. */
    boolean run(Lab lab, boolean trouble) throws Exception;
  }

  /** Thrown where a case cannot show anything because its preparation did not succeed. */
  static final class NotPrepared extends RuntimeException {
    private static final long serialVersionUID = 1;

    NotPrepared(String what) {
      super(what);
    }
  }

  final Site site;
  final Records records;
  final Zones zones = new Zones();
  final Jobs jobs = new Jobs();
  final Running running;
  final Store store;
  final Cloud cloud;
  final Controllers controllers;
  private final Machine.Site machineSite;

  private Lab(Site site, Path folder, Map<String, String> zoneByLabel, String teams)
      throws IOException {
    this.site = site;
    this.records = new Records(folder.resolve("record.txt"));
    this.running = new Running(records, jobs);
    this.store = new Store(records, zones, site.valueKb, site.txnOps);
    this.cloud = new Cloud(records, zones, flavors(), 6.0);
    this.controllers = new Controllers(records, zones, zoneByLabel);
    this.machineSite =
        new Machine.Site(
            records,
            zones,
            jobs,
            running,
            controllers.fronts(),
            site.reportS,
            site.leaseS,
            site.cpus,
            site.memoryGb,
            site.type);
    cloud.setFactory(
        (name, zone, spot) ->
            new Machine(machineSite, name, zone, spot, controllers.fronts().firstKey()));
    controllers.configure(store, cloud, cluster(teams));
  }

  /** Runs a case with three controllers and ends the program with the status of the result. */
  static void main(String folder, Site site, String[] controllerZones, String teams, Case test) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = COULD_NOT_RUN;
    Lab lab = null;
    try {
      Map<String, String> zoneByLabel = new TreeMap<>();
      for (int i = 0; i < controllerZones.length; i++) {
        zoneByLabel.put("trestle-" + i, controllerZones[i]);
      }
      lab = new Lab(site, Path.of(folder), zoneByLabel, teams);
      Lab started = lab;
      Runtime.getRuntime().addShutdownHook(new Thread(started::close));
      lab.watchTime();
      lab.records.line("case", trouble ? "with the disruption" : "without the disruption");
      lab.controllers.startAll();
      lab.until(
          "all controllers are ready",
          20_000,
          () -> started.controllers.fronts().keySet().stream().allMatch(started::isReady));
      boolean held = test.run(lab, trouble);
      status = held ? HELD : BROKEN;
      lab.records.line("case", held ? "the rule held" : "the rule was broken");
    } catch (NotPrepared e) {
      lab.records.line("case", "could not run: " + e.getMessage());
      System.out.println("could not run: " + e.getMessage());
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(status);
  }

  private boolean isReady(String label) {
    return controllers.isReady(label);
  }

  private boolean closed;

  private synchronized void close() {
    if (!closed) {
      closed = true;
      try {
        controllers.close();
      } catch (IOException e) {
        records.line("case", "clearing up failed: " + e);
      }
      records.close();
    }
  }

  /** Ends the program in time, whatever the case does. */
  private void watchTime() {
    Web.THREADS.execute(
        () -> {
          sleep(LONGEST_MS);
          records.line("case", "could not run: no result in time");
          System.out.println("could not run: no result in time");
          System.exit(COULD_NOT_RUN);
        });
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for a step of the preparation. */
  void until(String what, long timeoutMs, BooleanSupplier condition) {
    if (!becomes(timeoutMs, condition)) {
      throw new NotPrepared(what + ": not within " + timeoutMs + " ms");
    }
    records.line("case", what);
  }

  boolean becomes(long timeoutMs, BooleanSupplier condition) {
    long endMs = records.nowMs() + timeoutMs;
    while (!condition.getAsBoolean()) {
      if (records.nowMs() > endMs) {
        return false;
      }
      sleep(20);
    }
    return true;
  }

  /** Brings up a machine whose worker first reports to the given controller. */
  Machine machine(String zone, boolean spot, String firstController) throws IOException {
    Machine machine = new Machine(machineSite, cloud.nextName(), zone, spot, firstController);
    cloud.add(machine);
    return machine;
  }

  /** Submits a job at a controller until it is accepted. */
  void submit(Jobs.Job job, String controller) {
    until(
        job.id + " is accepted by " + controller,
        20_000,
        () -> {
          Web.Answer answer =
              Web.call("POST", controllers.fronts().get(controller), "/v2/runs", job.body, 5000);
          records.line("user", "submits " + job.body + " to " + controller + ": " + text(answer));
          if (answer.status() == 200 || answer.status() == 201) {
            return true;
          }
          sleep(1000);
          return false;
        });
  }

  /** Asks any controller about a job. */
  Web.Answer ask(String job) {
    Web.Answer answer = Web.Answer.NONE;
    for (String label : controllers.fronts().keySet()) {
      answer =
          Web.call("GET", controllers.fronts().get(label), "/v2/runs/" + job, null, 2000);
      records.line("user", "asks " + label + " about " + job + ": " + text(answer));
      if (answer.status() == 200) {
        return answer;
      }
    }
    return answer;
  }

  private static String text(Web.Answer answer) {
    return answer.status() == 0 ? "no answer" : answer.status() + " " + answer.body();
  }

  private JsonNode flavors() {
    ObjectNode flavors = Web.JSON.createObjectNode();
    ArrayNode rigs = flavors.putArray("rigs");
    ObjectNode rig = rigs.addObject();
    rig.put("name", site.type).put("cpus", site.cpus).put("gpus", 0.0);
    rig.put("memoryGb", site.memoryGb).put("cacheGb", 70.0).put("pullGbPerS", 0.5);
    rig.put("hourly", 1.5).put("lowPrice", 0.4).put("readyS", site.bootS);
    rig.putArray("yards").add(site.zone1).add(site.zone2);
    return flavors;
  }

  private String cluster(String teams) {
    return "[cluster]\ninitial_size = 3\n"
        + ("zones = [\"" + site.zone1 + "\", \"" + site.zone2 + "\"]\n")
        + ("skew_ms = " + site.skewMs + "\n")
        + teams
        + "[cluster.workers]\n"
        + ("report_s = " + site.reportS + "\nlease_s = " + site.leaseS + "\n")
        + ("gang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = " + site.cancelS + "\n")
        + ("[cluster.state]\nrps = " + site.stateRps + "\nwrite_rps = " + site.writeRps + "\n")
        + ("value_kb = " + site.valueKb + "\ntxn_ops = " + site.txnOps + "\n")
        + ("[cluster.cloud]\nrps = " + site.cloudRps + "\nlist_lag_s = 6.0\n")
        + "[cluster.machine_limits]\ncpu = 0.34\nmem_mb = 436.0\nfd_limit = 2500\n";
  }

  /** Returns the settings of a team. */
  static String team(String name, double cpus, double cpusMax) {
    return "[[cluster.teams]]\nname = \""
        + name
        + "\"\ncpus = "
        + cpus
        + "\ncpus_max = "
        + cpusMax
        + "\ngpus = 0.0\ngpus_max = 0.0\n";
  }
}
