package org.fieldtrestle.state;

/**
 * A running controller; the record is kept under its lease.
 *
 * @param bootId an id of this start of the process, so that a restarted controller differs from one
 *     that runs on
 */
public record MemberRecord(String bootId) {}
