package org.fieldtrestle.simulation;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fieldtrestle.transport.EventLoopMeter;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.HttpClient;
import org.fieldtrestle.transport.HttpServer;
import org.fieldtrestle.transport.SocketAddresses;
import org.fieldtrestle.transport.SocketBudget;

/**
 * Measures what real controller processes cost under a generated load, in real time on loopback.
 * State service, cloud, workers and users are the stand-ins of the tests. Run it by hand:
 *
 * <pre>
 * java -cp target/test-classes:target/fieldtrestle.jar \
 *     org.fieldtrestle.simulation.LoadDriver MACHINES SECONDS java ... -jar ... --config
 * </pre>
 *
 * <p>The rest of the command line starts a controller; the path of its settings is appended. For
 * each phase it prints the processor time by thread and the work that {@code /stats} counts.
 */
final class LoadGenerator {
  private static final int STATE_PORT = 23_790;
  private static final int CLOUD_PORT = 23_791;
  private static final int FRONT_PORT = 23_800;
  private static final int PEER_PORT = 23_810;
  private static final int WORKER_PORT = 23_820;
  private static final long REPORT_MS = 2500;
  private static final long LEASE_MS = 16_000;
  private static final long CANCEL_MS = 46_000;
  private static final long PUMP_MS = 1;

  /** Clock ticks in which Linux counts processor time. */
  private static final long MS_PER_TICK = 10;

  /** Only the controllers are measured, by what they tell themselves. */
  private static final EventLoopMeter METER = new EventLoopMeter(() -> 0);

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final SocketBudget sockets = new SocketBudget(100_000);
  private final HttpClient users = client();
  private final Map<String, HttpClient> workerClients = new HashMap<>();
  private final SimulatedCluster cluster;
  private final int machines;
  private final List<String> command;
  private final Path directory;
  private final Map<String, Process> controllers = new TreeMap<>();
  private final long startedAt = System.nanoTime();
  private int jobs;

  private LoadGenerator(int machines, List<String> command) throws IOException {
    this.machines = machines;
    this.command = command;
    this.directory = Files.createTempDirectory("fieldtrestle-load");
    this.cluster =
        new SimulatedCluster(
            new SplittableRandom(1),
            machines,
            Deployment.small(REPORT_MS, LEASE_MS, CANCEL_MS),
            LoadGenerator::workerAddress);
  }

  private HttpClient client() {
    return new HttpClient(loop, sockets, Set.of(), 100_000, METER);
  }

  private static String workerAddress(int number) {
    return "127.1." + number / 250 + "." + (number % 250 + 1) + ":" + WORKER_PORT;
  }

  private static int index(String label) {
    return label.charAt(label.length() - 1) - '0';
  }

  private static String front(String label) {
    return "127.0.0.1:" + (FRONT_PORT + index(label));
  }

  // ---- the network

  private void serve(InetSocketAddress address, Http.Handler handler) throws InterruptedException {
    new HttpServer(group, handler, sockets, path -> false, 600_000, 60_000, METER).start(address);
  }

  private void serveStandIns() throws InterruptedException {
    serve(new InetSocketAddress("127.0.0.1", STATE_PORT), cluster.state);
    serve(new InetSocketAddress("127.0.0.1", CLOUD_PORT), cluster.cloud);
    for (int number = 1; number <= 2 * machines; number++) {
      String address = workerAddress(number);
      String id = String.format("host-%06d", number);
      serve(
          SocketAddresses.parse(address),
          (request, reply) -> {
            SimulatedWorker worker = cluster.cloud.machines.get(id);
            if (worker != null && worker.up) {
              worker.handle(request, reply);
            }
          });
    }
  }

  private void serveController(String label) {
    cluster.net.serve(
        cluster.address(label),
        "a",
        (request, reply) ->
            clientOf(request)
                .call(
                    front(label),
                    request.method(),
                    request.path(),
                    request.body(),
                    4000,
                    outcome -> {
                      if (outcome instanceof Http.Answer answer) {
                        reply.accept(new Http.Response(answer.status(), answer.body()));
                      }
                    }));
  }

