package org.fieldtrestle.protocol;

import java.util.List;

/**
 * A page of the cloud's list of rented machines; {@code more} tells whether further pages follow.
 */
public record MachinePage(List<ListedMachine> machines, boolean more) {}
