package org.fieldtrestle.protocol;

/** The stage of a job, as answers to users report it. */
public enum JobStage {
  /** No task runs. */
  QUEUED("queued"),
  /** At least one task runs. */
  RUNNING("running"),
  /** All tasks are done. This stage is final. */
  DONE("done"),
  /** The user has cancelled the job. This stage is final. */
  CANCELLED("cancelled");

  private final String wireName;

  JobStage(String wireName) {
    this.wireName = wireName;
  }

  String wireName() {
    return wireName;
  }
}
