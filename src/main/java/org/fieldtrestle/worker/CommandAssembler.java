package org.fieldtrestle.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.fieldtrestle.protocol.TaskState;
import org.fieldtrestle.protocol.TaskStatus;
import org.fieldtrestle.protocol.WorkerCommand;

/** Assembles the commands for a worker: stops and clears first, then starts. */
final class CommandAssembler {
  /** Maximum number of commands in a message. */
  private static final int MAX_COMMANDS = 200;

  private CommandAssembler() {}

  /**
   * Returns the commands for a worker, which count as sent from now on.
   *
   * @param startable whether an attempt that is to be started may be started now
   */
  static List<WorkerCommand> assemble(Worker worker, Predicate<TaskAttempt> startable) {
    List<WorkerCommand> commands = new ArrayList<>();
    addForUnknownTasks(worker, commands);
    addStopsAndClears(worker, commands);
    addStarts(worker, startable, commands);
    List<WorkerCommand> sent =
        commands.size() > MAX_COMMANDS ? commands.subList(0, MAX_COMMANDS) : commands;
    markSent(worker, sent);
    return sent;
  }

  private static void addForUnknownTasks(Worker worker, List<WorkerCommand> commands) {
    for (TaskStatus unknown : worker.unknownTasks()) {
      if (unknown.state() != TaskState.EXITED) {
        commands.add(new WorkerCommand.Stop(unknown.task(), unknown.attempt(), 0));
      } else if (worker.fencing().mayClear(unknown.task(), unknown.attempt())) {
        commands.add(new WorkerCommand.Clear(unknown.task(), unknown.attempt()));
      }
    }
  }

  private static void addStopsAndClears(Worker worker, List<WorkerCommand> commands) {
    for (TaskAttempt attempt : worker.attempts()) {
      if (!attempt.isLive()) {
        // After a clear the worker no longer knows the attempt, and a copy of its start command
        // would run it again.
        if (attempt.isClearable()
            && worker.fencing().mayClear(attempt.task(), attempt.attemptNumber())) {
          commands.add(new WorkerCommand.Clear(attempt.task(), attempt.attemptNumber()));
        }
      } else if (attempt.isStopping()) {
        commands.add(
            new WorkerCommand.Stop(attempt.task(), attempt.attemptNumber(), attempt.graceS()));
      }
    }
  }

  private static void addStarts(
      Worker worker, Predicate<TaskAttempt> startable, List<WorkerCommand> commands) {
    for (TaskAttempt attempt : worker.attempts()) {
      if (attempt.state() == TaskAttempt.State.STARTING
          && !attempt.isStopping()
          && startable.test(attempt)) {
        commands.add(new WorkerCommand.Start(attempt.task(), attempt.attemptNumber()));
      }
    }
  }

  private static void markSent(Worker worker, List<WorkerCommand> sent) {
    for (WorkerCommand command : sent) {
      TaskAttempt attempt = worker.attempt(command.task());
      if (command instanceof WorkerCommand.Start) {
        attempt.markStartSent();
      } else if (command instanceof WorkerCommand.Stop && attempt != null) {
        attempt.stopRequest().markSent();
      }
    }
  }

  /** Whether there are start or stop commands that were not sent to the worker yet. */
  static boolean hasUnsent(Worker worker) {
    for (TaskAttempt attempt : worker.attempts()) {
      if (attempt.state() == TaskAttempt.State.STARTING
          && !attempt.isStartSent()
          && !attempt.isStopping()) {
        return true;
      }
      if (attempt.stopRequest().isPending() && attempt.isLive()) {
        return true;
      }
    }
    return false;
  }
}
