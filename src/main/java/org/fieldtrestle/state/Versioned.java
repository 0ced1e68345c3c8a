package org.fieldtrestle.state;

/**
 * A record and the version of its key, which a compare-and-swap names as its condition. Version 0
 * is a record that follows from another one and has no key of its own yet.
 */
public record Versioned<T>(T record, long version) {}
