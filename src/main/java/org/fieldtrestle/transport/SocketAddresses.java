package org.fieldtrestle.transport;

import java.net.InetSocketAddress;

/** Parses addresses of the form {@code host:port}. */
public final class SocketAddresses {
  private SocketAddresses() {}

  /**
   * Returns the socket address of a host and a port. A host name is resolved immediately.
   *
   * @throws RuntimeException if the address has no port or an invalid port
   */
  @SuppressWarnings("AddressSelection") // any address of a host will do
  public static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
