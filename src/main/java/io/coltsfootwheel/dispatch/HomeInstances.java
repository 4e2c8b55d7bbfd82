package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.InstanceId;
import java.util.Collection;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;

/** Chooses the home instance of a customer by rendezvous hashing over the registered instances. */
final class HomeInstances {
  private static final LongHashFunction XX64 = LongHashFunction.xx();

  private HomeInstances() {}

  static Optional<InstanceId> of(CustomerId customer, Collection<InstanceId> instances) {
    InstanceId best = null;
    long bestScore = 0;
    for (InstanceId instance : instances) {
      long score = XX64.hashChars(instance.value() + "/" + customer.value());
      if (best == null || score > bestScore) {
        best = instance;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }
}
