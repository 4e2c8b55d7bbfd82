package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.GrantMethod;
import io.coltsfootwheel.routing.ServicePolicy;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Keyed services of the current configuration, with the way in which their keys are granted. */
final class KeyedServices {
  private Map<ServiceName, GrantMethod> methods;

  KeyedServices(FleetState state) {
    update(state);
  }

  /** Reads the services from the configuration of a new state. */
  void update(FleetState state) {
    methods =
        state.configuration().items().stream()
            .map(ConfigurationItem::service)
            .flatMap(Optional::stream)
            .filter(ServicePolicy::keyed)
            .collect(
                Collectors.toMap(
                    ServicePolicy::name, ServicePolicy::grantMethod, (a, b) -> b, TreeMap::new));
  }

  Set<ServiceName> names() {
    return methods.keySet();
  }

  boolean contains(ServiceName service) {
    return methods.containsKey(service);
  }

  /** Returns how the keys of a service are granted; {@code HEARTBEAT} for any other service. */
  GrantMethod grantMethod(ServiceName service) {
    return methods.getOrDefault(service, GrantMethod.HEARTBEAT);
  }
}
