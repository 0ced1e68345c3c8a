import java.util.Collections;

/**
 * ran_twice: a zone with a controller and workers is cut off, another controller takes its machines
 * over, ends, and is back at once.
 */
public final class CutThenCrash {
  private static final String TEAM = "stock-office";
  private static final long CUT_MS = 59_000;

  private CutThenCrash() {}

  public static void main(String[] args) {
    Lab.main(
        args[0],
        Lab.Site.JSA,
        new String[] {"amman", "zarqa", "amman"},
        Lab.team(TEAM, 0, 0),
        CutThenCrash::run);
  }

  private static boolean run(Lab lab, boolean trouble) throws Exception {
    // Two machines in zarqa and four in amman first report to the controller in zarqa, which adopts
    // them. A job fills one after the other, so that none is idle and returned.
    lab.machine("zarqa", false, "trestle-1");
    lab.machine("zarqa", false, "trestle-1");
    Lab.sleep(4500);
    Jobs.Job inZarqa = job(lab, "job-000001", 6, 110);
    lab.submit(inZarqa, "trestle-1");
    lab.until(
        "job-000001 runs on both machines in zarqa",
        15_000,
        () ->
            lab.running.onMachines(inZarqa.id) == 6
                && lab.running.machinesOf(inZarqa.id).size() == 2);
    for (int i = 0; i < 4; i++) {
      lab.machine("amman", false, "trestle-1");
    }
    Lab.sleep(4500);
    Jobs.Job filler = job(lab, "job-000002", 10, 110);
    filler.body.put("yard", "amman");
    lab.submit(filler, "trestle-1");
    lab.until(
        "job-000002 runs in amman", 15_000, () -> lab.running.onMachines(filler.id) == 10);
    // Small jobs come all the time.
    Thread traffic = new Thread(() -> traffic(lab));
    traffic.setDaemon(true);
    traffic.start();
    // A shard that has changed hands within a controller's lease is left alone.
    Lab.sleep(20_000 - lab.records.nowMs());
    if (trouble) {
      lab.zones.cutOff("zarqa");
      lab.records.line("case", "zarqa is cut off from everything");
    }
    long cutAtMs = lab.records.nowMs();
    if (trouble) {
      // The moment is read off the store: who leads the machines of trestle-1 now.
      String[] successor = {""};
      lab.until(
          "another controller has taken over the machines of trestle-1",
          25_000,
          () -> {
            successor[0] = lab.store.peek("ft/live/master/trestle-1").path("holder").asText();
            return !successor[0].equals("trestle-1");
          });
      lab.controllers.kill(successor[0]);
      Lab.sleep(300);
      lab.controllers.start(successor[0]);
    }
    boolean twice =
        lab.becomes(
            cutAtMs + CUT_MS - lab.records.nowMs(), () -> !lab.running.ranTwice().isEmpty());
    Lab.sleep(Math.min(6000, cutAtMs + CUT_MS - lab.records.nowMs()));
    lab.zones.reconnect("zarqa");
    System.out.println("tasks on two machines at a time: " + lab.running.ranTwice());
    return !twice;
  }

  private static void traffic(Lab lab) {
    for (int i = 0; i < 100; i++) {
      Jobs.Job small = job(lab, "job-0001" + String.format("%02d", i), 1, 2);
      small.body.put("yard", "amman").put("cpus", 1.0);
      Web.call(
          "POST", lab.controllers.fronts().get("trestle-0"), "/v2/runs", small.body, 5000);
      Lab.sleep(1000);
    }
  }

  private static Jobs.Job job(Lab lab, String id, int tasks, double runS) {
    return lab.jobs.create(id, "yard-count", TEAM, 8, 31, Collections.nCopies(tasks, runS));
  }
}
