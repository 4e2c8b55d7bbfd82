package io.coltsfootwheel.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

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

  private static final Pattern IPV4_HOST =
      Pattern.compile("((25[0-5]|2[0-4]\\d|[01]?\\d?\\d)(\\.(?!$)|$)){4}");

  /** Does not find every invalid IPv6 address, but no text with two colons is a host name. */
  private static final Pattern IPV6_HOST =
      Pattern.compile("[0-9A-Fa-f.]*:[0-9A-Fa-f.]*:[0-9A-Fa-f:.]*");

  private static final int MAX_NUMERIC_HOST_LENGTH = 45;

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

  /**
   * Parses the address of another process. A host name is rejected: its resolution would block the
   * thread that connects.
   *
   * @param text an IP address and a port, IPv6 hosts in brackets
   * @return the address
   * @throws ColtsfootwheelException with {@link ErrorKind#INVALID_VALUE} when the text is not valid
   */
  public static Address parseNumeric(String text) {
    Address address = parse(text);
    if (!address.isNumeric()) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_VALUE, "address '" + text + "' has no IP address");
    }
    return address;
  }

  /**
   * Returns whether the host is an IP address and not a name that has to be resolved.
   *
   * @return true for an IP address
   */
  public boolean isNumeric() {
    return host.length() <= MAX_NUMERIC_HOST_LENGTH
        && (IPV4_HOST.matcher(host).matches() || IPV6_HOST.matcher(host).matches());
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
