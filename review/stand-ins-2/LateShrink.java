import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collections;

/**
 * quota: transactions of one controller get no answer and are carried out ten seconds late, while a
 * team at its limit ends tasks of one controller's machines and gets new ones there.
 */
public final class LateShrink {
  private static final String TEAM = "ufficio-contributi";
  private static final double LIMIT = 64;
  private static final long LATE_MS = 10_000;

  private LateShrink() {}

  public static void main(String[] args) {
    Lab.main(
        args[0],
        Lab.Site.TRINACRIA,
        new String[] {"palermo", "palermo", "palermo"},
        Lab.team("ufficio-paghe", 200, 1500) + Lab.team(TEAM, 32, LIMIT),
        LateShrink::run);
  }

  private static boolean run(Lab lab, boolean trouble) throws Exception {
    // Five machines for trestle-0 in one zone, five for trestle-1 in the other: more than the limit.
    for (int i = 0; i < 5; i++) {
      lab.machine("palermo", false, "trestle-0");
      lab.machine("catania", false, "trestle-1");
    }
    Lab.sleep(4000);
    // One task of another team on each machine, so that none of them is idle and returned.
    for (String zone : new String[] {"palermo", "catania"}) {
      Jobs.Job keeper =
          lab.jobs.create(
              "job-00009" + (zone.equals("palermo") ? 0 : 1),
              "cedolini-mensili",
              "ufficio-paghe",
              2,
              70,
              Collections.nCopies(5, 110.0));
      keeper.body.put("yard", zone);
      lab.submit(keeper, "trestle-2");
      lab.until(
          "each machine in " + zone + " has a task of another team",
          15_000,
          () -> lab.running.machinesOf(keeper.id).size() == 5);
    }
    // A first job lets the share of trestle-0 grow, so that the tasks of the next two start together.
    Jobs.Job opening = job(lab, "job-000000", "palermo", 14, 8);
    lab.submit(opening, "trestle-2");
    lab.until("job-000000 is done", 40_000, () -> lab.running.doneOf(opening.id) == 14);
    Jobs.Job steady = job(lab, "job-000001", "palermo", 2, 100);
    Jobs.Job ending = job(lab, "job-000002", "palermo", 12, 12);
    Jobs.Job other = job(lab, "job-000003", "catania", 6, 100);
    lab.submit(steady, "trestle-2");
    lab.submit(ending, "trestle-2");
    lab.until(
        "56 CPUs are used in palermo",
        15_000,
        () -> lab.running.onMachines(steady.id) == 2 && lab.running.onMachines(ending.id) == 12);
    lab.submit(other, "trestle-2");
    lab.until("the team is at its limit", 15_000, () -> lab.running.usedNow(TEAM) > LIMIT - 0.5);
    lab.until(
        "tasks of " + ending.id + " begin to end",
        30_000,
        () -> lab.running.doneOf(ending.id) > 0);
    if (trouble) {
      lab.records.line("case", "from now on transactions of trestle-0 are carried out late");
      lab.store.delayTransactions(
          LATE_MS, (controller, body) -> controller.equals("trestle-0") && writesAny(body));
    }
    Lab.sleep(2500);
    lab.submit(job(lab, "job-000004", "palermo", 6, 60), "trestle-2");
    Lab.sleep(3500);
    lab.submit(job(lab, "job-000005", "catania", 16, 60), "trestle-2");
    boolean over = lab.becomes(20_000, () -> lab.running.peak(TEAM) > LIMIT + 1e-6);
    Lab.sleep(1000);
    double peak = lab.running.peak(TEAM);
    lab.records.line("case", "most CPUs used at a time: " + peak + " of " + LIMIT);
    System.out.println("most CPUs used by " + TEAM + ": " + peak + ", limit " + LIMIT);
    return !over;
  }

  private static boolean writesAny(JsonNode body) {
    return body.path("apply").size() > 0;
  }

  private static Jobs.Job job(Lab lab, String id, String zone, int tasks, double runS) {
    Jobs.Job job =
        lab.jobs.create(id, "tredicesima-urgente", TEAM, 4, 15, Collections.nCopies(tasks, runS));
    job.body.put("yard", zone);
    return job;
  }
}
