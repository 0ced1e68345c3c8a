package org.fieldtrestle.simulation;

import static org.fieldtrestle.simulation.ConcurrentFailures.forEachDeployment;
import static org.fieldtrestle.simulation.ConcurrentFailures.lastHeartbeats;
import static org.fieldtrestle.simulation.ConcurrentFailures.submit;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Commands, transactions and heartbeats arrive late during other faults: the invariants hold and
 * all jobs end.
 */
class LateMessagesTest {
  @Test
  void jobsEndWhenCommandsAreExecutedLate() {
    forEachDeployment(
        14,
        cluster -> {
          List<SimulatedJob> jobs = submit(cluster, 6, 4, 15_000);
          cluster.runFor(25_000);
          for (int i = 0; i < 10; i++) {
            // Machines hang just before commands for new and cancelled jobs are sent to them.
            cluster
                .machines()
                .forEach(machine -> machine.faults.hang(cluster.time.between(2000, 9000)));
            jobs.addAll(submit(cluster, 2, 4, 15_000));
            cluster.users.cancel(jobs.get(i));
            cluster.runFor(14_000);
          }
          // Counts all machines, also those that have been returned since.
          assertTrue(cluster.lateCommandsExecuted() > 0, "commands were executed late");
        });
  }

  /** Copies of direct commands arrive late, after their tasks were stopped and removed. */
  @Test
  void jobsEndWhenStartsArriveAfterTheirTasksWerePreempted() {
    int[] lateCommands = {0};
    forEachDeployment(
        4,
        cluster -> {
          submit(cluster, 1, 16, 40_000);
          cluster.runFor(25_000); // the fleet is up
          for (int i = 0; i < 6; i++) {
            cluster.network.delayCommands(0.7);
            submit(cluster, 1, 6, 60_000);
            cluster.runFor(9000);
            // These short jobs preempt the tasks above soon after those have started; the preempted
            // tasks start again elsewhere or later.
            submit(cluster, 3, 4, 2500);
            cluster.runFor(30_000);
          }
          cluster.network.delayCommands(0);
          for (SimulatedWorker machine : cluster.machines()) {
            lateCommands[0] += machine.lateCommands();
          }
        });
    assertTrue(lateCommands[0] > 0, "commands arrived late");
  }

  /**
   * Guards against a fault in which a direct command that had been carried out and answered was
   * delivered again, after its task was stopped and cleared, and started the task a second time.
   */
  @Test
  void jobsEndWhenCommandsAreRepeatedAfterTheirTasksWereCleared() {
    forEachDeployment(
        6,
        cluster -> {
          submit(cluster, 1, 24, 5000);
          cluster.runFor(40_000); // the fleet is up and idle, so that starts are sent directly
          cluster.network.repeatCommands(1, 2 * cluster.cancellationTimeMs);
          List<SimulatedJob> cancelled = new ArrayList<>();
          for (int i = 0; i < 4; i++) {
            submit(cluster, 3, 4, 30_000);
            cancelled.addAll(submit(cluster, 1, 2, 60_000));
            cluster.runFor(6000);
            submit(cluster, 4, 6, 2500); // these preempt some of the tasks that have just started
            cluster.runFor(3000);
            cluster.users.cancel(cancelled.get(i));
            cluster.runFor(40_000);
          }
          cluster.runFor(2 * cluster.cancellationTimeMs); // the last copies arrive
          cluster.network.repeatCommands(0, 0);
          assertTrue(cluster.network.repeatedCommands() > 0, "commands arrived again");
        });
  }

  @Test
  void jobsEndWhenAnswersToHeartbeatsAreHeldForAsLongAsWorkersWait() {
    forEachDeployment(
        8,
        cluster -> {
          submit(cluster, 1, 32, 20_000);
          cluster.runFor(25_000); // the fleet is up
          cluster.network.holdHeartbeatAnswers(1);
          cluster.faults.recordFault(120_000);
          for (int i = 0; i < 120; i++) {
            // The fleet is full, so that answers start most tasks of these jobs.
            submit(cluster, 1, 2, 16_000);
            if (i % 2 == 0) { // preempts tasks that have just started in its zone
              submit(cluster, 1, 3, 2500, job -> job.zone(cluster.time.chance(0.5) ? "a" : "b"));
            }
            cluster.runFor(1000);
          }
          cluster.network.holdHeartbeatAnswers(0);
          assertTrue(cluster.network.heldAnswers() > 0, "answers were held");
        });
  }

