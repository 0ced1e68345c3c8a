import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The jobs that users have submitted: their descriptions, and how long their tasks run. */
final class Jobs {
  /** A job; {@code runS} has the run time of each task. */
  static final class Job {
    final String id;
    final ObjectNode body;
    final List<Double> runS;

    Job(String id, ObjectNode body, List<Double> runS) {
      this.id = id;
      this.body = body;
      this.runS = runS;
    }

    double cpus() {
      return body.path("cpus").asDouble();
    }

    double memoryGb() {
      return body.path("memoryGb").asDouble();
    }

    String team() {
      return body.path("crew").asText();
    }
  }

  private final Map<String, Job> jobs = new ConcurrentHashMap<>();

  /** Describes a job of one class; the fields that matter to a case are set by the caller. */
  Job create(String id, String lot, String team, double cpus, double memoryGb, List<Double> runS) {
    ObjectNode body = Web.JSON.createObjectNode();
    body.put("uid", id).put("lot", lot).put("crew", team).put("cut", "array");
    body.put("urgency", "normal").put("boards", runS.size());
    body.put("cpus", cpus).put("gpus", 0.0).put("memoryGb", memoryGb);
    body.put("blueprint", "img-01").put("pullGb", 0.5);
    body.putNull("rigs").putNull("yard");
    body.put("together", false).put("scatter", false).put("loaners", true);
    body.put("expectedS", runS.stream().mapToDouble(s -> s).average().orElse(1));
    body.put("tallyS", 0.0).put("stackS", 0.0);
    body.putNull("dueS");
    Job job = new Job(id, body, runS);
    jobs.put(id, job);
    return job;
  }

  Job get(String id) {
    return jobs.get(id);
  }

  Job ofTask(String task) {
    return jobs.get(task.substring(0, task.lastIndexOf('/')));
  }

  static int index(String task) {
    return Integer.parseInt(task.substring(task.lastIndexOf('/') + 1));
  }
}
