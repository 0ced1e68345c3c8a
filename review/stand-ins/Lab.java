package review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

/** A small deployment on loopback: three controller processes and stand-ins for all others. */
final class Lab {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  /** A case: plays its events and returns. The rules are checked by the recorder meanwhile. */
  interface Case {
    void play(Lab lab) throws Exception;
  }

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Recorder recorder;
  final Deployment deployment = Deployment.trinacria();
  final Jobs jobs = new Jobs();
  final Store store;
  final Cloud cloud;
  final Controllers controllers;
  final Users users;

  /** Proxies on the ways from workers to the controllers, by the worker's name and the label. */
  final Map<String, Map<String, Proxy>> ways = new LinkedHashMap<>();

  private final List<Machine> machines = new ArrayList<>();

  private Lab(Path folder, Path work) throws Exception {
    recorder = new Recorder(folder.resolve("record.txt"));
    recorder.log("site " + Deployment.SITE + ", TROUBLE=" + (trouble ? 1 : 0));
    store = new Store(deployment.txnOps(), deployment.valueKb());
    cloud = new Cloud(recorder, deployment);
    controllers = new Controllers(recorder, work, deployment, store.address(), cloud.address());
    users = new Users(recorder, controllers);
  }

  /** Runs a case and ends the program with its result. */
  static void run(String[] args, Case played) throws Exception {
    Path folder = Path.of(args[0]);
    Path work = Path.of(args[1]);
    int status = COULD_NOT_RUN;
    Lab lab = null;
    try {
      lab = new Lab(folder, work);
      for (String label : Controllers.LABELS) {
        lab.controllers.start(label);
      }
      for (String label : Controllers.LABELS) {
        lab.users.awaitReady(label, 20_000);
      }
      played.play(lab);
      status = lab.recorder.violations().isEmpty() ? HELD : BROKEN;
    } catch (Exception e) {
      e.printStackTrace();
      if (lab != null) {
        lab.recorder.log("could not run: " + e);
      }
    } finally {
      if (lab != null) {
        lab.controllers.stopAll();
        lab.recorder.log("result " + status + " " + lab.recorder.violations());
        System.out.println("result " + status + " " + lab.recorder.violations());
      }
      System.exit(status);
    }
  }

  /** Adds a machine that is up; its worker reports first to the given controller. */
  Machine machine(String name, String zone, boolean spot, String firstNode) throws Exception {
    Map<String, Proxy> proxies = new LinkedHashMap<>();
    Map<String, String> addresses = new LinkedHashMap<>();
    for (String label : Controllers.LABELS) {
      Proxy proxy = new Proxy(controllers.front(label));
      proxies.put(label, proxy);
      addresses.put(label, proxy.address());
    }
    ways.put(name, proxies);
    Machine machine =
        new Machine(recorder, deployment, jobs, name, zone, spot, addresses, firstNode);
    machines.add(machine);
    cloud.add(machine);
    return machine;
  }

  void await(String what, long timeoutMs, Callable<Boolean> condition) throws Exception {
    long endMs = System.currentTimeMillis() + timeoutMs;
    while (!condition.call()) {
      if (System.currentTimeMillis() > endMs) {
        throw new IllegalStateException("not in time: " + what);
      }
      Thread.sleep(10);
    }
    recorder.log("SEEN   " + what);
  }

  void pause(long ms) throws InterruptedException {
    Thread.sleep(ms);
  }
}
