package org.fieldtrestle.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.Priority;

/** Splits of jobs over shards with random free resources. */
class JobSplitterTest {
  private static JobSpec job(int tasks, boolean spread) {
    return new JobSpec(
        "job-1",
        "c",
        "t",
        JobSpec.Kind.ARRAY,
        Priority.NORMAL,
        tasks,
        4,
        0,
        8,
        "img",
        1,
        List.of(),
        null,
        false,
        spread,
        true,
        30,
        0,
        0,
        -1);
  }

  @Property(tries = 300, seed = "21")
  void everyTaskIsInExactlyOnePart(
      @ForAll @IntRange(min = 1, max = 100_000) int tasks,
      @ForAll boolean spread,
      @ForAll @Size(min = 1, max = 5) List<@IntRange(max = 400) Integer> freeTasks,
      @ForAll @IntRange(min = 5_000, max = 25_000) int maxTasksPerPart) {
    List<JobSplitter.Candidate> candidates = new ArrayList<>();
    for (int i = 0; i < freeTasks.size(); i++) {
      candidates.add(new JobSplitter.Candidate("m" + i, freeTasks.get(i), 10.0 * i, 100));
    }
    JobSpec job = job(tasks, spread);
    List<JobSplitter.Part> parts =
        JobSplitter.split(job, candidates, maxTasksPerPart, List.of("a", "b"));
    int next = 0;
    int limitA = 0;
    int limitB = 0;
    for (JobSplitter.Part part : parts) {
      assertEquals(next, part.from());
      assertTrue(part.to() > part.from() && part.to() - part.from() <= maxTasksPerPart);
      next = part.to();
      limitA += part.zoneLimits().getOrDefault("a", 0);
      limitB += part.zoneLimits().getOrDefault("b", 0);
      if (spread) {
        assertTrue(
            part.zoneLimits().values().stream().anyMatch(limit -> limit > 0), "can run at all");
      }
    }
    assertEquals(tasks, next);
    if (spread) {
      assertTrue(limitA <= job.zoneLimit() && limitB <= job.zoneLimit());
    }
  }
}