  @Test
  void jobsEndWhenUnansweredTransactionsAreExecutedLate() {
    int[] lateCommits = {0};
    forEachDeployment(
        14,
        cluster -> {
          cluster.store.delayCommits(0.2);
          cluster.faults.recordFault(130_000);
          List<SimulatedJob> jobs = submit(cluster, 8, 4, 12_000);
          cluster.runFor(40_000);
          jobs.addAll(submit(cluster, 4, 6, 12_000, job -> job.team("limited")));
          cluster.faults.kill("trestle-1", 500);
          cluster.runFor(30_000);
          cluster.users.cancel(jobs.get(9));
          cluster.users.cancel(jobs.get(1));
          cluster.faults.kill("trestle-0", 40_000);
          cluster.runFor(60_000);
          cluster.store.delayCommits(0);
          cluster.runFor(15_000);
          lateCommits[0] += cluster.store.lateCommits();
          assertTrue(
              cluster.store.lateConflicts() > 0, "some transactions arrived after newer ones");
        });
    assertTrue(lateCommits[0] > 0, "the conditions of some late transactions were met");
  }

  @Test
  void jobsEndWhenOldHeartbeatsArriveAfterNewerOnes() {
    forEachDeployment(
        14,
        cluster -> {
          submit(cluster, 6, 6, 15_000);
          List<Map<String, byte[]>> oldHeartbeats = new ArrayList<>();
          cluster.observeListening(label -> deliverNewest(cluster, label, oldHeartbeats));
          cluster.faults.recordFault(140_000);
          for (int i = 0; i < 270; i++) {
            cluster.runFor(500);
            if (i % 6 == 0) {
              oldHeartbeats.add(lastHeartbeats(cluster));
            }
            if (i == 72) {
              cluster.faults.kill("trestle-1", 500);
            } else if (i == 120) { // worker leases expire
              cluster.machines().forEach(machine -> machine.faults.hang(cluster.leaseMs + 4000));
              submit(cluster, 3, 6, 15_000);
            } else if (i == 192) {
              cluster.faults.kill("trestle-0", cluster.leaseMs + 30_000);
            }
            for (byte[] heartbeat :
                oldHeartbeats
                    .get((int) cluster.time.between(0, oldHeartbeats.size() - 1))
                    .values()) {
              for (String label : cluster.labels()) {
                cluster.deliverCopy(label, heartbeat);
              }
            }
          }
          assertTrue(
              cluster.copiesAnswered() > 0, "some old heartbeats arrived before any newer one");
        });
  }

  @Test
  void jobsEndWhenCommandsReachWorkersThatReachNoController() {
    forEachDeployment(
        14,
        cluster -> {
          List<SimulatedJob> jobs = submit(cluster, 5, 6, 40_000);
          cluster.runFor(40_000);
          long blockedMs = cluster.leaseMs + 10_000;
          cluster.faults.recordFault(blockedMs);
          // Most machines are silent, so that this looks like a partition; the others have room for
          // the lost tasks.
          List<SimulatedWorker> all = cluster.machines();
          List<SimulatedWorker> affected = all.subList(0, all.size() * 2 / 3);
          affected.forEach(machine -> machine.faults.blockHeartbeats(blockedMs));
          jobs.addAll(submit(cluster, 3, 4, 10_000));
          cluster.runFor(1500);
          jobs.subList(0, 3).forEach(cluster.users::cancel);
          cluster.runFor(4000);
          assertTrue(
              affected.stream().anyMatch(machine -> machine.commandsWhileHeartbeatsBlocked() > 0),
              "commands reached a machine whose heartbeats were blocked");
          cluster.runFor(blockedMs);
        });
  }

  /** Delivers the newest kept heartbeats, so that they are the first to reach a controller. */
  private static void deliverNewest(
      SimulatedCluster cluster, String label, List<Map<String, byte[]>> kept) {
    if (!kept.isEmpty()) {
      Map<String, byte[]> newest = kept.get(kept.size() - 1);
      newest.values().forEach(heartbeat -> cluster.deliverCopy(label, heartbeat));
    }
  }
}
