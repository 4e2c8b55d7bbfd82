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

/** Names of headers, and which of them are passed on. */
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

  /** Headers with this prefix are the router's own and never passed through it. */
  static final String OWN_PREFIX = "coltsfootwheel-";

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

  /** The client towards the target sets these for its own message. */
  private static final Set<String> REQUEST_FRAMING = Set.of("host", "content-length", "expect");

  private HeaderNames() {}

  /** Returns the headers of a caller's request that the target gets. */
  static List<Header> endToEndRequest(HttpHeaders headers) {
    return endToEnd(headers, true);
  }

  /** Returns the headers of a target's response that the caller gets. */
  static List<Header> endToEndResponse(HttpHeaders headers) {
    return endToEnd(headers, false);
  }

  private static List<Header> endToEnd(HttpHeaders headers, boolean request) {
    Set<String> named = namedByConnection(headers);
    List<Header> result = new ArrayList<>(headers.size());
    Iterator<Map.Entry<CharSequence, CharSequence>> entries = headers.iteratorCharSequence();
    while (entries.hasNext()) {
      Map.Entry<CharSequence, CharSequence> entry = entries.next();
      String name = entry.getKey().toString();
      if (isEndToEnd(name.toLowerCase(Locale.ROOT), request) && !named.contains(name)) {
        result.add(new Header(name, entry.getValue().toString()));
      }
    }
    return result;
  }

  private static boolean isEndToEnd(String lowerName, boolean request) {
    if (HOP_BY_HOP.contains(lowerName) || lowerName.startsWith(OWN_PREFIX)) {
      return false;
    }
    return !request
        || !(REQUEST_FRAMING.contains(lowerName) || IDENTITY.equalsIgnoreCase(lowerName));
  }

  private static Set<String> namedByConnection(HttpHeaders headers) {
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
    // A caller must not be able to remove the length by which the body is delimited.
    names.remove("content-length");
    return names;
  }
}
