package review;

import java.util.List;

/**
 * Case: a controller ends, and a repeat of a direct command follows that its worker had carried out
 * before. The command started a task that was preempted and cleared since and runs elsewhere.
 */
final class RepeatedStart {
  private static final String LEADER = "trestle-0";

  public static void main(String[] args) throws Exception {
    Lab.run(args, RepeatedStart::play);
  }

  private static Jobs.Job payslips(String id, double expectedS, long runMs) {
    return new Jobs.Job(id, "cedolini-mensili", "ufficio-paghe", "normal", 1, 8, 51, null, true,
        "img-cedolini", 0.1, expectedS, 330, runMs);
  }

  private static void play(Lab lab) throws Exception {
    Machine cheap = lab.machine("host-000001", "palermo", true, LEADER);
    Machine other = lab.machine("host-000002", "catania", false, LEADER);
    Proxy commands = new Proxy(cheap.ownAddress());
    cheap.announce(commands.address());
    cheap.boot();
    lab.await("host-000001 is answered", 20_000, () -> cheap.answeredReports() >= 3);

    // A long and a short task run on the cheap machine. Both are started by direct commands.
    String task = "job-000101/0";
    for (Jobs.Job job :
        List.of(payslips("job-000101", 100, -1), payslips("job-000102", 20, -1))) {
      lab.jobs.upload(job);
      lab.users.submit(job);
      lab.await(job.id() + " runs on host-000001", 15_000,
          () -> cheap.isRunning(job.id() + "/0"));
    }
    byte[] start = commands.requestWith("\"order\":\"start\",\"board\":\"" + task + "\"");
    if (start == null) {
      throw new IllegalStateException("the task was not started by a direct command");
    }
    other.boot();
    lab.await("host-000002 is answered", 20_000, () -> other.answeredReports() >= 3);
    lab.pause(2000);

    // The cloud takes the cheap machine back. The long task moves; the short one may end there.
    cheap.recall(15);
    lab.await(task + " runs on host-000002", 10_000, () -> other.isRunning(task));
    lab.await("host-000001 has cleared " + task, 5000, () -> !cheap.knows(task));

    if (lab.trouble) {
      lab.controllers.kill(LEADER);
      lab.pause(500);
      lab.recorder.log("REPEAT of the direct command that started " + task + " on host-000001");
      lab.recorder.log("REPEAT answered: " + commands.repeat(start));
      lab.pause(5500);
      lab.controllers.start(LEADER);
    }
    lab.pause(12_000);
  }
}
