package io.coltsfootwheel.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Parses JSON documents, whose fields {@link JsonValue} reads, and writes records. */
final class JsonFields {
  /** Deeper than any message of the platform. */
  private static final int MAX_DEPTH = 64;

  /** A parsed token uses up to 20 times its bytes, so the size of the body alone is no bound. */
  private static final int MAX_TOKENS = 450_000;

  /** Reads messages, which may come from any program. */
  private static final ObjectMapper MAPPER =
      exactDecimals(
          JsonMapper.builder(
                  JsonFactory.builder()
                      .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                      .streamReadConstraints(
                          StreamReadConstraints.builder()
                              .maxNestingDepth(MAX_DEPTH)
                              .maxTokenCount(MAX_TOKENS)
                              .build())
                      .build())
              .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS));

  /** Reads stored documents, which earlier versions accepted under other limits. */
  private static final ObjectMapper STORED_MAPPER = exactDecimals(JsonMapper.builder());

  private JsonFields() {}

  /** Writes a record as JSON. */
  static String write(Record value) {
    try {
      return STORED_MAPPER.writeValueAsString(value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Keeps each digit of a fraction, so that it is returned as it was sent. */
  private static ObjectMapper exactDecimals(JsonMapper.Builder builder) {
    return builder
        .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
        .nodeFactory(JsonNodeFactory.withExactBigDecimals(true))
        .build();
  }

  /** Parses a message; a byte that is not UTF-8 is an error, unlike in the parser for bytes. */
  static JsonNode parse(byte[] body) {
    try {
      JsonNode node = MAPPER.readTree(utf8Reader(body));
      if (node == null || !node.isObject()) {
        throw invalid("the body is not a JSON object");
      }
      return node;
    } catch (IOException | NumberFormatException e) {
      // A number with too many digits in its exponent is no IOException.
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_REQUEST, "the body is not complete, valid JSON", e);
    }
  }

  private static Reader utf8Reader(byte[] body) {
    return new InputStreamReader(
        new ByteArrayInputStream(body), StandardCharsets.UTF_8.newDecoder());
  }

  /** Parses a stored document. */
  static JsonNode parse(String document) {
    try {
      return STORED_MAPPER.readTree(document);
    } catch (JsonProcessingException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVARIANT_VIOLATED, "stored configuration item is not valid JSON", e);
    }
  }

  static ColtsfootwheelException invalid(String reason) {
    return ColtsfootwheelException.of(ErrorKind.INVALID_REQUEST, reason);
  }
}
