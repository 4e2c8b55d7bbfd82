package io.coltsfootwheel.edge;

import io.coltsfootwheel.link.Header;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Header names, and the rules for which headers are forwarded. */
final class HeaderNames {
  static final String KEY = "Coltsfootwheel-Key";
  static final String CUSTOMER = "Coltsfootwheel-Customer";
  static final String DEADLINE_MILLIS = "Coltsfootwheel-Deadline-Millis";
  static final String IDEMPOTENT = "Coltsfootwheel-Idempotent";
  static final String IDENTITY = "Idempotency-Key";
  static final String STAMP = "Coltsfootwheel-Stamp";
  static final String TARGET = "Coltsfootwheel-Target";
  static final String OUTCOME = "Coltsfootwheel-Outcome";
  static final String FENCE = "Coltsfootwheel-Fence";
  static final String HASH_SLOT = "Coltsfootwheel-Hash-Slot";
  static final String REQUEST_ID = "Coltsfootwheel-Request-Id";
  static final String RETRY_AFTER = "Retry-After";

  /** Prefix of the headers that the router sets or interprets itself; they are never forwarded. */
  static final String ROUTER_PREFIX = "coltsfootwheel-";

  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  /** The target client sets these headers itself for the forwarded request. */
  private static final Set<String> REQUEST_FRAMING = Set.of("host", "content-length", "expect");

  private HeaderNames() {}

  /** Returns the headers of a caller's request that are forwarded to the target. */
  static List<Header> endToEndRequest(HttpHeaders headers) {
    return endToEnd(headers, true);
  }

  /** Returns the headers of a target's response that are forwarded to the caller. */
  static List<Header> endToEndResponse(HttpHeaders headers) {
    return endToEnd(headers, false);
  }

  private static List<Header> endToEnd(HttpHeaders headers, boolean isRequest) {
    Set<String> connectionOptions = connectionOptions(headers);
    List<Header> result = new ArrayList<>(headers.size());
    Iterator<Map.Entry<CharSequence, CharSequence>> entries = headers.iteratorCharSequence();
    while (entries.hasNext()) {
      Map.Entry<CharSequence, CharSequence> entry = entries.next();
      String name = entry.getKey().toString();
      if (isEndToEnd(name.toLowerCase(Locale.ROOT), isRequest)
          && !connectionOptions.contains(name)) {
        result.add(new Header(name, entry.getValue().toString()));
      }
    }
    return result;
  }

  private static boolean isEndToEnd(String lowerName, boolean isRequest) {
    if (HOP_BY_HOP.contains(lowerName) || lowerName.startsWith(ROUTER_PREFIX)) {
      return false;
    }
    return !isRequest
        || !(REQUEST_FRAMING.contains(lowerName) || IDENTITY.equalsIgnoreCase(lowerName));
  }

  private static Set<String> connectionOptions(HttpHeaders headers) {
    List<String> values = headers.getAll("Connection");
    if (values.isEmpty()) {
      return Set.of();
    }
    Set<String> names = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
    for (String value : values) {
      for (String name : value.split(",")) {
        names.add(name.trim());
      }
    }
    // A caller must not be able to remove the header that delimits the body by listing its name in
    // Connection.
    names.remove("content-length");
    return names;
  }
}
