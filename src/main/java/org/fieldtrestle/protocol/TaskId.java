package org.fieldtrestle.protocol;

/** One task of a job. */
public record TaskId(String job, int index) {
  /** Written out, as those that records are given cost several times as much. */
  @Override
  public boolean equals(Object other) {
    return other instanceof TaskId that && index == that.index && job.equals(that.job);
  }

  @Override
  public int hashCode() {
    return 31 * job.hashCode() + index;
  }

  @Override
  public String toString() {
    return job + "/" + index;
  }

  public static TaskId parse(String text) throws Json.MalformedJsonException {
    int slash = text.lastIndexOf('/');
    if (slash < 1 || text.length() - slash > 7) {
      throw new Json.MalformedJsonException("task");
    }
    try {
      int index = Integer.parseInt(text.substring(slash + 1));
      if (index < 0) {
        throw new Json.MalformedJsonException("task");
      }
      return new TaskId(text.substring(0, slash), index);
    } catch (NumberFormatException e) {
      throw new Json.MalformedJsonException("task");
    }
  }
}
