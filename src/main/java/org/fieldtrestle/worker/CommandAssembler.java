package org.fieldtrestle.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.fieldtrestle.protocol.WorkerProtocol;

/** Puts together what one worker is to do: stops and clears first, then starts. */
final class CommandAssembler {
  /** Commands of one message at the most. */
  private static final int MAX_COMMANDS = 200;

  private CommandAssembler() {}

  /**
   * All commands for a worker, which count as sent from now on.
   *
   * @param startable decides which of the attempts that are to be started may be
   */
  static List<WorkerProtocol.Command> assemble(Worker worker, Predicate<TaskAttempt> startable) {
    List<WorkerProtocol.Command> commands = new ArrayList<>();
    addForUnknownTasks(worker, commands);
    addStopsAndClears(worker, commands);
    addStarts(worker, startable, commands);
    List<WorkerProtocol.Command> sent =
        commands.size() > MAX_COMMANDS ? commands.subList(0, MAX_COMMANDS) : commands;
    markSent(worker, sent);
    return sent;
  }

  private static void addForUnknownTasks(Worker worker, List<WorkerProtocol.Command> commands) {
    for (WorkerProtocol.ReportedTask unknown : worker.unknownTasks()) {
      if (unknown.state() != WorkerProtocol.TaskState.EXITED) {
        commands.add(new WorkerProtocol.Stop(unknown.task(), unknown.attempt(), 0));
      } else if (worker.hasNoCommandInFlight()) {
        commands.add(new WorkerProtocol.Clear(unknown.task(), unknown.attempt()));
      }
    }
  }

  private static void addStopsAndClears(Worker worker, List<WorkerProtocol.Command> commands) {
    for (TaskAttempt attempt : worker.attempts()) {
      if (!attempt.live()) {
        // After a clear the worker no longer knows the attempt, so that a late copy of its start
        // would run it again: only where no such copy can be under way.
        if (attempt.isClearable() && worker.hasNoCommandInFlight()) {
          commands.add(new WorkerProtocol.Clear(attempt.task(), attempt.attempt()));
        }
      } else if (attempt.isStopping()) {
        commands.add(new WorkerProtocol.Stop(attempt.task(), attempt.attempt(), attempt.graceS()));
      }
    }
  }

  private static void addStarts(
      Worker worker, Predicate<TaskAttempt> startable, List<WorkerProtocol.Command> commands) {
    for (TaskAttempt attempt : worker.attempts()) {
      if (attempt.state() == TaskAttempt.State.STARTING
          && !attempt.isStopping()
          && startable.test(attempt)) {
        commands.add(new WorkerProtocol.Start(attempt.task(), attempt.attempt()));
      }
    }
  }

  private static void markSent(Worker worker, List<WorkerProtocol.Command> sent) {
    for (WorkerProtocol.Command command : sent) {
      TaskAttempt attempt = worker.attempt(command.task());
      if (command instanceof WorkerProtocol.Start) {
        attempt.markStartSent();
      } else if (command instanceof WorkerProtocol.Stop && attempt != null) {
        attempt.stopRequest().markSent();
      }
    }
  }

  /** Whether there are starts or stops that the worker was not sent yet. */
  static boolean hasUnsent(Worker worker) {
    for (TaskAttempt attempt : worker.attempts()) {
      if (attempt.state() == TaskAttempt.State.STARTING
          && !attempt.isStartSent()
          && !attempt.isStopping()) {
        return true;
      }
      if (attempt.stopRequest().isPending() && attempt.live()) {
        return true;
      }
    }
    return false;
  }
}
