package org.fieldtrestle.state;

import java.util.List;

/** The outcome of a transaction. */
public sealed interface CommitResult {

  /** The transaction was executed; its changes have this revision. */
  record Committed(long revision) implements CommitResult {}

  /** The transaction was not executed, because these keys had other versions at this revision. */
  record Conflict(List<String> keys, long revision) implements CommitResult {}

  /**
   * The transaction was not executed because of a limit, an outage, or a lease that has ended.
   * Other transactions may be refused for the same reason. The status is 0 if the request was never
   * sent.
   */
  record Refused(int status) implements CommitResult {}

  /** The transaction may have been executed, or may yet be executed. */
  record Uncertain() implements CommitResult {}
}
