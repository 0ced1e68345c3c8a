package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** What users upload: the descriptions of jobs, which machines fetch, and results that are kept. */
final class Jobs {
  /** A job whose tasks run until the test ends them or, if given, for some time. */
  record Job(
      String id,
      String jobClass,
      String team,
      String urgency,
      int tasks,
      double cpus,
      double memoryGb,
      String zone,
      boolean spot,
      String image,
      double imageGb,
      double expectedS,
      double dueS,
      long runMs,
      boolean together) {
    Job(
        String id,
        String jobClass,
        String team,
        String urgency,
        int tasks,
        double cpus,
        double memoryGb,
        String zone,
        boolean spot,
        String image,
        double imageGb,
        double expectedS,
        double dueS,
        long runMs) {
      this(id, jobClass, team, urgency, tasks, cpus, memoryGb, zone, spot, image, imageGb,
          expectedS, dueS, runMs, false);
    }

    ObjectNode submission() {
      ObjectNode json = Web.object().put("uid", id).put("lot", jobClass).put("crew", team);
      json.put("cut", "array").put("urgency", urgency).put("boards", tasks).put("cpus", cpus);
      json.put("gpus", 0.0).put("memoryGb", memoryGb).put("blueprint", image).put("pullGb", imageGb);
      json.putNull("rigs");
      json.put("yard", zone).put("together", together).put("scatter", false).put("loaners", spot);
      json.put("expectedS", expectedS).put("tallyS", 0.0).put("stackS", 0.0).put("dueS", dueS);
      return json;
    }
  }

  private final Map<String, Job> jobs = new ConcurrentHashMap<>();
  private final Set<String> results = ConcurrentHashMap.newKeySet();

  void upload(Job job) {
    jobs.put(job.id(), job);
  }

  Job of(String task) {
    Job job = jobs.get(task.substring(0, task.indexOf('/')));
    int index = Integer.parseInt(task.substring(task.indexOf('/') + 1));
    return job == null || index >= job.tasks() ? null : job;
  }

  void keepResult(String task) {
    results.add(task);
  }

  boolean hasResult(String task) {
    return results.contains(task);
  }
}
