import java.util.List;

/** A machine that was slow for some seconds takes no job any more, though it is well and has room. */
public final class SlowOnce {
  private static final String TEAM = "stock-office";

  private SlowOnce() {}

  public static void main(String[] args) {
    Lab.main(
        args[0],
        Lab.Site.JSA,
        new String[] {"amman", "zarqa", "amman"},
        Lab.team(TEAM, 0, 0),
        SlowOnce::run);
  }

  private static boolean run(Lab lab, boolean trouble) throws Exception {
    Machine machine = lab.machine("amman", false, "trestle-0");
    Lab.sleep(4000);
    Jobs.Job steady = job(lab, "job-000001", List.of(115.0));
    Jobs.Job array = job(lab, "job-000002", List.of(2.0, 2.0, 2.0, 2.0, 2.0));
    lab.submit(steady, "trestle-0");
    lab.submit(array, "trestle-0");
    lab.until(
        "three tasks of job-000002 are done",
        20_000,
        () -> lab.running.doneOf(array.id) >= 3);
    if (trouble) {
      machine.setSlowness(4);
    }
    lab.until("job-000002 is done", 30_000, () -> lab.running.doneOf(array.id) == 5);
    if (trouble) {
      machine.setSlowness(1);
    }
    long overAtMs = lab.records.nowMs();
    Jobs.Job later = job(lab, "job-000003", List.of(5.0));
    lab.submit(later, "trestle-1");
    boolean held =
        trouble
            ? Waiting.holds(lab, later, overAtMs, machine)
            : lab.becomes(30_000, () -> lab.running.isDone(later.id + "/0"));
    System.out.println(later.id + ": done " + lab.running.isDone(later.id + "/0"));
    return held;
  }

  private static Jobs.Job job(Lab lab, String id, List<Double> runS) {
    return lab.jobs.create(id, "yard-count", TEAM, 8, 31, runS);
  }
}
