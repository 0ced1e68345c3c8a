import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Which tasks are on which machines, as PROTOCOL counts it: from the moment a task has its image
 * until it exits, is killed, or its machine is gone.
 */
final class Running {
  private final Records records;
  private final Jobs jobs;
  private final Map<String, TreeSet<String>> machinesByTask = new LinkedHashMap<>();
  private final List<String> ranTwice = new ArrayList<>();
  private final Map<String, Double> peakByTeam = new LinkedHashMap<>();
  private final Map<String, Integer> starts = new LinkedHashMap<>();
  private final TreeSet<String> done = new TreeSet<>();

  Running(Records records, Jobs jobs) {
    this.records = records;
    this.jobs = jobs;
  }

  synchronized void started(String task, String machine) {
    TreeSet<String> machines = machinesByTask.computeIfAbsent(task, t -> new TreeSet<>());
    starts.merge(task, 1, Integer::sum);
    if (!machines.isEmpty()) {
      String seen = task + " starts on " + machine + " while it is on " + machines;
      ranTwice.add(seen);
      records.line("RULE", "ran_twice: " + seen);
    }
    machines.add(machine);
    String team = jobs.ofTask(task).team();
    double used = used(team);
    peakByTeam.merge(team, used, Math::max);
    records.line(
        machine, "runs " + task + "; " + team + " now uses " + used + " CPUs on all machines");
  }

  synchronized void ended(String task, String machine, String why) {
    TreeSet<String> machines = machinesByTask.get(task);
    if (machines != null && machines.remove(machine)) {
      if (why.equals("done")) {
        done.add(task);
      }
      records.line(machine, "no longer has " + task + ": " + why);
    }
  }

  private double used(String team) {
    double used = 0;
    for (Map.Entry<String, TreeSet<String>> entry : machinesByTask.entrySet()) {
      Jobs.Job job = jobs.ofTask(entry.getKey());
      used += job.team().equals(team) ? job.cpus() * entry.getValue().size() : 0;
    }
    return used;
  }

  synchronized double usedNow(String team) {
    return used(team);
  }

  synchronized List<String> ranTwice() {
    return List.copyOf(ranTwice);
  }

  synchronized double peak(String team) {
    return peakByTeam.getOrDefault(team, 0.0);
  }

  synchronized int starts(String task) {
    return starts.getOrDefault(task, 0);
  }

  synchronized boolean isDone(String task) {
    return done.contains(task);
  }

  /** Returns how many tasks of a job are on machines. */
  synchronized int onMachines(String job) {
    int count = 0;
    for (Map.Entry<String, TreeSet<String>> entry : machinesByTask.entrySet()) {
      count += entry.getKey().startsWith(job + "/") ? entry.getValue().size() : 0;
    }
    return count;
  }

  /** Returns the machines that have tasks of a job. */
  synchronized TreeSet<String> machinesOf(String job) {
    TreeSet<String> machines = new TreeSet<>();
    machinesByTask.forEach(
        (task, on) -> {
          if (task.startsWith(job + "/")) {
            machines.addAll(on);
          }
        });
    return machines;
  }

  synchronized int doneOf(String job) {
    return (int) done.stream().filter(task -> task.startsWith(job + "/")).count();
  }
}
