package org.fieldtrestle.state;

/** The outcome of a request for a lease. */
public sealed interface LeaseGrant {

  /** The lease was granted under this id. */
  record Granted(long leaseId) implements LeaseGrant {}

  /** The store answered with a status other than 200. */
  record Refused(int status) implements LeaseGrant {}

  /** No usable answer arrived; the store may have granted a lease that will never be renewed. */
  record Failed() implements LeaseGrant {}
}
