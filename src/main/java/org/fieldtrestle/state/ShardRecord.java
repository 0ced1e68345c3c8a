package org.fieldtrestle.state;

import java.util.List;
import java.util.Optional;

/**
 * Which controller leads a shard; the version of the record is the shard's epoch.
 *
 * @param leader the controller's label
 * @param formerLeaders the labels of the controllers that had led the shard before and, when the
 *     record was written, might not have known yet that their terms had ended; no value if an
 *     earlier version of this program wrote the record, which did not store them
 */
public record ShardRecord(String leader, Optional<List<String>> formerLeaders) {

  /** Creates a record that states which former leaders may still act; the list may be empty. */
  public ShardRecord(String leader, List<String> formerLeaders) {
    this(leader, Optional.of(List.copyOf(formerLeaders)));
  }
}
