package review;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Case: the answer to a report, which starts a task, is held up for less than four seconds on its
 * way. In the meantime the task is preempted before it could start, and starts on another machine.
 */
final class HeldAnswer {
  private static final String LEADER = "trestle-0";

  /** From the report's sending, a worker waits 4 s for the answer. */
  private static final long HOLD_MS = 3500;

  public static void main(String[] args) throws Exception {
    Lab.run(args, HeldAnswer::play);
  }

  private static Jobs.Job payslips(String id, int tasks, String zone, double expectedS) {
    return new Jobs.Job(id, "cedolini-mensili", "ufficio-paghe", "normal", tasks, 8, 51, zone, true,
        "img-cedolini", 0.1, expectedS, 300, -1);
  }

  private static Jobs.Job urgent(String id, int tasks) {
    return new Jobs.Job(id, "tredicesima-urgente", "ufficio-paghe", "urgent", tasks, 4, 15,
        "palermo", true, "img-tredicesima", 0.6, 12, 30, -1);
  }

  private static void submit(Lab lab, Jobs.Job job) throws Exception {
    lab.jobs.upload(job);
    lab.users.submit(job);
  }

  private static void play(Lab lab) throws Exception {
    Machine first = lab.machine("host-000001", "palermo", false, LEADER);
    Machine second = lab.machine("host-000002", "catania", false, LEADER);
    first.boot();
    second.boot();
    lab.await("the machines are answered", 20_000,
        () -> first.answeredReports() >= 3 && second.answeredReports() >= 3);

    // Two tasks of 8 CPUs fill each machine of 16 CPUs; a fifth task has to wait.
    submit(lab, payslips("job-000201", 1, "palermo", 8));
    submit(lab, payslips("job-000202", 1, "palermo", 8));
    submit(lab, payslips("job-000203", 2, "catania", 8));
    lab.await("four tasks run", 20_000,
        () -> first.isRunning("job-000201/0") && first.isRunning("job-000202/0")
            && second.isRunning("job-000203/0") && second.isRunning("job-000203/1"));
    lab.pause(3000);
    String task = "job-000204/0";
    submit(lab, payslips("job-000204", 1, null, 60));
    lab.pause(300);

    // The next answer that starts the waiting task is the one that is held up.
    CountDownLatch passing = new CountDownLatch(1);
    AtomicBoolean seen = new AtomicBoolean();
    String start = "\"order\":\"start\",\"board\":\"" + task + "\"";
    for (Proxy way : lab.ways.get("host-000001").values()) {
      way.holdAnswers(
          text -> {
            if (!text.contains(start) || seen.getAndSet(true)) {
              return 0;
            }
            lab.recorder.log("ANSWER to host-000001 with the start of " + task + " is on its way"
                + (lab.trouble ? ", held for " + HOLD_MS + " ms" : ""));
            passing.countDown();
            return lab.trouble ? HOLD_MS : 0;
          });
    }
    first.complete("job-000201/0");
    if (!passing.await(10, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the task was not started by an answer to a report");
    }

    // Urgent tasks that may only run in the zone of the full machine preempt the task there. Room
    // for it comes up on the other machine. Then the user calls the urgent jobs off.
    submit(lab, urgent("job-000205", 1));
    submit(lab, urgent("job-000206", 40));
    second.complete("job-000203/0");
    second.complete("job-000203/1");
    lab.await("an urgent task is on host-000001", 10_000,
        () -> first.knowsAnyOf("job-000205") || first.knowsAnyOf("job-000206"));
    lab.pause(200);
    lab.users.cancel("job-000206");
    lab.users.cancel("job-000205");
    lab.pause(10_000);
  }
}
