package org.fieldtrestle.protocol;

/**
 * A rented machine in the cloud's list.
 *
 * @param name name of the machine
 * @param address host and port of the machine's worker; empty if the cloud's list has none
 * @param type name of the machine type
 * @param spot whether this is a spot machine
 * @param starting whether the machine is still booting
 * @param failed whether the machine failed to boot and will never come up
 * @param ageS seconds since the rental
 */
public record ListedMachine(
    String name,
    String address,
    String type,
    String zone,
    boolean spot,
    boolean starting,
    boolean failed,
    double ageS) {}
