package io.coltsfootwheel.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Writes and reads the bodies of configurations. */
final class Configurations {
  static final String HOST = "salon.example";
  static final String KEYED_SERVICE = "card-ledger";
  static final String PLAIN_SERVICE = "salon-books";

  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Configuration as read.
   *
   * @param version version
   * @param routes service by route name
   */
  record Contents(long version, Map<String, String> routes) {}

  private Configurations() {}

  /** Returns a complete configuration. */
  static ObjectNode complete(long version, Map<String, String> routes) {
    ObjectNode body = JSON.createObjectNode().put("version", "r" + version);
    ArrayNode resources = body.putArray("resources");
    routes.forEach((name, service) -> resources.add(route(name, service)));
    resources.add(service(KEYED_SERVICE).set("spec", keyedSpec()));
    resources.add(service(PLAIN_SERVICE).set("spec", plainSpec()));
    resources.add(limits());
    return body;
  }

  /** Returns a change of single routes. */
  static ObjectNode patch(long version, Map<String, String> upserts, List<String> removed) {
    ObjectNode body = JSON.createObjectNode().put("version", "r" + version);
    ArrayNode resources = body.putObject("upsert").putArray("resources");
    upserts.forEach((name, service) -> resources.add(route(name, service)));
    ArrayNode names = body.putObject("remove").putArray("routes");
    removed.forEach(names::add);
    return body;
  }

  /** Returns a route, whose prefix is its name. */
  static ObjectNode route(String name, String service) {
    ObjectNode route = JSON.createObjectNode().put("resourceType", "routes");
    route.putObject("metadata").put("name", name);
    route
        .putObject("spec")
        .put("hostname", HOST)
        .put("pathPrefix", "/" + name + "/")
        .put("kind", "safe")
        .put("timeoutMs", 1_000)
        .put("targetLatencyMs", 400)
        .put("priority", 2)
        .put("service", service)
        .put("maxAttempts", 2);
    return route;
  }

  private static ObjectNode service(String name) {
    ObjectNode service = JSON.createObjectNode().put("resourceType", "services");
    service.putObject("metadata").put("name", name);
    return service;
  }

  private static ObjectNode plainSpec() {
    return JSON.createObjectNode()
        .put("healthPath", "/healthz")
        .put("maxConnections", 120)
        .put("protocol", "h1")
        .put("tls", false);
  }

  private static ObjectNode keyedSpec() {
    return plainSpec().put("sharded", true).put("warmS", 5.0).put("grants", "heartbeat");
  }

  private static ObjectNode limits() {
    ObjectNode limits = JSON.createObjectNode().put("resourceType", "limits");
    limits.putObject("metadata");
    limits
        .putObject("spec")
        .put("maxHeaderBytes", 16_384)
        .put("maxBodyBytes", 67_108_864)
        .put("headerTimeoutMs", 3_000)
        .put("idleTimeoutMs", 15_000);
    return limits;
  }

  /** Reads a configuration. */
  static Contents read(String body) {
    try {
      JsonNode configuration = JSON.readTree(body);
      Map<String, String> routes = new TreeMap<>();
      for (JsonNode resource : configuration.path("resources")) {
        if (resource.path("resourceType").asText().equals("routes")) {
          routes.put(
              resource.path("metadata").path("name").asText(),
              resource.path("spec").path("service").asText());
        }
      }
      return new Contents(
          Long.parseLong(configuration.path("version").asText().substring(1)), routes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
