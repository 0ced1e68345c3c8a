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
 * Finishes jobs whose ranges are all complete but which have not been finished. This happens when
 * two shards complete the last two ranges of a job at the same time: each may still see the other's
 * range as incomplete.
 */
final class JobFinisher {
  private final ControllerContext context;
  private final LocalShards shards;
  private final long retryDelayMs;
  private final Set<String> finishing = new HashSet<>();

  /**
   * @param retryDelayMs time from the answer to a job's transaction until the job may be tried
   *     again
   */
  JobFinisher(ControllerContext context, LocalShards shards, long retryDelayMs) {
    this.context = context;
    this.shards = shards;
    this.retryDelayMs = retryDelayMs;
  }

  /**
   * Finishes at most one such job, whose first range has to belong to a shard that this controller
   * leads.
   */
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
    Optional<Transaction> completion = JobCompletion.ofCompleteJob(context, job);
    if (completion.isEmpty()) {
      return;
    }
    finishing.add(job);
    context
        .store()
        .commit(
            completion.get(),
            result -> {
              if (result instanceof CommitResult.Committed committed) {
                context.stateCache().applyCommit(completion.get().changes(), committed.revision());
              }
              context.reactor().schedule(retryDelayMs, () -> finishing.remove(job));
            });
  }
}
