/**
 * Judges the rule that no job is left waiting for 90 s, once the troubles are over, while a machine
 * that fits has room and its team is under its limit. The teams of these cases have no limit.
 */
final class Waiting {
  private static final long LIMIT_MS = 90_000;

  private Waiting() {}

  /**
   * Returns whether the rule held: a task of the job has come to a machine before the machine has
   * had room for one for 90 s without a break.
   *
   * @param fits machines that the job may use
   */
  static boolean holds(Lab lab, Jobs.Job job, long overAtMs, Machine... fits) {
    long roomSinceMs = overAtMs;
    while (true) {
      long nowMs = lab.records.nowMs();
      if (lab.running.onMachines(job.id) > 0) {
        lab.records.line("case", job.id + " is on a machine");
        return true;
      }
      boolean room = false;
      for (Machine machine : fits) {
        room |=
            machine.freeCpus() >= job.cpus() && machine.freeMemoryGb() >= job.memoryGb();
      }
      if (!room) {
        roomSinceMs = nowMs;
      }
      if (nowMs - roomSinceMs > LIMIT_MS) {
        lab.records.line(
            "RULE", job.id + " has waited for 90 s while a machine that fits had room");
        lab.ask(job.id);
        return false;
      }
      Lab.sleep(50);
    }
  }
}
