package org.fieldtrestle.transport;

import java.net.InetSocketAddress;

/** Reads addresses of the form {@code host:port}. */
public final class SocketAddresses {
  private SocketAddresses() {}

  /**
   * The socket address of a host and a port; a host name is resolved at once.
   *
   * @throws RuntimeException if the address has no port or an impossible one
   */
  @SuppressWarnings("AddressSelection") // any address of a host will do
  public static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
