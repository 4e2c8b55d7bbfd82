package io.coltsfootwheel.platform;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.routing.Route;
import io.coltsfootwheel.routing.RouteKind;
import io.coltsfootwheel.routing.WeightedService;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Reads the routes of a configuration. */
final class RouteJson {
  static final FieldSet FIELDS = new FieldSet();
  static final FieldSet SPLIT_FIELDS = new FieldSet();

  private static final long MAX_TIMEOUT_MILLIS = TimeUnit.MINUTES.toMillis(10);

  /** Keeps sums of weights finite. */
  private static final double MAX_WEIGHT = 1e9;

  private static final ValueType<ServiceName> SERVICE_NAME =
      ValueType.parsedText("the name of a service", ServiceName::of);

  private static final RequiredField<String> HOST = FIELDS.required("hostname", ValueType.text());
  private static final RequiredField<String> PATH_PREFIX =
      FIELDS.required("pathPrefix", ValueType.text());
  private static final RequiredField<RouteKind> KIND =
      FIELDS.required("kind", ValueType.choice(RouteKind.class));
  private static final RequiredField<Long> TIMEOUT_MILLIS =
      FIELDS.required("timeoutMs", ValueType.integer(1, MAX_TIMEOUT_MILLIS));
  private static final RequiredField<Long> TARGET_LATENCY_MILLIS =
      FIELDS.required("targetLatencyMs", ValueType.integer(0, Long.MAX_VALUE));
  private static final RequiredField<Integer> PRIORITY =
      FIELDS.required("priority", ValueType.integer32(0, Integer.MAX_VALUE));
  private static final RequiredField<Integer> MAX_ATTEMPTS =
      FIELDS.required("maxAttempts", ValueType.integer32(1, Integer.MAX_VALUE));
  private static final OptionalField<ServiceName> SERVICE =
      FIELDS.optional("service", SERVICE_NAME);
  private static final OptionalField<List<JsonValue>> SPLIT =
      FIELDS.optional("split", ValueType.nonEmptyList());

  private static final RequiredField<ServiceName> SPLIT_SERVICE =
      SPLIT_FIELDS.required("service", SERVICE_NAME);
  private static final RequiredField<Double> SPLIT_WEIGHT =
      SPLIT_FIELDS.required("weight", ValueType.number(0, MAX_WEIGHT));

  private RouteJson() {}

  static Route read(String name, JsonValue spec) {
    return new Route(
        name,
        spec.read(HOST),
        spec.read(PATH_PREFIX),
        spec.read(KIND),
        spec.read(TIMEOUT_MILLIS),
        spec.read(TARGET_LATENCY_MILLIS),
        spec.read(PRIORITY),
        spec.read(MAX_ATTEMPTS),
        destinations(spec));
  }

  private static List<WeightedService> destinations(JsonValue spec) {
    Optional<ServiceName> service = spec.read(SERVICE);
    Optional<List<JsonValue>> split = spec.read(SPLIT);
    if (service.isPresent() == split.isPresent()) {
      throw spec.unexpected("either service or split", service.isPresent() ? "both" : "neither");
    }
    return service
        .map(name -> List.of(new WeightedService(name, 1)))
        .orElseGet(() -> weightedServices(split.orElseThrow()));
  }

  private static List<WeightedService> weightedServices(List<JsonValue> split) {
    List<WeightedService> services = new ArrayList<>();
    for (JsonValue element : split) {
      JsonValue destination = element.as(ValueType.object());
      services.add(
          new WeightedService(destination.read(SPLIT_SERVICE), destination.read(SPLIT_WEIGHT)));
    }
    return services;
  }
}