  /** Every worker keeps a connection of its own. */
  private HttpClient clientOf(Http.Request request) {
    if (!request.path().equals("/hello")) {
      return users;
    }
    String body = new String(request.body(), StandardCharsets.UTF_8);
    String machine = body.substring(body.indexOf("host-"), body.indexOf("host-") + 11);
    return workerClients.computeIfAbsent(machine, id -> client());
  }

  // ---- controllers

  private void startController(String label) throws IOException {
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
    controllers.put(label, builder.start());
  }

  private String settings(String label) {
    StringBuilder text = new StringBuilder();
    text.append("label = \"").append(label).append("\"\nsite = \"a\"\n");
    text.append("front = \"").append(front(label)).append("\"\n");
    text.append("internal_addr = \"127.0.0.1:" + (PEER_PORT + index(label)) + "\"\n");
    for (String other : cluster.labels()) {
      if (!other.equals(label)) {
        text.append("[[others]]\nlabel = \"" + other + "\"\nsite = \"a\"\n");
        text.append("peer_addr = \"127.0.0.1:" + (PEER_PORT + index(other)) + "\"\n");
      }
    }
    text.append("[endpoints]\ncloud = \"127.0.0.1:" + CLOUD_PORT + "\"\n");
    text.append("state = \"127.0.0.1:" + STATE_PORT + "\"\n");
    text.append("[cluster]\ninitial_size = 3\nzones = [\"a\", \"b\"]\nskew_ms = 100.0\n");
    text.append("[[cluster.teams]]\nname = \"open\"\ncpus = 4000.0\ncpus_max = 70000.0\n");
    text.append("gpus = 0.0\ngpus_max = 0.0\n");
    text.append("[[cluster.objectives]]\nkind = \"wait\"\nclass = \"rush\"\nwithin_s = 5.0\n");
    text.append("[cluster.workers]\nreport_s = " + REPORT_MS / 1000.0 + "\n");
    text.append("lease_s = " + LEASE_MS / 1000.0 + "\ncancel_s = " + CANCEL_MS / 1000.0 + "\n");
    text.append("[cluster.state]\nrps = 200.0\nwrite_rps = 40.0\nvalue_kb = 8.0\ntxn_ops = 32\n");
    text.append("[cluster.cloud]\nrps = 3.0\nlist_lag_s = 6.0\n");
    text.append("[cluster.machine_limits]\ncpu = 0.061\nmem_mb = 194.0\nfd_limit = 3000\n");
    return text.toString();
  }

  // ---- load

  /** Jobs of short and of long tasks, in all about three quarters of what machines get through. */
  private void offerJobs() {
    int number = ++jobs;
    boolean rush = number % 3 != 0;
    cluster.submit(
        "job-" + number,
        job -> {
          job.tasks = rush ? machines / 8 + 1 : machines / 2 + 1;
          job.cpus = rush ? 2 : 4;
          job.runMs = rush ? 2900 : 30_000;
          job.image = "img-" + number % 12;
        });
    cluster.time.after(2000, this::offerJobs);
  }

  private void pump() {
    cluster.time.runUntil((System.nanoTime() - startedAt) / 1_000_000);
  }

  private void onLoop(Runnable work) throws Exception {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.execute(
        () -> {
          work.run();
          done.complete(null);
        });
    done.get();
  }

  // ---- measuring

