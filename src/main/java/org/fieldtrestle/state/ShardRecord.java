package org.fieldtrestle.state;

/**
 * Which controller leads a shard; the version of the record is the shard's epoch.
 *
 * @param leader the controller's label
 */
public record ShardRecord(String leader) {}
