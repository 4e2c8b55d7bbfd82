package io.coltsfootwheel.platform;

import io.coltsfootwheel.routing.ClientLimits;

/** Reads the limits of a configuration. */
final class LimitsJson {
  static final FieldSet FIELDS = new FieldSet();

  private static final RequiredField<Integer> MAX_HEADER_BYTES =
      FIELDS.required("maxHeaderBytes", ValueType.integer32(1, Integer.MAX_VALUE));
  private static final RequiredField<Long> MAX_BODY_BYTES =
      FIELDS.required("maxBodyBytes", ValueType.integer(0, Long.MAX_VALUE));
  private static final RequiredField<Long> HEADER_TIMEOUT_MILLIS =
      FIELDS.required("headerTimeoutMs", ValueType.integer(0, Long.MAX_VALUE));
  private static final RequiredField<Long> IDLE_TIMEOUT_MILLIS =
      FIELDS.required("idleTimeoutMs", ValueType.integer(0, Long.MAX_VALUE));

  private LimitsJson() {}

  static ClientLimits read(JsonValue spec) {
    return new ClientLimits(
        spec.read(MAX_HEADER_BYTES),
        spec.read(MAX_BODY_BYTES),
        spec.read(HEADER_TIMEOUT_MILLIS),
        spec.read(IDLE_TIMEOUT_MILLIS));
  }
}
