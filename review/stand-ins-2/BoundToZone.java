import java.util.List;

/** A job whose tasks must be together stays bound to the zone of a machine that is gone. */
public final class BoundToZone {
  private static final String TEAM = "ufficio-paghe";

  private BoundToZone() {}

  public static void main(String[] args) {
    Lab.main(
        args[0],
        Lab.Site.TRINACRIA,
        new String[] {"palermo", "palermo", "palermo"},
        Lab.team(TEAM, 200, 1500),
        BoundToZone::run);
  }

  private static boolean run(Lab lab, boolean trouble) throws Exception {
    // The cloud has more machines in catania, and no more in palermo.
    lab.cloud.give("catania", 4);
    Machine lost = lab.machine("palermo", true, "trestle-0");
    Machine left = lab.machine("catania", false, "trestle-0");
    Lab.sleep(4000);
    Jobs.Job steady = job(lab, "job-000001", List.of(115.0));
    steady.body.put("yard", "catania");
    lab.submit(steady, "trestle-0");
    lab.until("job-000001 runs", 10_000, () -> lab.running.onMachines(steady.id) == 1);
    Lab.sleep(1000);
    Jobs.Job together = job(lab, "job-000002", List.of(30.0, 30.0));
    together.body.put("together", true);
    lab.submit(together, "trestle-0");
    lab.until(
        "job-000002 runs in palermo",
        12_000,
        () ->
            lab.running.onMachines(together.id) == 2
                && lab.running.machinesOf(together.id).contains(lost.name));
    Lab.sleep(1500);
    if (trouble) {
      lab.cloud.takeBack(lost);
    }
    long overAtMs = lab.records.nowMs();
    boolean held =
        trouble
            ? Waiting.holds(lab, together, overAtMs, left)
            : lab.becomes(60_000, () -> lab.running.doneOf(together.id) == 2);
    System.out.println(
        together.id + ": " + lab.running.doneOf(together.id) + " of 2 tasks done, on machines "
            + lab.running.machinesOf(together.id));
    return held;
  }

  private static Jobs.Job job(Lab lab, String id, List<Double> runS) {
    return lab.jobs.create(id, "cedolini-mensili", TEAM, 4, 15, runS);
  }
}
