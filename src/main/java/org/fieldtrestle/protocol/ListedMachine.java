package org.fieldtrestle.protocol;

/**
 * A rented machine as the cloud lists it.
 *
 * @param machine its name
 * @param address host and port of its worker; empty where the cloud does not say
 * @param type the machine type's name
 * @param spot whether it is a spot machine
 * @param starting whether it still boots
 * @param failed whether it will never come up
 * @param ageS seconds since the rental
 */
public record ListedMachine(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    boolean starting,
    boolean failed,
    double ageS) {}
