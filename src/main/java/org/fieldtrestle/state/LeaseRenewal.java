package org.fieldtrestle.state;

/** How the renewal of a lease went. */
public enum LeaseRenewal {
  /** The lease has its whole time again. */
  RENEWED,
  /** There is no such lease any more. */
  EXPIRED,
  /** The store did not say, or was not reached; the lease may have been renewed or not. */
  UNKNOWN
}
