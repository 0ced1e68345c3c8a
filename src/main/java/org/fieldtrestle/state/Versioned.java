package org.fieldtrestle.state;

/**
 * A record and the version of its key, which a compare-and-swap uses as its condition. Version 0
 * means that the record is derived from another one and has no key of its own yet.
 */
public record Versioned<T>(T record, long version) {}
