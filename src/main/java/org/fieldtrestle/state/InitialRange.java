package org.fieldtrestle.state;

import java.util.Map;

/**
 * Consecutive tasks of a job as they were first given to a shard; the components are those of
 * {@link RangeRecord}.
 */
public record InitialRange(
    String shard, long epoch, int from, int to, Map<String, Integer> zoneLimits) {}
