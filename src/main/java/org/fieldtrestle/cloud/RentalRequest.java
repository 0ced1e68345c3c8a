package org.fieldtrestle.cloud;

/**
 * A request to rent machines.
 *
 * @param id the name of the request; the cloud executes it once, and repeats its answer under the
 *     same name
 * @param type name of the machine type
 * @param zone the zone of the machines
 * @param spot whether they may be spot machines
 * @param count the most machines that are wanted
 */
public record RentalRequest(String id, String type, String zone, boolean spot, int count) {}
