package org.fieldtrestle.state;

import org.fieldtrestle.protocol.KeyValueProtocol;

/** How a watch ended. */
public sealed interface WatchResult {

  /** All changes since the revision at which it began. */
  record Changes(KeyValueProtocol.Events events) implements WatchResult {}

  /** The changes since that revision are not kept any more. */
  record TooOld() implements WatchResult {}

  /** The store answers, but serves no watch now. */
  record NotServed() implements WatchResult {}

  /** No answer came, or none that can be used. */
  record Failed() implements WatchResult {}
}
