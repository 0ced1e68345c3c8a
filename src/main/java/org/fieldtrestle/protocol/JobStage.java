package org.fieldtrestle.protocol;

/** The stage of a job in answers to its user. */
public enum JobStage {
  /** No task runs. */
  QUEUED("queued"),
  /** Some task runs. */
  RUNNING("running"),
  /** All tasks are done; final. */
  DONE("done"),
  /** The user has cancelled it; final. */
  CANCELLED("cancelled");

  private final String wireName;

  JobStage(String wireName) {
    this.wireName = wireName;
  }

  String wireName() {
    return wireName;
  }
}
