package org.fieldtrestle.protocol;

/** The free resources of one shard's machines in a zone. */
public record FreeCapacity(String zone, double cpus, double gpus, double memoryGb) {}
