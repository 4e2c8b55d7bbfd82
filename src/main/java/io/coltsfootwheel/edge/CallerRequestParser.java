package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.ServiceName;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Reads the head of a caller's request; all faults are named in one exception. */
final class CallerRequestParser {
  static final String PREFIX = "/s/";

  private static final int MAX_KEY_BYTES = 256;
  private static final int MAX_IDENTITY_BYTES = 128;
  private static final Set<String> IDEMPOTENT_METHODS =
      Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

  private final List<String> faults = new ArrayList<>(0);
  private final CallerServerSettings settings;
  private final HttpHeaders headers;

  private CallerRequestParser(CallerServerSettings settings, HttpHeaders headers) {
    this.settings = settings;
    this.headers = headers;
  }

  /**
   * Parses the head.
   *
   * @throws ColtsfootwheelException of kind UNKNOWN_SERVICE or INVALID_REQUEST
   */
  static CallerRequest parse(
      CallerServerSettings settings,
      long requestId,
      String method,
      String uri,
      HttpHeaders headers,
      long receivedNanos) {
    int end = serviceEnd(uri);
    ServiceName service = service(uri.substring(PREFIX.length(), end));
    CallerRequestParser parser = new CallerRequestParser(settings, headers);
    String rest = parser.targetUri(uri.substring(end));
    Optional<String> key = parser.text(HeaderNames.KEY, MAX_KEY_BYTES);
    Optional<CustomerId> customer = parser.customer();
    Optional<String> identity = parser.text(HeaderNames.IDENTITY, MAX_IDENTITY_BYTES);
    boolean idempotent = parser.idempotent(method);
    long deadlineMillis = parser.deadlineMillis();
    parser.throwFaults();
    return new CallerRequest(
        requestId,
        service,
        key,
        customer,
        identity,
        idempotent,
        deadlineMillis,
        receivedNanos,
        method,
        rest,
        HeaderNames.endToEndRequest(headers),
        new byte[0]);
  }

  private static int serviceEnd(String uri) {
    for (int i = PREFIX.length(); i < uri.length(); i++) {
      if (uri.charAt(i) == '/' || uri.charAt(i) == '?') {
        return i;
      }
    }
    return uri.length();
  }

  private static ServiceName service(String name) {
    try {
      return ServiceName.of(name);
    } catch (ColtsfootwheelException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.UNKNOWN_SERVICE, "path names no valid service: '" + name + "'", e);
    }
  }

  private String targetUri(String rest) {
    for (int i = 0; i < rest.length(); i++) {
      if (!isUriCharacter(rest, i)) {
        faults.add("path has an invalid character at position " + i + " after the service");
        return rest;
      }
    }
    return rest.startsWith("/") ? rest : "/" + rest;
  }

  /** Accepts what {@code java.net.URI} accepts, because the client towards targets uses it. */
  private static boolean isUriCharacter(String text, int at) {
    char c = text.charAt(at);
    if (c == '%') {
      return at + 2 < text.length()
          && Character.digit(text.charAt(at + 1), 16) >= 0
          && Character.digit(text.charAt(at + 2), 16) >= 0;
    }
    return c > ' ' && c < 127 && "\"<>\\^`{|}[]#".indexOf(c) < 0;
  }

  private Optional<String> text(String name, int maxBytes) {
    String value = single(name);
    if (value == null) {
      return Optional.empty();
    }
    // Header values are decoded as ISO 8859-1, so characters are bytes.
    if (value.isEmpty() || value.length() > maxBytes) {
      faults.add(name + " must have 1 to " + maxBytes + " bytes");
    }
    return Optional.of(value);
  }

  private Optional<CustomerId> customer() {
    String value = single(HeaderNames.CUSTOMER);
    if (value == null) {
      return Optional.empty();
    }
    try {
      return Optional.of(CustomerId.of(value));
    } catch (ColtsfootwheelException e) {
      faults.add(HeaderNames.CUSTOMER + " must be a customer name of 1 to 63 characters");
      return Optional.empty();
    }
  }

  private boolean idempotent(String method) {
    String value = single(HeaderNames.IDEMPOTENT);
    if (value == null) {
      return IDEMPOTENT_METHODS.contains(method);
    }
    if (!value.equals("true") && !value.equals("false")) {
      faults.add(HeaderNames.IDEMPOTENT + " must be true or false");
    }
    return value.equals("true");
  }

  private long deadlineMillis() {
    String value = single(HeaderNames.DEADLINE_MILLIS);
    if (value == null) {
      return settings.defaultDeadlineMillis();
    }
    long millis = 0;
    try {
      millis = Long.parseLong(value);
    } catch (NumberFormatException e) {
      millis = 0;
    }
    if (millis < 1 || millis > settings.maxDeadlineMillis()) {
      faults.add(HeaderNames.DEADLINE_MILLIS + " must be 1 to " + settings.maxDeadlineMillis());
    }
    return millis;
  }

  /** Two values would let the router and a part before it choose different ones. */
  private String single(String name) {
    String first = headers.get(name);
    if (first != null && headers.getAll(name).size() > 1) {
      faults.add(name + " is given more than once");
    }
    return first;
  }

  private void throwFaults() {
    if (!faults.isEmpty()) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_REQUEST, String.join("; ", faults));
    }
  }
}
