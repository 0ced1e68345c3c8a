package org.fieldtrestle.coordination;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.WorkerWire;
import org.fieldtrestle.transport.Http;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a master tells its workers: commands in the answers to reports, and direct ones for what
 * would else wait for the next report. Whether a command is allowed, {@link CommandPolicy} says.
 */
final class WorkerCommands {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerCommands.class);

  /** Commands of one message at the most. */
  private static final int MOST_ORDERS = 200;

  private final Master master;
  private final Node node;
  private final Machines machines;
  private final Ranges ranges;
  private final CommandPolicy policy;

  /** Machines that may have something to be told. */
  private final Set<Host> news = new LinkedHashSet<>();

  WorkerCommands(Master master, Machines machines, Ranges ranges) {
    this.master = master;
    this.node = master.node;
    this.machines = machines;
    this.ranges = ranges;
    this.policy = master.policy();
  }

  /** A machine is no longer this master's. */
  void forget(Host host) {
    news.remove(host);
  }

  /** What a machine is to do now, by what is known at this moment. */
  List<WorkerWire.Command> ordersFor(Host host) {
    if (host.placed().stream().anyMatch(this::mustStop)) {
      host.copyOfPlaced().stream().filter(this::mustStop).forEach(task -> stop(task, 0));
    }
    return host.orders(task -> machines.mayStart(host) && mayStart(task), MOST_ORDERS);
  }

  private boolean mustStop(PlacedTask task) {
    boolean stopsAtOnce = task.stop && task.graceS <= 0;
    return task.live() && !stopsAtOnce && task.range != null && policy.mustStop(task.range);
  }

  private boolean mayStart(PlacedTask task) {
    return task.range != null && policy.mayStart(task.range);
  }

  /** There may be something to tell. */
  void newsFor(Host host) {
    news.add(host);
  }

  void stop(PlacedTask task, double graceS) {
    if (!task.live() || task.stop && task.graceS <= graceS) {
      return;
    }
    task.stop = true;
    task.stopSent = false;
    task.graceS = graceS;
    if (task.state() == PlacedTask.State.STARTING && !task.startSent) {
      ranges.gone(task);
    } else {
      news.add(task.host);
    }
  }

  /** Tells machines at once what would else wait for their next report. */
  void sendDirect() {
    if (!master.running()) {
      return;
    }
    for (Iterator<Host> all = news.iterator(); all.hasNext(); ) {
      Host host = all.next();
      if (!host.hasNews()) {
        all.remove();
      } else if (host.quiet()
          && !host.returning
          && !host.lost
          && host.session >= 0
          && machines.resolvedNow(host)) {
        direct(host);
      }
    }
  }

  /** Why a task that is to be stopped is still there, as the reader of a log would ask. */
  String stopPendingBecause(PlacedTask task) {
    Host host = task.host;
    if (!policy.mayAcknowledge()) {
      return "this controller may not act";
    }
    if (host.lost || host.returning) {
      return "its machine is lost or being returned";
    }
    if (!machines.resolvedNow(host)) {
      return "its machine has not shown this epoch's token";
    }
    if (!task.stopSent) {
      return host.quiet() ? "the stop is to be sent" : "the fate of an earlier command is unknown";
    }
    return "the machine has not reported its end, last heard "
        + (node.now() - host.heardAt)
        + " ms ago";
  }

  private void direct(Host host) {
    // The clears are left for the next report's answer, which is never executed late.
    List<WorkerWire.Command> orders = new ArrayList<>(ordersFor(host));
    orders.removeIf(order -> order instanceof WorkerWire.Clear);
    if (orders.isEmpty()) {
      return;
    }
    host.directBusy = true;
    long sentSession = host.session;
    node.caller()
        .call(
            host.address,
            "POST",
            WorkerWire.COMMANDS,
            WorkerWire.commands(host.token, sentSession, orders),
            node.reportMs(0.8),
            outcome -> answered(host, outcome));
  }

  private void answered(Host host, Http.Outcome outcome) {
    host.directBusy = false;
    if (outcome instanceof Http.NotSent) {
      return;
    }
    if (outcome instanceof Http.Answer answer
        && (answer.status() == 200 || answer.status() == 409)) {
      try {
        WorkerWire.Report report = WorkerWire.readReport(answer.body());
        if (!master.isOver() && machines.get(host.id) == host && report.machine().equals(host.id)) {
          machines.learn(host, report);
        }
        return;
      } catch (Json.Malformed e) {
        LOG.warn("machine {} answered a command out of form: {}", host.id, e.getMessage());
      }
    }
    // Its fate is unknown: it may be executed minutes later, as long as token and session match.
    // A higher token ends that as soon as the machine has seen it.
    host.raiseToken();
    for (PlacedTask task : host.placed()) {
      if (task.state() == PlacedTask.State.STARTING && task.startSent) {
        task.answeredSeq = host.seq; // its next report shows whether it came
      }
    }
  }
}
