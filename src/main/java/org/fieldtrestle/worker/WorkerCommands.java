package org.fieldtrestle.worker;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.Heartbeat;
import org.fieldtrestle.protocol.MalformedJsonException;
import org.fieldtrestle.protocol.WorkerCommand;
import org.fieldtrestle.protocol.WorkerProtocol;
import org.fieldtrestle.transport.Http;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a shard tells its workers: commands in the answers to reports, and direct ones for what
 * would else wait for the next report. Whether a command is allowed, {@link CommandPolicy} says.
 */
public final class WorkerCommands {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerCommands.class);

  /** Commands of one message at the most. */
  private static final int MOST_ORDERS = 200;

  private final LeadershipTerm term;
  private final ControllerContext context;
  private final WorkerRegistry machines;
  private final TaskRanges ranges;
  private final CommandPolicy policy;

  /** Machines that may have something to be told. */
  private final Set<Worker> news = new LinkedHashSet<>();

  WorkerCommands(
      ControllerContext context, LeadershipTerm term, WorkerRegistry machines, TaskRanges ranges) {
    this.context = context;
    this.term = term;
    this.machines = machines;
    this.ranges = ranges;
    this.policy = term.policy();
  }

  /** A machine is no longer this shard's. */
  void forget(Worker worker) {
    news.remove(worker);
  }

  /** What a machine is to do now, by what is known at this moment. */
  List<WorkerCommand> ordersFor(Worker worker) {
    if (worker.attempts().stream().anyMatch(this::mustStop)) {
      worker.copyOfAttempts().stream().filter(this::mustStop).forEach(task -> stop(task, 0));
    }
    return worker.orders(task -> machines.mayStart(worker) && mayStart(task), MOST_ORDERS);
  }

  private boolean mustStop(TaskAttempt task) {
    boolean stopsAtOnce = task.stop && task.graceS <= 0;
    return task.live() && !stopsAtOnce && task.range != null && policy.mustStop(task.range);
  }

  private boolean mayStart(TaskAttempt task) {
    return task.range != null && policy.mayStart(task.range);
  }

  /** There may be something to tell. */
  public void newsFor(Worker worker) {
    news.add(worker);
  }

  public void stop(TaskAttempt task, double graceS) {
    if (!task.live() || task.stop && task.graceS <= graceS) {
      return;
    }
    task.stop = true;
    task.stopSent = false;
    task.graceS = graceS;
    if (task.state() == TaskAttempt.State.STARTING && !task.startSent) {
      ranges.gone(task);
    } else {
      news.add(task.worker);
    }
  }

  /** Tells machines at once what would else wait for their next report. */
  public void sendDirect() {
    if (!term.isLeading()) {
      return;
    }
    for (Iterator<Worker> all = news.iterator(); all.hasNext(); ) {
      Worker worker = all.next();
      if (!worker.hasNews()) {
        all.remove();
      } else if (worker.hasNoCommandInFlight()
          && !worker.terminating
          && !worker.leaseExpired
          && worker.incarnation >= 0
          && machines.resolvedNow(worker)) {
        direct(worker);
      }
    }
  }

  /** Why a task that is to be stopped is still there, as the reader of a log would ask. */
  public String stopPendingReason(TaskAttempt task) {
    Worker worker = task.worker;
    if (!policy.mayAcknowledge()) {
      return "this controller may not act";
    }
    if (worker.leaseExpired || worker.terminating) {
      return "its machine is lost or being returned";
    }
    if (!machines.resolvedNow(worker)) {
      return "its machine has not shown this epoch's token";
    }
    if (!task.stopSent) {
      return worker.hasNoCommandInFlight()
          ? "the stop is to be sent"
          : "the fate of an earlier command is unknown";
    }
    return "the machine has not reported its end, last heard "
        + (context.now() - worker.lastHeartbeatAt)
        + " ms ago";
  }

  private void direct(Worker worker) {
    // The clears are left for the next report's answer, which is never executed late.
    List<WorkerCommand> orders = new ArrayList<>(ordersFor(worker));
    orders.removeIf(order -> order instanceof WorkerCommand.Clear);
    if (orders.isEmpty()) {
      return;
    }
    worker.directCommandInFlight = true;
    long sentSession = worker.incarnation;
    context
        .caller()
        .call(
            worker.address,
            "POST",
            WorkerProtocol.COMMANDS_PATH,
            WorkerProtocol.writeCommands(worker.fencingToken, sentSession, orders),
            context.heartbeatIntervalsMs(0.8),
            outcome -> answered(worker, outcome));
  }

  private void answered(Worker worker, Http.Outcome outcome) {
    worker.directCommandInFlight = false;
    if (outcome instanceof Http.NotSent) {
      return;
    }
    if (outcome instanceof Http.Answer answer
        && (answer.status() == 200 || answer.status() == 409)) {
      try {
        Heartbeat report = WorkerProtocol.readHeartbeat(answer.body());
        if (!term.isOver()
            && machines.get(worker.id) == worker
            && report.machine().equals(worker.id)) {
          machines.learn(worker, report);
        }
        return;
      } catch (MalformedJsonException e) {
        LOG.warn("machine {} answered a command out of form: {}", worker.id, e.getMessage());
      }
    }
    // Its fate is unknown: it may be executed minutes later, as long as token and session match.
    // A higher token ends that as soon as the machine has seen it.
    worker.raiseToken();
    for (TaskAttempt task : worker.attempts()) {
      if (task.state() == TaskAttempt.State.STARTING && task.startSent) {
        task.answeredSeq = worker.sequence; // its next report shows whether it came
      }
    }
  }
}
