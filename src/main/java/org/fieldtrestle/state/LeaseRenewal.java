package org.fieldtrestle.state;

/** How the renewal of a lease went. */
public enum LeaseRenewal {
  /** The lease has its whole time again. */
  KEPT,
  /** There is no such lease any more. */
  ENDED,
  /** The store did not say, or was not reached; the lease may have been renewed or not. */
  NO_ANSWER
}
