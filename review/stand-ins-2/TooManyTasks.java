import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Jobs of small tasks come three times as often; a machine gets more than it can report. */
public final class TooManyTasks {
  private static final String TEAM = "stock-office";
  private static final int TASKS = 1350;

  private TooManyTasks() {}

  public static void main(String[] args) {
    Lab.main(
        args[0],
        Lab.Site.JSA,
        new String[] {"amman", "zarqa", "amman"},
        Lab.team(TEAM, 0, 0),
        TooManyTasks::run);
  }

  private static boolean run(Lab lab, boolean trouble) throws Exception {
    lab.cloud.give("amman", 4);
    lab.cloud.give("zarqa", 4);
    Lab.sleep(3000);
    List<Jobs.Job> all = new ArrayList<>();
    for (int i = 0; i < (trouble ? 3 : 1); i++) {
      Jobs.Job job =
          lab.jobs.create(
              "job-00000" + (i + 1), "stock-entries", TEAM, 0.02, 0.1,
              Collections.nCopies(TASKS, 25.0));
      lab.submit(job, "trestle-0");
      all.add(job);
    }
    boolean done =
        lab.becomes(
            95_000, () -> all.stream().allMatch(job -> lab.running.doneOf(job.id) == TASKS));
    for (Jobs.Job job : all) {
      String result = job.id + ": " + lab.running.doneOf(job.id) + " of " + TASKS + " tasks done";
      lab.records.line("case", result);
      System.out.println(result);
    }
    return done;
  }
}
