package org.fieldtrestle.state;

import java.util.Map;

/**
 * Consecutive tasks of a job as they were first assigned to a shard; the components have the same
 * meaning as those of {@link RangeRecord}.
 */
public record InitialRange(
    String shard, long epoch, int from, int to, Map<String, Integer> zoneLimits) {}
