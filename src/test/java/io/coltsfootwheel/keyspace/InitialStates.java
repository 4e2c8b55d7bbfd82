package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.routing.ConfigurationChange;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.GrantMethod;
import io.coltsfootwheel.routing.ServicePolicy;
import io.coltsfootwheel.routing.WarmupPolicy;
import java.util.List;
import java.util.Optional;

/** Replicated states from which simulations of a leader start. */
final class InitialStates {
  private InitialStates() {}

  /** Returns a state at index 1 with a keyed service whose cold targets sustain a rate. */
  static FleetState withService(ServiceName name, GrantMethod grantMethod, double coldPerSecond) {
    ServicePolicy policy =
        new ServicePolicy(
            name, true, 100, grantMethod, Optional.of(new WarmupPolicy(3, coldPerSecond)));
    ConfigurationChange change =
        new ConfigurationChange(
            0, 1, "c", true, List.of(ConfigurationItem.of(policy, "{}")), List.of());
    return FleetState.empty().apply(1, new FleetCommand.ChangeConfiguration(change));
  }
}
