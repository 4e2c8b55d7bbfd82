package io.coltsfootwheel.bench;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 responses from a blocking connection without retries or reconnects. */
public final class HttpResponseReader {
  /**
   * Complete response.
   *
   * @param status HTTP status
   * @param headers headers by name in lower case
   * @param body body
   */
  public record Response(int status, Map<String, String> headers, String body) {
    boolean closesConnection() {
      return "close".equalsIgnoreCase(headers.get("connection"));
    }
  }

  private final InputStream input;

  /** Reads from the input of a connection. */
  public HttpResponseReader(InputStream input) {
    this.input = input;
  }

  /** Reads one response; fails with an {@link EOFException} when the connection ends before it. */
  public Response read() throws IOException {
    String[] statusLine = readLine().split(" ");
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    String body =
        "chunked".equalsIgnoreCase(headers.get("transfer-encoding"))
            ? readChunks()
            : readText(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    return new Response(Integer.parseInt(statusLine[1]), headers, body);
  }

  private String readChunks() throws IOException {
    StringBuilder body = new StringBuilder();
    int length = Integer.parseInt(readLine(), 16);
    while (length > 0) {
      body.append(readText(length));
      readLine();
      length = Integer.parseInt(readLine(), 16);
    }
    readLine();
    return body.toString();
  }

  private String readText(int length) throws IOException {
    byte[] bytes = input.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("connection ended within a body");
    }
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        throw new EOFException("connection ended");
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }
}
