package org.fieldtrestle.state;

/** How a request for a lease went. */
public sealed interface LeaseGrant {

  /** The lease was granted under this id. */
  record Granted(long leaseId) implements LeaseGrant {}

  /** The store answered with another status than 200. */
  record Refused(int status) implements LeaseGrant {}

  /** No answer came, or none that can be used; a lease may exist that nobody will renew. */
  record Failed() implements LeaseGrant {}
}
