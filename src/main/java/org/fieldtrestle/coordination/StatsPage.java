package org.fieldtrestle.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.transport.WorkMeter;

/** The read-only page for those on call: what this controller does, and how long it takes. */
final class StatsPage {
  private StatsPage() {}

  static byte[] render(Node node, Collection<Master> masters) {
    Stats stats = node.stats();
    ObjectNode page = Json.object();
    page.put("controller", node.settings().label());
    page.put("acting", node.acting());
    page.put("revision", node.view().followed());
    Fence fence = node.membership().fence();
    page.put("leaseAgeMs", fence.leaseAgeMs());
    page.put("stateAgeMs", fence.stateAgeMs());
    page.put("fenceOpenings", fence.openings());
    page.put("liveJobs", node.view().jobs().size());
    ObjectNode held = page.putObject("masters");
    for (Master master : masters) {
      ObjectNode one = held.putObject(master.name);
      one.put("epoch", master.epoch);
      one.put("machines", master.machines().count());
      one.put("ranges", master.ranges().count());
      int waiting = 0;
      int placed = 0;
      for (OwnedRange range : master.ranges().all()) {
        waiting += range.waiting();
        placed += range.placed.size();
      }
      one.put("tasksWaiting", waiting);
      one.put("tasksOnMachines", placed);
    }
    ObjectNode counts = page.putObject("counts");
    counts.put("placed", stats.placed);
    counts.put("fetches", stats.fetches);
    counts.put("evicted", stats.evicted);
    counts.put("lost", stats.lost);
    counts.put("rented", stats.rented);
    counts.put("returned", stats.returned);
    counts.put("refusedSubmissions", stats.refusedSubmissions);
    putCancellations(page.putObject("cancellations"), node.cancellations());
    ObjectNode refused = page.putObject("startsRefused");
    for (CommandPolicy.StartRefusal reason : CommandPolicy.StartRefusal.values()) {
      refused.put(
          reason.name().toLowerCase(Locale.ROOT), stats.startsRefused.getOrDefault(reason, 0L));
    }
    putQuestions(page.putObject("questions"), stats.questions);
    ObjectNode work = page.putObject("work");
    for (WorkMeter.Work kind : WorkMeter.Work.values()) {
      work.putObject(kind.printedName())
          .put("count", stats.work.count(kind))
          .put("ms", Math.round(stats.work.millis(kind)));
    }
    ObjectNode latencies = page.putObject("latencyMs");
    put(latencies, "submit", stats.submitMs);
    put(latencies, "poll", stats.pollMs);
    put(latencies, "startWait", stats.startWaitMs);
    put(latencies, "placementPass", stats.passMs);
    put(latencies, "stateService", node.store().latency());
    return Json.bytes(page);
  }

  private static void putCancellations(ObjectNode page, Cancellations cancellations) {
    page.put("confirmedHere", cancellations.confirmedCount());
    page.put("notFollowedYet", cancellations.notFollowedCount());
    page.put("heardFromOthers", cancellations.heardCount());
  }

  private static void putQuestions(ObjectNode page, QuestionStats questions) {
    page.put("answered", questions.answered());
    page.put("longestSpellMs", questions.longestSpellMs());
    ObjectNode unanswered = page.putObject("unanswered");
    for (QuestionStats.Unanswered reason : QuestionStats.Unanswered.values()) {
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
