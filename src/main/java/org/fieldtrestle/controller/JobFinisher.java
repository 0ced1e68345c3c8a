package org.fieldtrestle.controller;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.state.ActiveJob;
import org.fieldtrestle.state.CommitResult;
import org.fieldtrestle.state.Transaction;
import org.fieldtrestle.worker.JobCompletion;

/**
 * Finishes jobs whose ranges are all complete but which are not finished: two shards that complete
 * a job's last ranges at the same time may each see the other's as incomplete.
 */
final class JobFinisher {
  private final ControllerContext context;
  private final LocalShards shards;
  private final long pauseMs;
  private final Set<String> finishing = new HashSet<>();

  /**
   * @param pauseMs how long a job whose transaction was answered is not tried again
   */
  JobFinisher(ControllerContext context, LocalShards shards, long pauseMs) {
    this.context = context;
    this.shards = shards;
    this.pauseMs = pauseMs;
  }

  /** Finishes one such job at most, if this controller leads the shard of its first range. */
  void check() {
    if (!context.mayAct() || context.store().isCongested()) {
      return;
    }
    for (Map.Entry<String, ActiveJob> entry : context.stateCache().jobsById().entrySet()) {
      ActiveJob job = entry.getValue();
      if (job.isComplete()
          && shards.contains(job.ranges().firstEntry().getValue().record().shard())
          && !finishing.contains(entry.getKey())) {
        finish(entry.getKey());
        return;
      }
    }
  }

  private void finish(String job) {
    Optional<Transaction> ending = JobCompletion.ofCompleteJob(context, job);
    if (ending.isEmpty()) {
      return;
    }
    finishing.add(job);
    context
        .store()
        .commit(
            ending.get(),
            result -> {
              if (result instanceof CommitResult.Committed committed) {
                context.stateCache().applyCommit(ending.get().changes(), committed.revision());
              }
              context.reactor().schedule(pauseMs, () -> finishing.remove(job));
            });
  }
}
