package org.fieldtrestle.cloud;

/**
 * A request to rent machines.
 *
 * @param id the identifier of the request; the cloud executes requests with the same identifier
 *     only once and repeats its answer
 * @param type the name of the machine type
 * @param zone the zone of the machines
 * @param spot whether spot machines are requested
 * @param count the maximum number of machines to rent
 */
public record RentalRequest(String id, String type, String zone, boolean spot, int count) {}
