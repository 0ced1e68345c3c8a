package review;

/**
 * Case: a guest team comes. Its job is one task that needs all of the team's limit. It is accepted,
 * the team uses nothing, and a machine has room for the task, but the task is never started.
 */
final class GuestTeam {
  private static final String GUEST = "consorzio-agrumi";

  /** A job may be left waiting for 90 s beside a machine that has room. */
  private static final long MAX_WAIT_MS = 90_000;

  public static void main(String[] args) throws Exception {
    Lab.run(args, GuestTeam::play);
  }

  private static Jobs.Job estimates(String id, String team, long runMs) {
    return new Jobs.Job(id, "stime-raccolto", team, "low", 1, 4, 28.8, null, true, "img-stime", 0.1,
        300, 900, runMs);
  }

  private static void play(Lab lab) throws Exception {
    Machine machine = lab.machine("host-000001", "palermo", false, "trestle-0");
    machine.boot();
    lab.await("host-000001 is answered", 10_000, () -> machine.answeredReports() >= 2);

    // A task of another team keeps the machine in use. 12 of its 16 CPUs stay free.
    Jobs.Job other = estimates("job-000301", "ufficio-paghe", -1);
    lab.jobs.upload(other);
    lab.users.submit(other);
    lab.await("job-000301 runs", 10_000, () -> machine.isRunning("job-000301/0"));

    String team = lab.trouble ? GUEST : "ufficio-contributi";
    Jobs.Job job = estimates("job-000302", team, 3000);
    lab.jobs.upload(job);
    lab.users.submit(job);
    long endMs = System.currentTimeMillis() + MAX_WAIT_MS + 1000;
    for (long nextMs = 0; System.currentTimeMillis() < endMs; lab.pause(50)) {
      if (machine.knows("job-000302/0")) {
        lab.recorder.log("SEEN   job-000302/0 is on host-000001");
        return;
      }
      if (machine.freeCpus() < job.cpus()) {
        throw new IllegalStateException("the machine had no room");
      }
      if (System.currentTimeMillis() > nextMs) {
        nextMs = System.currentTimeMillis() + 5000;
        lab.users.stage("job-000302");
        lab.recorder.log("STORE  shares: " + lab.store.text("ft/live/quota/" + GUEST));
      }
    }
    lab.recorder.violation(
        "left waiting: job-000302 was accepted and not started for 90 s, though host-000001 had 12"
            + " CPUs free and its team used 0 of 4 CPUs all the time");
  }
}
