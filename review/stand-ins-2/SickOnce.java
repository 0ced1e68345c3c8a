import java.util.List;

/** A job whose only task fails while its machine is faulty for some seconds never runs again. */
public final class SickOnce {
  private static final String TEAM = "stock-office";

  private SickOnce() {}

  public static void main(String[] args) {
    Lab.main(
        args[0],
        Lab.Site.JSA,
        new String[] {"amman", "zarqa", "amman"},
        Lab.team(TEAM, 0, 0),
        SickOnce::run);
  }

  private static boolean run(Lab lab, boolean trouble) throws Exception {
    Machine machine = lab.machine("amman", false, "trestle-0");
    Lab.sleep(4000);
    Jobs.Job steady = job(lab, "job-000001", List.of(115.0));
    lab.submit(steady, "trestle-0");
    lab.until("job-000001 runs", 10_000, () -> lab.running.onMachines(steady.id) == 1);
    if (trouble) {
      machine.setSick(true);
    }
    Jobs.Job hit = job(lab, "job-000002", List.of(5.0));
    lab.submit(hit, "trestle-1");
    lab.until(
        "the task of job-000002 has ended",
        12_000,
        () -> lab.running.starts(hit.id + "/0") > 0 && lab.running.onMachines(hit.id) == 0);
    if (trouble) {
      machine.setSick(false);
    }
    long overAtMs = lab.records.nowMs();
    Thread others =
        new Thread(
            () -> {
              // Other jobs of the class go on coming, and run on the same machine.
              for (int i = 0; i < 6; i++) {
                Lab.sleep(13_000);
                lab.submit(job(lab, "job-00010" + i, List.of(5.0)), "trestle-2");
              }
            });
    others.setDaemon(true);
    others.start();
    boolean held =
        lab.running.isDone(hit.id + "/0") || Waiting.holds(lab, hit, overAtMs, machine);
    System.out.println(
        hit.id + ": started " + lab.running.starts(hit.id + "/0") + " times, done "
            + lab.running.isDone(hit.id + "/0"));
    return held;
  }

  private static Jobs.Job job(Lab lab, String id, List<Double> runS) {
    return lab.jobs.create(id, "yard-count", TEAM, 8, 31, runS);
  }
}
