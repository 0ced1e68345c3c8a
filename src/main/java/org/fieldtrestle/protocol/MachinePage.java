package org.fieldtrestle.protocol;

import java.util.List;

/**
 * A page of the cloud's list of rented machines; {@code hasMore} tells whether further pages
 * follow.
 */
public record MachinePage(List<ListedMachine> machines, boolean hasMore) {}
