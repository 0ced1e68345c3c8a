package org.fieldtrestle.state;

/**
 * A running controller; the record exists under the controller's lease.
 *
 * @param bootId an id of this start of the process, which distinguishes a restarted controller from
 *     one that kept running
 */
public record MemberRecord(String bootId) {}
