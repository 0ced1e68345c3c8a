package org.fieldtrestle.protocol;

/** Identifies a task of a job; {@code index} numbers the tasks of the job from 0. */
public record TaskId(String job, int index) {
  private static final int MAX_INDEX_DIGITS = 6;

  /**
   * Parses the form that {@link #toString} returns, such as {@code job-000412/3}.
   *
   * @throws MalformedJsonException if the text has another form
   */
  public static TaskId parse(String text) throws MalformedJsonException {
    int slash = text.lastIndexOf('/');
    if (slash < 1 || text.length() - slash - 1 > MAX_INDEX_DIGITS) {
      throw new MalformedJsonException("task");
    }
    try {
      int index = Integer.parseInt(text.substring(slash + 1));
      if (index < 0) {
        throw new MalformedJsonException("task");
      }
      return new TaskId(text.substring(0, slash), index);
    } catch (NumberFormatException e) {
      throw new MalformedJsonException("task");
    }
  }

  /** Replaces the record's generated method, which costs several times as much. */
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
}
