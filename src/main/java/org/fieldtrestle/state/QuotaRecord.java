package org.fieldtrestle.state;

import java.util.Map;

/** A team's quota as it is split over the shards, by shard. */
public record QuotaRecord(Map<String, QuotaShare> shares) {}
