package io.coltsfootwheel.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * IP address and TCP port.
 *
 * <p>Usage: {@code Address.parse("127.0.0.1:8080")}.
 *
 * @param host IP address, IPv6 without brackets
 * @param port 1 to 65535
 */
public record Address(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /** Checks the port and that the host is not blank. */
  public Address {
    if (host == null || host.isBlank() || port < 1 || port > MAX_PORT) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_VALUE, "address '" + host + ":" + port + "' is not IP:port");
    }
  }

  /**
   * Parses {@code host:port}.
   *
   * @param text the text, IPv6 hosts in brackets
   * @return the address
   * @throws ColtsfootwheelException with {@link ErrorKind#INVALID_VALUE} when the text is not valid
   */
  @JsonCreator
  public static Address parse(String text) {
    int colon = text == null ? -1 : text.lastIndexOf(':');
    if (colon < 1) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_VALUE, "address '" + text + "' is not IP:port");
    }
    String host = text.substring(0, colon).replace("[", "").replace("]", "");
    return new Address(host, parsePort(text, text.substring(colon + 1)));
  }

  private static int parsePort(String text, String port) {
    try {
      return Integer.parseInt(port);
    } catch (NumberFormatException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_VALUE, "address '" + text + "' has no numeric port");
    }
  }

  @JsonValue
  @Override
  public String toString() {
    return host.indexOf(':') >= 0 ? "[" + host + "]:" + port : host + ":" + port;
  }
}
