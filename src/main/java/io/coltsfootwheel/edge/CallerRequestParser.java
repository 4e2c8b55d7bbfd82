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

/** Parses the head of a caller's request; one exception reports all errors. */
final class CallerRequestParser {
  static final String PATH_PREFIX = "/s/";

  private static final int MAX_KEY_BYTES = 256;
  private static final int MAX_IDENTITY_BYTES = 128;
  private static final Set<String> IDEMPOTENT_METHODS =
      Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

  private final List<String> errors = new ArrayList<>(0);
  private final CallerServerSettings settings;
  private final HttpHeaders headers;

  private CallerRequestParser(CallerServerSettings settings, HttpHeaders headers) {
    this.settings = settings;
    this.headers = headers;
  }

  /**
   * Parses the head; the returned request has an empty body.
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
    int serviceEnd = findServiceEnd(uri);
    ServiceName service = parseService(uri.substring(PATH_PREFIX.length(), serviceEnd));
    CallerRequestParser parser = new CallerRequestParser(settings, headers);
    String targetUri = parser.readTargetUri(uri.substring(serviceEnd));
    Optional<String> key = parser.readText(HeaderNames.KEY, MAX_KEY_BYTES);
    Optional<CustomerId> customer = parser.readCustomer();
    Optional<String> identity = parser.readText(HeaderNames.IDENTITY, MAX_IDENTITY_BYTES);
    boolean idempotent = parser.readIdempotent(method);
    long deadlineMillis = parser.readDeadlineMillis();
    parser.throwIfInvalid();
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
        targetUri,
        HeaderNames.endToEndRequest(headers),
        new byte[0]);
  }

  private static int findServiceEnd(String uri) {
    for (int i = PATH_PREFIX.length(); i < uri.length(); i++) {
      if (uri.charAt(i) == '/' || uri.charAt(i) == '?') {
        return i;
      }
    }
    return uri.length();
  }

  private static ServiceName parseService(String name) {
    try {
      return ServiceName.of(name);
    } catch (ColtsfootwheelException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.UNKNOWN_SERVICE, "path contains no valid service name: '" + name + "'", e);
    }
  }

  private String readTargetUri(String targetUri) {
    for (int i = 0; i < targetUri.length(); i++) {
      if (!isUriCharacter(targetUri, i)) {
        errors.add("path has an invalid character at position " + i + " after the service");
        return targetUri;
      }
    }
    return targetUri.startsWith("/") ? targetUri : "/" + targetUri;
  }

  /**
   * Accepts the characters that {@code java.net.URI} accepts, because the target client uses it.
   */
  private static boolean isUriCharacter(String text, int at) {
    char c = text.charAt(at);
    if (c == '%') {
      return at + 2 < text.length()
          && Character.digit(text.charAt(at + 1), 16) >= 0
          && Character.digit(text.charAt(at + 2), 16) >= 0;
    }
    return c > ' ' && c < 127 && "\"<>\\^`{|}[]#".indexOf(c) < 0;
  }

  private Optional<String> readText(String name, int maxBytes) {
    String value = singleValue(name);
    if (value == null) {
      return Optional.empty();
    }
    // Header values are decoded as ISO 8859-1, so each character is one byte.
    if (value.isEmpty() || value.length() > maxBytes) {
      errors.add(name + " must have 1 to " + maxBytes + " bytes");
    }
    return Optional.of(value);
  }

  private Optional<CustomerId> readCustomer() {
    String value = singleValue(HeaderNames.CUSTOMER);
    if (value == null) {
      return Optional.empty();
    }
    try {
      return Optional.of(CustomerId.of(value));
    } catch (ColtsfootwheelException e) {
      errors.add(HeaderNames.CUSTOMER + " must be a customer name of 1 to 63 characters");
      return Optional.empty();
    }
  }

  private boolean readIdempotent(String method) {
    String value = singleValue(HeaderNames.IDEMPOTENT);
    if (value == null) {
      return IDEMPOTENT_METHODS.contains(method);
    }
    if (!value.equals("true") && !value.equals("false")) {
      errors.add(HeaderNames.IDEMPOTENT + " must be true or false");
    }
    return value.equals("true");
  }

  private long readDeadlineMillis() {
    String value = singleValue(HeaderNames.DEADLINE_MILLIS);
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
      errors.add(HeaderNames.DEADLINE_MILLIS + " must be 1 to " + settings.maxDeadlineMillis());
    }
    return millis;
  }

  /**
   * Reads a header that must not be repeated: the router and a proxy in front of it could otherwise
   * use different values.
   */
  private String singleValue(String name) {
    String first = headers.get(name);
    if (first != null && headers.getAll(name).size() > 1) {
      errors.add(name + " is given more than once");
    }
    return first;
  }

  private void throwIfInvalid() {
    if (!errors.isEmpty()) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_REQUEST, String.join("; ", errors));
    }
  }
}
