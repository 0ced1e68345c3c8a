package org.fieldtrestle.state;

/** The outcome of the renewal of a lease. */
public enum LeaseRenewal {
  /** The lease has its full time to live again. */
  RENEWED,
  /** The lease no longer exists. */
  EXPIRED,
  /** No usable answer arrived; the lease may have been renewed or not. */
  UNKNOWN
}
