package io.coltsfootwheel.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;

/** The two examples of configuration changes on the platform's page PROTOCOL.md. */
final class ConfigurationExamples {
  static final String COMPLETE_BASE = "r5";
  static final String COMPLETE =
      """
      {"version":"r7","resources":[{"resourceType":"routes","metadata":{"name":"r-i9n73hh"},\
      "spec":{"hostname":"ficu95.example","pathPrefix":"/pufi791/","kind":"unsafe",\
      "timeoutMs":1500,"targetLatencyMs":500,"priority":1,"service":"huvo11a","maxAttempts":2}},\
      {"resourceType":"routes","metadata":{"name":"r-x73d3zj"},"spec":{\
      "hostname":"ficu95.example","pathPrefix":"/lohu930/","kind":"safe","timeoutMs":1200,\
      "targetLatencyMs":400,"priority":2,"split":[{"service":"huvo11a","weight":90},\
      {"service":"wuno96b","weight":10}],"maxAttempts":2}},{"resourceType":"services",\
      "metadata":{"name":"huvo11a"},"spec":{"healthPath":"/healthz","maxConnections":130,\
      "protocol":"h1","tls":false,"sharded":true,"warmS":2.0,"grants":"heartbeat",\
      "warmupS":3.0,"warmupPerS":3.7}},\
      {"resourceType":"services","metadata":{"name":"wuno96b"},"spec":{"healthPath":"/healthz",\
      "maxConnections":130,"protocol":"h1","tls":false}},{"resourceType":"limits","metadata":{},\
      "spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,\
      "idleTimeoutMs":15000}}]}""";

  static final String PATCH_BASE = "r7";
  static final String PATCH =
      """
      {"version":"r9","upsert":{"resources":[{"resourceType":"routes",\
      "metadata":{"name":"r-x73d3zj"},"spec":{"hostname":"ficu95.example",\
      "pathPrefix":"/lohu930/","kind":"safe","timeoutMs":1200,"targetLatencyMs":400,\
      "priority":2,"split":[{"service":"huvo11a","weight":90},{"service":"wuno96b",\
      "weight":10}],"maxAttempts":2}}]},"remove":{"routes":["r-old"]}}""";

  /** Reads JSON independently of the code under test and keeps each digit of a number. */
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
          .nodeFactory(JsonNodeFactory.withExactBigDecimals(true))
          .build();

  private ConfigurationExamples() {}

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  static ObjectNode json(String text) {
    try {
      return (ObjectNode) MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  static JsonNode value(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }
}
