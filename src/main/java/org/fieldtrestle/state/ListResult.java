package org.fieldtrestle.state;

import org.fieldtrestle.protocol.KeyValueProtocol;

/** How reading a page of keys went. */
public sealed interface ListResult {

  /** The page. */
  record Listed(KeyValueProtocol.Listing page) implements ListResult {}

  /** The store answered with another status than 200. */
  record Refused(int status) implements ListResult {}

  /** No answer came, or none that can be used. */
  record Failed() implements ListResult {}
}
