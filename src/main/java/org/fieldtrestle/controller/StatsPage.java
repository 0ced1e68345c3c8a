package org.fieldtrestle.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.leadership.CancellationNotices;
import org.fieldtrestle.leadership.LeadershipFence;
import org.fieldtrestle.metrics.ControllerMetrics;
import org.fieldtrestle.metrics.JobQueryMetrics;
import org.fieldtrestle.metrics.StartRefusal;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.shard.ShardLeader;
import org.fieldtrestle.transport.EventLoopMeter;
import org.fieldtrestle.worker.TaskRange;

/**
 * The read-only statistics page for operators. Operators' scripts read its keys, so the keys do not
 * change, even where the code now uses other names.
 */
public final class StatsPage {
  private StatsPage() {}

  /** Returns the page as JSON. */
  public static byte[] render(ControllerContext context, Collection<ShardLeader> shards) {
    ControllerMetrics metrics = context.metrics();
    ObjectNode page = Json.object();
    putLeadership(page, context);
    putShardLeaders(page.putObject("masters"), shards);
    putCounts(page.putObject("counts"), metrics);
    putCancellations(page.putObject("cancellations"), context.cancellations());
    putStartsRefused(page.putObject("startsRefused"), metrics);
    putJobQueries(page.putObject("questions"), metrics.jobQueries);
    putEventLoopWork(page.putObject("work"), metrics.eventLoopMeter);
    putLatencies(page.putObject("latencyMs"), context);
    return Json.bytes(page);
  }

  private static void putLeadership(ObjectNode page, ControllerContext context) {
    LeadershipFence fence = context.membership().fence();
    page.put("controller", context.settings().label());
    page.put("acting", context.mayAct());
    page.put("revision", context.stateCache().appliedRevision());
    page.put("leaseAgeMs", fence.leaseAgeMs());
    page.put("stateAgeMs", fence.stateAgeMs());
    page.put("fenceOpenings", fence.openings());
    page.put("liveJobs", context.stateCache().jobs().size());
  }

  private static void putShardLeaders(ObjectNode parent, Collection<ShardLeader> shards) {
    for (ShardLeader shard : shards) {
      int waitingTasks = 0;
      int placedTasks = 0;
      for (TaskRange range : shard.ranges().all()) {
        waitingTasks += range.waitingCount();
        placedTasks += range.placed().size();
      }
      parent
          .putObject(shard.name())
          .put("epoch", shard.epoch())
          .put("machines", shard.workers().count())
          .put("ranges", shard.ranges().count())
          .put("tasksWaiting", waitingTasks)
          .put("tasksOnMachines", placedTasks);
    }
  }

  private static void putCounts(ObjectNode parent, ControllerMetrics metrics) {
    parent.put("placed", metrics.placed());
    parent.put("fetches", metrics.imageFetches());
    parent.put("evicted", metrics.preempted());
    parent.put("lost", metrics.lost());
    parent.put("rented", metrics.rented());
    parent.put("returned", metrics.returned());
    parent.put("refusedSubmissions", metrics.refusedSubmissions());
    parent.put("tokensRaisedBeforeClear", metrics.tokensRaisedBeforeClear());
    parent.put("absentButMayStart", metrics.absentButMayStart());
  }

  private static void putCancellations(ObjectNode parent, CancellationNotices cancellations) {
    parent.put("confirmedHere", cancellations.confirmedCount());
    parent.put("notFollowedYet", cancellations.unappliedCount());
    parent.put("heardFromOthers", cancellations.receivedNoticeCount());
  }

  private static void putStartsRefused(ObjectNode parent, ControllerMetrics metrics) {
    for (StartRefusal reason : StartRefusal.values()) {
      parent.put(reason.name().toLowerCase(Locale.ROOT), metrics.startsRefused(reason));
    }
  }

  private static void putJobQueries(ObjectNode parent, JobQueryMetrics queries) {
    parent.put("answered", queries.answeredCount());
    parent.put("longestSpellMs", queries.longestOutageMs());
    ObjectNode unanswered = parent.putObject("unanswered");
    for (JobQueryMetrics.Unanswered reason : JobQueryMetrics.Unanswered.values()) {
      unanswered.put(reason.name().toLowerCase(Locale.ROOT), queries.unansweredCount(reason));
    }
  }

  private static void putEventLoopWork(ObjectNode parent, EventLoopMeter meter) {
    for (EventLoopMeter.Activity activity : EventLoopMeter.Activity.values()) {
      parent
          .putObject(activity.printedName())
          .put("count", meter.count(activity))
          .put("ms", Math.round(meter.totalMs(activity)));
    }
  }

  private static void putLatencies(ObjectNode parent, ControllerContext context) {
    ControllerMetrics metrics = context.metrics();
    putHistogram(parent, "submit", metrics.submissionMs);
    putHistogram(parent, "poll", metrics.jobQueryMs);
    putHistogram(parent, "startWait", metrics.startWaitMs);
    putHistogram(parent, "placementPass", metrics.placementPassMs);
    putHistogram(parent, "stateService", context.store().latency());
  }

  private static void putHistogram(ObjectNode parent, String name, Histogram histogram) {
    parent
        .putObject(name)
        .put("count", histogram.getTotalCount())
        .put("p50", histogram.getValueAtPercentile(50))
        .put("p95", histogram.getValueAtPercentile(95))
        .put("p99", histogram.getValueAtPercentile(99))
        .put("max", histogram.getMaxValue());
  }
}
