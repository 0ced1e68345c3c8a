package org.fieldtrestle.state;

import org.fieldtrestle.protocol.KeyValueProtocol;

/** The outcome of a watch. */
public sealed interface WatchResult {

  /** All changes since the revision at which the watch began. */
  record Changes(KeyValueProtocol.Events events) implements WatchResult {}

  /** The store no longer keeps the changes since that revision. */
  record TooOld() implements WatchResult {}

  /** The store answered, but does not serve the watch now. */
  record NotServed() implements WatchResult {}

  /** No usable answer arrived. */
  record Failed() implements WatchResult {}
}
