package org.fieldtrestle.simulation;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fieldtrestle.transport.EventLoopMeter;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.HttpClient;
import org.fieldtrestle.transport.HttpServer;
import org.fieldtrestle.transport.SocketAddresses;
import org.fieldtrestle.transport.SocketBudget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Measures the processor time and the memory that real controller processes use under a generated
 * load, in real time over the loopback interface. The key-value store, the cloud, the workers and
 * the users are those of the simulation. The tool is run by hand, after {@code mvn -o package}:
 *
 * <pre>
 * java -cp target/test-classes:target/fieldtrestle.jar \
 *     org.fieldtrestle.simulation.LoadGenerator MACHINES SECONDS java ... -jar ... --config
 * </pre>
 *
 * <p>The arguments after SECONDS are the command that starts a controller; the path of its settings
 * file is appended. For each phase the tool prints the processor time by thread and the resident
 * memory of each controller. After the steady phase and at the end it prints the work that {@code
 * /stats} counts.
 */
final class LoadGenerator {
  private static final Logger LOG = LoggerFactory.getLogger(LoadGenerator.class);
  private static final String STORE_ADDRESS = "127.0.0.1:23790";
  private static final String CLOUD_ADDRESS = "127.0.0.1:23791";
  private static final int WORKER_PORT = 23_820;
  private static final Deployment DEPLOYMENT = Deployment.small(2500, 16_000, 46_000);

  /** Interval at which simulated time is advanced to real time, in milliseconds. */
  private static final long TIME_ADVANCE_INTERVAL_MS = 1;

  private static final int MAX_CONNECTIONS = 100_000;

  /** Its clock stands still, because only the controllers measure the work of their event loops. */
  private static final EventLoopMeter METER = new EventLoopMeter(() -> 0);

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final SocketBudget sockets = new SocketBudget(MAX_CONNECTIONS);
  private final HttpClient users = newClient();
  private final Map<String, HttpClient> workerClients = new HashMap<>();
  private final SimulatedCluster cluster;
  private final int machines;
  private final RealControllers controllers;
  private final long startedAtNanos = System.nanoTime();
  private int submittedJobs;

  private LoadGenerator(int machines, List<String> command) throws IOException {
    this.machines = machines;
    this.controllers = new RealControllers(command, STORE_ADDRESS, CLOUD_ADDRESS, DEPLOYMENT);
    this.cluster =
        SimulatedCluster.builder()
            .machines(machines)
            .deployment(DEPLOYMENT)
            .workerAddress(LoadGenerator::workerAddress)
            .buildWithoutControllers();
  }

  private HttpClient newClient() {
    return new HttpClient(loop, sockets, Set.of(), MAX_CONNECTIONS, METER);
  }

  private static String workerAddress(int number) {
    return "127.1." + number / 250 + "." + (number % 250 + 1) + ":" + WORKER_PORT;
  }

  // ---- the network

  private void serve(String address, Http.Handler handler) throws InterruptedException {
    InetSocketAddress socket = SocketAddresses.parse(address);
    new HttpServer(group, handler, sockets, path -> false, 600_000, 60_000, METER).start(socket);
  }

  private void serveSimulation() throws InterruptedException {
    serve(STORE_ADDRESS, cluster.store);
    serve(CLOUD_ADDRESS, cluster.cloud);
    for (int number = 1; number <= 2 * machines; number++) {
      String id = String.format("host-%06d", number);
      serve(
          workerAddress(number),
          (request, reply) -> {
            SimulatedWorker worker = cluster.cloud.machines.get(id);
            if (worker != null && worker.isUp()) {
              worker.handle(request, reply);
            }
          });
    }
  }

