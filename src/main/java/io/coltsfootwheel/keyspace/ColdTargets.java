package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.loadcontrol.PermitGrant;
import io.coltsfootwheel.loadcontrol.PermitIssuer;
import io.coltsfootwheel.loadcontrol.PermitLimit;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.ServicePolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/** Targets that are warming up in the term of the current leader, and the permits for them. */
final class ColdTargets {
  private final OwnershipSettings settings;
  private final HeartbeatMonitor heartbeats;
  private final PermitIssuer issuer = new PermitIssuer();
  private Map<ServiceName, ServicePolicy> limitedServices = Map.of();
  private Map<TargetId, WarmupState> states = Map.of();
  private List<WarmupChange> changes = new ArrayList<>();

  /** Identifiers of all targets that were registered at some time in this term. */
  private final Set<TargetId> registeredInTerm = new HashSet<>();

  /** Targets that were registered for the first time since the last update. */
  private final Set<TargetId> newTargets = new HashSet<>();

  /**
   * Creates a component that reads the mutable state of the leader.
   *
   * @param settings the settings
   * @param heartbeats reports and leases of all targets
   * @param state replicated state at the start of the term
   */
  ColdTargets(OwnershipSettings settings, HeartbeatMonitor heartbeats, FleetState state) {
    this.settings = settings;
    this.heartbeats = heartbeats;
    state.targets().forEach(t -> registeredInTerm.add(t.id()));
    updateServices(state);
  }

  /** Reads the services whose cold targets have a limit from the configuration of a state. */
  void updateServices(FleetState state) {
    Map<ServiceName, ServicePolicy> limited = new HashMap<>();
    state.configuration().items().stream()
        .map(ConfigurationItem::service)
        .flatMap(Optional::stream)
        .filter(s -> s.warmup().isPresent())
        .forEach(s -> limited.put(s.name(), s));
    limitedServices = limited;
  }

  /** Returns whether a target is warming up; all targets of a service without a limit are warm. */
  WarmupState state(long nowNanos, TargetRecord target) {
    return limitedServices.containsKey(target.service())
        ? heartbeats.warmupState(nowNanos, target.id())
        : WarmupState.WARM;
  }

  /** Returns the requests per second that a target sustains, or empty while it is not cold. */
  OptionalDouble requestsPerSecond(long nowNanos, TargetRecord target) {
    return state(nowNanos, target) == WarmupState.COLD
        ? OptionalDouble.of(sustainedPerSecond(target))
        : OptionalDouble.empty();
  }

  private double sustainedPerSecond(TargetRecord target) {
    return limitedServices.get(target.service()).warmup().orElseThrow().requestsPerSecond();
  }

  /**
   * Records a target that was not registered. It counts as not in use yet unless it was registered
   * before in this term: entries may still send to a target that was removed a moment ago.
   */
  void recordNew(TargetId target) {
    if (registeredInTerm.add(target)) {
      newTargets.add(target);
    }
  }

  /**
   * Follows the states of all targets.
   *
   * @return whether a state changed since the last call
   */
  boolean update(long nowNanos, FleetState state) {
    if (limitedServices.isEmpty() && states.isEmpty()) {
      newTargets.clear();
      return false;
    }
    Map<TargetId, WarmupState> next = new HashMap<>();
    Map<TargetId, PermitLimit> limits = new HashMap<>();
    for (TargetRecord target : state.targets()) {
      if (!limitedServices.containsKey(target.service())) {
        continue;
      }
      WarmupState warmup = state(nowNanos, target);
      next.put(target.id(), warmup);
      if (warmup != WarmupState.WARM) {
        limits.put(target.id(), settings.permitLimit(sustainedPerSecond(target)));
      }
      if (warmup != states.get(target.id())) {
        changes.add(new WarmupChange(target.id(), warmup));
      }
    }
    issuer.setLimits(nowNanos, limits, newTargets);
    newTargets.clear();
    boolean changed = !next.equals(states);
    states = next;
    return changed;
  }

  /** Returns the changes of states since the last call, for logs. */
  List<WarmupChange> takeChanges() {
    List<WarmupChange> taken = changes;
    changes = new ArrayList<>();
    return taken;
  }

  /**
   * Takes the permits that an entry asks for from the buckets of the targets.
   *
   * @return grants by target; without those that state neither a permit nor a wait
   */
  Map<TargetId, PermitGrant> takePermits(
      long nowNanos, InstanceId entry, Map<TargetId, Integer> wanted, FleetState state) {
    Map<TargetId, PermitGrant> grants = new HashMap<>();
    wanted.forEach(
        (id, count) -> {
          Optional<ServicePolicy> service =
              state.target(id).map(TargetRecord::service).map(limitedServices::get);
          if (service.isPresent()) {
            boolean keyed = service.get().keyed();
            PermitGrant grant = issuer.request(nowNanos, id, entry, count);
            if (grant.permits() > 0 || keyed && grant.waitMillis() > 0) {
              grants.put(id, grant);
            }
          }
        });
    return grants;
  }
}
