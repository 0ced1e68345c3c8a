package org.fieldtrestle.protocol;

/** Free room of one kind in a zone, at one shard. */
public record FreeCapacity(String zone, double cpus, double gpus, double memoryGb) {}
