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

/** The read-only page for those on call: what this controller does, and how long it takes. */
public final class StatsPage {
  private StatsPage() {}

  public static byte[] render(ControllerContext context, Collection<ShardLeader> shards) {
    ControllerMetrics metrics = context.metrics();
    ObjectNode page = Json.object();
    page.put("controller", context.settings().label());
    page.put("acting", context.mayAct());
    page.put("revision", context.stateCache().appliedRevision());
    LeadershipFence fence = context.membership().fence();
    page.put("leaseAgeMs", fence.leaseAgeMs());
    page.put("stateAgeMs", fence.stateAgeMs());
    page.put("fenceOpenings", fence.openings());
    page.put("liveJobs", context.stateCache().jobs().size());
    ObjectNode held = page.putObject("masters");
    for (ShardLeader shard : shards) {
      ObjectNode one = held.putObject(shard.name());
      one.put("epoch", shard.epoch());
      one.put("machines", shard.workers().count());
      one.put("ranges", shard.ranges().count());
      int waiting = 0;
      int placed = 0;
      for (TaskRange range : shard.ranges().all()) {
        waiting += range.waiting();
        placed += range.placed().size();
      }
      one.put("tasksWaiting", waiting);
      one.put("tasksOnMachines", placed);
    }
    ObjectNode counts = page.putObject("counts");
    counts.put("placed", metrics.placed);
    counts.put("fetches", metrics.fetches);
    counts.put("evicted", metrics.evicted);
    counts.put("lost", metrics.lost);
    counts.put("rented", metrics.rented);
    counts.put("returned", metrics.returned);
    counts.put("refusedSubmissions", metrics.refusedSubmissions);
    putCancellations(page.putObject("cancellations"), context.cancellations());
    ObjectNode refused = page.putObject("startsRefused");
    for (StartRefusal reason : StartRefusal.values()) {
      refused.put(
          reason.name().toLowerCase(Locale.ROOT), metrics.startsRefused.getOrDefault(reason, 0L));
    }
    putQuestions(page.putObject("questions"), metrics.questions);
    ObjectNode work = page.putObject("work");
    for (EventLoopMeter.Work kind : EventLoopMeter.Work.values()) {
      work.putObject(kind.printedName())
          .put("count", metrics.work.count(kind))
          .put("ms", Math.round(metrics.work.millis(kind)));
    }
    ObjectNode latencies = page.putObject("latencyMs");
    put(latencies, "submit", metrics.submitMs);
    put(latencies, "poll", metrics.pollMs);
    put(latencies, "startWait", metrics.startWaitMs);
    put(latencies, "placementPass", metrics.passMs);
    put(latencies, "stateService", context.store().latency());
    return Json.bytes(page);
  }

  private static void putCancellations(ObjectNode page, CancellationNotices cancellations) {
    page.put("confirmedHere", cancellations.confirmedCount());
    page.put("notFollowedYet", cancellations.notFollowedCount());
    page.put("heardFromOthers", cancellations.heardCount());
  }

  private static void putQuestions(ObjectNode page, JobQueryMetrics questions) {
    page.put("answered", questions.answered());
    page.put("longestSpellMs", questions.longestSpellMs());
    ObjectNode unanswered = page.putObject("unanswered");
    for (JobQueryMetrics.Unanswered reason : JobQueryMetrics.Unanswered.values()) {
      unanswered.put(reason.name().toLowerCase(Locale.ROOT), questions.unanswered(reason));
    }
  }

  private static void put(ObjectNode parent, String name, Histogram histogram) {
    ObjectNode one = parent.putObject(name);
    one.put("count", histogram.getTotalCount());
    one.put("p50", histogram.getValueAtPercentile(50));
    one.put("p95", histogram.getValueAtPercentile(95));
    one.put("p99", histogram.getValueAtPercentile(99));
    one.put("max", histogram.getMaxValue());
  }
}