  private void serveController(String label) {
    cluster.network.serve(
        ClusterLayout.address(label),
        "a",
        (request, reply) ->
            clientOf(request)
                .call(
                    RealControllers.address(label),
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

  /** Returns the client that sends a request. Every worker keeps its own connections. */
  private HttpClient clientOf(Http.Request request) {
    if (!request.path().equals("/hello")) {
      return users;
    }
    String body = new String(request.body(), StandardCharsets.UTF_8);
    String machine = body.substring(body.indexOf("host-"), body.indexOf("host-") + 11);
    return workerClients.computeIfAbsent(machine, id -> newClient());
  }

  private void startController(String label) throws Exception {
    controllers.start(label);
    onLoop(() -> serveController(label));
  }

  private void restartController(String label) throws Exception {
    controllers.stop(label);
    onLoop(() -> cluster.network.stop(ClusterLayout.address(label)));
    startController(label);
  }

  // ---- load

  /**
   * Submits a job every two seconds: two jobs with short tasks, then one with long tasks. In total
   * they use about three quarters of the capacity of the machines.
   */
  private void submitJobs() {
    int number = ++submittedJobs;
    boolean shortTasks = number % 3 != 0;
    cluster.users.submit(
        "job-" + number,
        job ->
            job.tasks(shortTasks ? machines / 8 + 1 : machines / 2 + 1)
                .cpus(shortTasks ? 2 : 4)
                .runMs(shortTasks ? 2900 : 30_000)
                .image("img-" + number % 12));
    cluster.time.after(2000, this::submitJobs);
  }

  private void advanceTime() {
    cluster.time.runUntil(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos));
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

  private void measure(String phase, long seconds) throws Exception {
    Map<String, Map<String, Long>> before = controllers.threadTimesMs();
    int startsBefore = cluster.invariants.starts();
    TimeUnit.SECONDS.sleep(seconds);
    System.out.printf(
        "== %s, %d s: %d machines, %d tasks started%n",
        phase, seconds, cluster.cloud.machines.size(), cluster.invariants.starts() - startsBefore);
    for (Map.Entry<String, Map<String, Long>> now : controllers.threadTimesMs().entrySet()) {
      Map<String, Long> spentMs = now.getValue();
      before.get(now.getKey()).forEach((name, ms) -> spentMs.merge(name, -ms, Long::sum));
      spentMs.values().removeIf(ms -> ms <= 0);
      long sumMs = spentMs.values().stream().mapToLong(ms -> ms).sum();
      System.out.printf(
          "%s: %d ms, %.2f%% of a core, %d MB resident, %s%n",
          now.getKey(),
          sumMs,
          sumMs / 10.0 / seconds,
          controllers.residentMb(now.getKey()),
          spentMs);
    }
  }

  private void printStats() throws Exception {
    for (String label : cluster.labels()) {
      CompletableFuture<Http.Outcome> answered = new CompletableFuture<>();
      Consumer<Http.Outcome> done = answered::complete;
      onLoop(
          () ->
              users.call(
                  RealControllers.address(label),
                  "GET",
                  "/stats",
                  Http.Response.EMPTY,
                  3000,
                  done));
      if (answered.get(5, TimeUnit.SECONDS) instanceof Http.Answer answer) {
        System.out.println(label + " " + new String(answer.body(), StandardCharsets.UTF_8));
      }
    }
  }

  @SuppressWarnings("FutureReturnValueIgnored") // simulated time advances until the process ends
  private void run(long seconds) throws Exception {
    serveSimulation();
    for (String label : cluster.labels()) {
      startController(label);
    }
    loop.scheduleWithFixedDelay(
        this::advanceTime,
        TIME_ADVANCE_INTERVAL_MS,
        TIME_ADVANCE_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
    measure("start", 5);
    onLoop(this::submitJobs);
    measure("fleet comes up", 25);
    measure("steady", seconds);
    printStats();
    restartController("trestle-0");
    measure("trestle-0 restarted", 5);
    measure("after the restart", 10);
    onLoop(() -> cluster.store.startOutage(10_000));
    measure("outage", 10);
    measure("after the outage", 5);
    onLoop(
        () -> {
          for (int i = 0; i < 10; i++) {
            submitJobs();
          }
        });
    measure("burst", 10);
    printStats();
  }

  /** Runs the tool with the arguments that the class comment describes. */
  public static void main(String[] args) throws Exception {
    LoadGenerator generator =
        new LoadGenerator(Integer.parseInt(args[0]), List.of(args).subList(2, args.length));
    System.out.println("logs and settings: " + generator.controllers.directory());
    int status = 1;
    try {
      generator.run(Long.parseLong(args[1]));
      status = 0;
    } catch (Exception e) {
      LOG.atError().setCause(e).log("load run failed");
    } finally {
      generator.controllers.stopAll();
      System.exit(status); // the event loop would keep the process running
    }
  }
}
