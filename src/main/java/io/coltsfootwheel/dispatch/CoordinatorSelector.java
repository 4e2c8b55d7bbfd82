package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.InstanceId;
import java.util.Collection;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;

/** Selects the coordinator of a customer by rendezvous hashing over the registered instances. */
final class CoordinatorSelector {
  private static final LongHashFunction XX64 = LongHashFunction.xx();

  private CoordinatorSelector() {}

  static Optional<InstanceId> of(CustomerId customer, Collection<InstanceId> instances) {
    InstanceId coordinator = null;
    long highestScore = 0;
    for (InstanceId instance : instances) {
      long score = XX64.hashChars(instance.value() + "/" + customer.value());
      if (coordinator == null || score > highestScore) {
        coordinator = instance;
        highestScore = score;
      }
    }
    return Optional.ofNullable(coordinator);
  }
}
