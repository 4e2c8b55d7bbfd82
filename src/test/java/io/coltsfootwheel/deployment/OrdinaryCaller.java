package io.coltsfootwheel.deployment;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Client within all limits that sends one request on a connection of its own. */
final class OrdinaryCaller {
  private static final int CONNECT_MILLIS = 1_000;
  private static final int READ_MILLIS = 4_000;
  private static final int STATUS_BEGIN = "HTTP/1.1 ".length();
  private static final int STATUS_END = STATUS_BEGIN + 3;

  private static final int MAX_RESPONSE_BYTES = 1024 * 1024;

  private OrdinaryCaller() {}

  static String get(String host, String path) {
    return """
        GET %s HTTP/1.1\r
        Host: %s\r
        Connection: close\r
        X-Coltsfootwheel-Request-Id: 1\r
        X-Coltsfootwheel-Request-Deadline-Ms: 3000\r
        \r
        """
        .formatted(path, host);
  }

  static String post(String path, String ifMatch, String body) {
    return """
        POST %s HTTP/1.1\r
        Host: control\r
        Connection: close\r
        If-Match: %s\r
        Content-Type: application/json\r
        Content-Length: %d\r
        \r
        %s"""
        .formatted(path, ifMatch, body.length(), body);
  }

  /** Returns the status of the response, or 0 without a complete response. */
  static int status(InetSocketAddress server, String request) {
    String response =
        new String(
            exchange(server, request.getBytes(StandardCharsets.US_ASCII), MAX_RESPONSE_BYTES),
            StandardCharsets.US_ASCII);
    return response.length() < STATUS_END
        ? 0
        : Integer.parseInt(response.substring(STATUS_BEGIN, STATUS_END));
  }

  /**
   * Returns what the server sends, up to a number of bytes or until it closes the connection;
   * nothing after a failure.
   */
  static byte[] exchange(InetSocketAddress server, byte[] request, int maxBytes) {
    try (Socket socket = new Socket()) {
      socket.connect(server, CONNECT_MILLIS);
      socket.setSoTimeout(READ_MILLIS);
      socket.getOutputStream().write(request);
      InputStream in = socket.getInputStream();
      return in.readNBytes(maxBytes);
    } catch (IOException e) {
      return new byte[0];
    }
  }
}
