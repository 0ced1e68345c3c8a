/**
 * The users' HTTP interface: submission, status query and cancellation of jobs.
 *
 * <p>This package owns the reads that wait for the read barrier, the pending reads of finished
 * jobs, the cache of finished jobs, and the number of submissions in progress. Everything runs on
 * the controller's event loop. Only {@code controller} calls this package, through {@link
 * org.fieldtrestle.api.UserApi}; the package itself uses {@code context} and what lies below it.
 */
package org.fieldtrestle.api;
