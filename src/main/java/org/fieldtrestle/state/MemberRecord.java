package org.fieldtrestle.state;

/**
 * A running controller; the record exists under the controller's lease.
 *
 * @param bootId an id of this start of the process, which distinguishes a restarted controller from
 *     one that kept running
 * @param followedRevision a revision up to which the process had followed the store when it wrote
 *     the record, so that it does not act in a term that ended at or before this revision; 0 if
 *     none is known, as in the records of earlier versions of this program
 */
public record MemberRecord(String bootId, long followedRevision) {}
