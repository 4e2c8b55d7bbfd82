package io.coltsfootwheel.daemon;

import io.coltsfootwheel.api.OperatorApi;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.control.DispatchGrant;
import io.coltsfootwheel.control.Explanation;
import io.coltsfootwheel.control.SlotOwnership;
import io.coltsfootwheel.control.TargetEntry;
import io.coltsfootwheel.dispatch.HashSlots;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Answers operator queries about the owner of a key and the reasons for ownership changes. */
final class OwnershipQueries {
  private final ControlState state;

  OwnershipQueries(ControlState state) {
    this.state = state;
  }

  OperatorApi.Owner owner(String serviceName, String key) {
    ServiceSpec service = keyedService(serviceName);
    int slot = slot(service, key);
    Optional<SlotOwnership> ownership = state.ownership(service.name(), slot);
    Optional<DispatchGrant> grant =
        ownership.flatMap(o -> state.target(o.owner())).flatMap(TargetEntry::grant);
    return new OperatorApi.Owner(
        service.name().value(),
        slot,
        ownership.map(o -> o.owner().value()).orElse(""),
        ownership.map(o -> o.fence().value()).orElse(0L),
        grant.map(g -> g.holder().value()).orElse(""));
  }

  OperatorApi.Explanation explainKey(String serviceName, String key) {
    ServiceSpec service = keyedService(serviceName);
    return toResponse(state.explainSlot(service.name(), slot(service, key)));
  }

  OperatorApi.Explanation explainSubject(String subject) {
    List<Explanation> explanations = new ArrayList<>(state.explainTarget(TargetId.of(subject)));
    explanations.addAll(state.explainInstance(InstanceId.of(subject)));
    boolean isKnown =
        state.target(TargetId.of(subject)).isPresent()
            || state.instance(InstanceId.of(subject)).isPresent();
    if (explanations.isEmpty() && !isKnown) {
      throw ColtsfootwheelException.of(
          ErrorKind.NOT_FOUND, "no target or instance " + subject + " is known");
    }
    return toResponse(explanations);
  }

  OperatorApi.Explanation explainAll() {
    List<Explanation> explanations = new ArrayList<>();
    state
        .instances()
        .forEach(instance -> explanations.addAll(state.explainInstance(instance.id())));
    for (ServiceSpec service : state.services()) {
      state
          .targetsOf(service.name())
          .forEach(target -> explanations.addAll(state.explainTarget(target.spec().id())));
    }
    return toResponse(explanations);
  }

  private ServiceSpec keyedService(String name) {
    return state
        .service(ServiceName.of(name))
        .filter(ServiceSpec::keyed)
        .orElseThrow(
            () ->
                ColtsfootwheelException.of(
                    ErrorKind.UNKNOWN_SERVICE, name + " is not a keyed service"));
  }

  private static int slot(ServiceSpec service, String key) {
    return HashSlots.of(key.getBytes(StandardCharsets.UTF_8), service.hashSlots());
  }

  private static OperatorApi.Explanation toResponse(List<Explanation> explanations) {
    return new OperatorApi.Explanation(
        explanations.stream()
            .sorted(Comparator.comparingLong(Explanation::index))
            .map(
                explanation ->
                    new OperatorApi.ExplanationLine(
                        explanation.index(), explanation.subject() + ": " + explanation.reason()))
            .toList());
  }
}
