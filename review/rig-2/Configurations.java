/** Configurations in the format of the users' pages. */
final class Configurations {
  private Configurations() {}

  private static String item(String type, String name, String spec) {
    String metadata = name.isEmpty() ? "" : "\"name\":\"" + name + "\"";
    return "{\"resourceType\":\"" + type + "\",\"metadata\":{" + metadata + "},\"spec\":{" + spec
        + "}}";
  }

  static String route(String name, String prefix, String kind, int timeoutMillis) {
    return item(
        "routes",
        name,
        "\"hostname\":\"ficu95.example\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeoutMs\":" + timeoutMillis
            + ",\"targetLatencyMs\":400,\"priority\":2,\"service\":\"wuno96b\",\"maxAttempts\":2");
  }

  private static String end() {
    return item(
            "services",
            "wuno96b",
            "\"healthPath\":\"/healthz\",\"maxConnections\":120,\"protocol\":\"h1\",\"tls\":false")
        + ","
        + item(
            "limits",
            "",
            "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000")
        + "]}";
  }

  private static String begin(int version) {
    return "{\"version\":\"r" + version + "\",\"resources\":[";
  }

  /** One route in use, and many more. */
  static String complete(int version, int moreRoutes, int timeoutMillis) {
    StringBuilder text = new StringBuilder(begin(version));
    text.append(route("r-x73d3zj", "/lohu930/", "safe", timeoutMillis)).append(',');
    for (int i = 0; i < moreRoutes; i++) {
      text.append(route("r-i%06dhh".formatted(i), "/pufi%06d/".formatted(i), "safe", 1200));
      text.append(',');
    }
    return text.append(end()).toString();
  }

  /** A route for downloads and one for requests that may not be repeated. */
  static String downloadsAndPosts(int timeoutMillis) {
    return begin(2)
        + route("r-x73d3zj", "/lohu930/", "download", timeoutMillis)
        + ","
        + route("r-i9n73hh", "/pufi791/", "unsafe", timeoutMillis)
        + ","
        + end();
  }
}
