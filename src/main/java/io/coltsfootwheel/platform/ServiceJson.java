package io.coltsfootwheel.platform;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.routing.GrantMethod;
import io.coltsfootwheel.routing.ServicePolicy;
import io.coltsfootwheel.routing.WarmupPolicy;
import java.util.Map;
import java.util.Optional;

/** Reads the services of a configuration. */
final class ServiceJson {
  static final FieldSet FIELDS = new FieldSet();

  private static final RequiredField<Integer> MAX_CONNECTIONS =
      FIELDS.required("maxConnections", ValueType.integer32(1, Integer.MAX_VALUE));
  private static final OptionalField<Boolean> SHARDED =
      FIELDS.optional("sharded", ValueType.flag());
  private static final OptionalField<GrantMethod> GRANTS =
      FIELDS.optional("grants", ValueType.choice(GrantMethod.class));
  private static final OptionalField<Double> WARMUP_SECONDS =
      FIELDS.optional("warmupS", ValueType.number(0, Double.MAX_VALUE));
  private static final OptionalField<Double> WARMUP_PER_SECOND =
      FIELDS.optional("warmupPerS", ValueType.number(0, Double.MAX_VALUE));

  private static final RequiredField<String> HEALTH_PATH =
      FIELDS.required(
          "healthPath", ValueType.parsedText("a path that begins with a slash", ServiceJson::path));
  private static final RequiredField<String> PROTOCOL =
      FIELDS.required("protocol", ValueType.choice(Map.of("h1", "h1")));
  private static final RequiredField<Boolean> TLS = FIELDS.required("tls", ValueType.flag());
  private static final OptionalField<Double> WARM_SECONDS =
      FIELDS.optional("warmS", ValueType.number(0, Double.MAX_VALUE));

  private ServiceJson() {}

  static ServicePolicy read(ServiceName name, JsonValue spec) {
    checkUnusedFields(spec);
    return new ServicePolicy(
        name,
        spec.read(SHARDED).orElse(false),
        spec.read(MAX_CONNECTIONS),
        spec.read(GRANTS).orElse(GrantMethod.HEARTBEAT),
        readWarmup(spec));
  }

  /** Reads the limit of cold targets; a time without a rate limits nothing. */
  private static Optional<WarmupPolicy> readWarmup(JsonValue spec) {
    double seconds = spec.read(WARMUP_SECONDS).orElse(0.0);
    return spec.read(WARMUP_PER_SECOND).map(perSecond -> new WarmupPolicy(seconds, perSecond));
  }

  /** Checks the fields that the processes do not use; a configuration is read in full. */
  private static void checkUnusedFields(JsonValue spec) {
    spec.read(HEALTH_PATH);
    spec.read(PROTOCOL);
    spec.read(TLS);
    spec.read(WARM_SECONDS);
  }

  private static String path(String text) {
    if (!text.startsWith("/")) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_VALUE, "a path begins with a slash");
    }
    return text;
  }
}