  /** Processor time of each thread of a process so far, in ms, by thread name. */
  private static Map<String, Long> threadTimes(Process process) throws IOException {
    Map<String, Long> times = new TreeMap<>();
    Path tasks = Path.of("/proc", Long.toString(process.pid()), "task");
    if (!Files.isDirectory(tasks)) {
      return times;
    }
    try (var all = Files.list(tasks)) {
      for (Path task : all.toList()) {
        String stat = Files.readString(task.resolve("stat"));
        int end = stat.lastIndexOf(')');
        String name = stat.substring(stat.indexOf('(') + 1, end);
        String[] fields = stat.substring(end + 2).split(" ");
        long ticks = Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
        times.merge(name, ticks * MS_PER_TICK, Long::sum);
      }
    }
    return times;
  }

  private static long residentMb(Process process) throws IOException {
    for (String line :
        Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
      }
    }
    return 0;
  }

  private void measure(String phase, long seconds) throws Exception {
    Map<String, Map<String, Long>> before = new HashMap<>();
    for (Map.Entry<String, Process> one : controllers.entrySet()) {
      before.put(one.getKey(), threadTimes(one.getValue()));
    }
    int starts = cluster.rules.starts;
    TimeUnit.SECONDS.sleep(seconds);
    System.out.printf(
        "== %s, %d s: %d machines, %d tasks started%n",
        phase, seconds, cluster.cloud.machines.size(), cluster.rules.starts - starts);
    for (Map.Entry<String, Process> one : controllers.entrySet()) {
      Map<String, Long> spent = threadTimes(one.getValue());
      before.get(one.getKey()).forEach((name, ms) -> spent.merge(name, -ms, Long::sum));
      spent.values().removeIf(ms -> ms <= 0);
      long sum = spent.values().stream().mapToLong(ms -> ms).sum();
      System.out.printf(
          "%s: %d ms, %.2f%% of a core, %d MB resident, %s%n",
          one.getKey(), sum, sum / 10.0 / seconds, residentMb(one.getValue()), spent);
    }
  }

  private void printStats() throws Exception {
    for (String label : cluster.labels()) {
      CompletableFuture<Http.Outcome> answered = new CompletableFuture<>();
      Consumer<Http.Outcome> done = answered::complete;
      onLoop(() -> users.call(front(label), "GET", "/stats", new byte[0], 3000, done));
      if (answered.get(5, TimeUnit.SECONDS) instanceof Http.Answer answer) {
        System.out.println(label + " " + new String(answer.body(), StandardCharsets.UTF_8));
      }
    }
  }

  /** Processor time that a controller takes until it acts again, all machines reporting. */
  private void restart(String label) throws Exception {
    controllers.get(label).destroyForcibly().waitFor();
    onLoop(() -> cluster.net.stop(cluster.address(label)));
    startController(label);
    onLoop(() -> serveController(label));
  }

  private void run(long seconds) throws Exception {
    serveStandIns();
    for (String label : cluster.labels()) {
      startController(label);
      onLoop(() -> serveController(label));
    }
    loop.scheduleWithFixedDelay(this::pump, PUMP_MS, PUMP_MS, TimeUnit.MILLISECONDS);
    measure("start", 5);
    onLoop(this::offerJobs);
    measure("fleet comes up", 25);
    measure("steady", seconds);
    printStats();
    restart("trestle-0");
    measure("trestle-0 restarted", 5);
    measure("after the restart", 10);
    onLoop(() -> cluster.state.outage(10_000));
    measure("outage", 10);
    measure("after the outage", 5);
    onLoop(
        () -> {
          for (int i = 0; i < 10; i++) {
            offerJobs();
          }
        });
    measure("burst", 10);
    printStats();
  }

  public static void main(String[] args) throws Exception {
    LoadGenerator driver =
        new LoadGenerator(Integer.parseInt(args[0]), List.of(args).subList(2, args.length));
    System.out.println("logs and settings: " + driver.directory);
    int status = 1;
    try {
      driver.run(Long.parseLong(args[1]));
      status = 0;
    } catch (Exception e) {
      e.printStackTrace();
    } finally {
      driver.controllers.values().forEach(Process::destroyForcibly);
      System.exit(status); // the event loop would go on
    }
  }
}
