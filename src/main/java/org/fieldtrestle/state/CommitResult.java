package org.fieldtrestle.state;

import java.util.List;

/** What became of a transaction. */
public sealed interface CommitResult {

  /** It was executed; its changes have this revision. */
  record Committed(long revision) implements CommitResult {}

  /** It was not executed, as these keys had other versions at this revision. */
  record Conflict(List<String> keys, long revision) implements CommitResult {}

  /**
   * It was not executed, and other transactions may fare the same: limits, an outage, or a lease
   * that has ended. The status is 0 where it was never sent.
   */
  record Refused(int status) implements CommitResult {}

  /** It may have been executed, or may yet be. */
  record Uncertain() implements CommitResult {}
}
