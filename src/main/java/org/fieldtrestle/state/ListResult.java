package org.fieldtrestle.state;

import org.fieldtrestle.protocol.KeyValueProtocol;

/** The outcome of reading a page of keys. */
public sealed interface ListResult {

  /** The page was read. */
  record Listed(KeyValueProtocol.Listing page) implements ListResult {}

  /** The store answered with a status other than 200. */
  record Refused(int status) implements ListResult {}

  /** No usable answer arrived. */
  record Failed() implements ListResult {}
}
