package io.coltsfootwheel.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class SortedCopyTest {
  /** Guards against replicated texts and snapshots that differ between members of the group. */
  @Test
  void listsAreIteratedInTheOrderOfTheirKeys() {
    Set<ServiceName> services =
        "gcaebfdh"
            .chars()
            .mapToObj(c -> ServiceName.of(String.valueOf((char) c)))
            .collect(Collectors.toSet());
    Allowance allowance = new Allowance(1, 1, 1, services);
    assertThat(allowance.services())
        .extracting(ServiceName::value)
        .containsExactly("a", "b", "c", "d", "e", "f", "g", "h");
    Map<CustomerId, PlanName> plans =
        services.stream()
            .collect(Collectors.toMap(s -> CustomerId.of(s.value()), s -> PlanName.of("p")));
    PolicyLists lists = new PolicyLists(1, plans, Map.of(PlanName.of("p"), allowance));
    assertThat(lists.plans().keySet())
        .extracting(CustomerId::value)
        .containsExactly("a", "b", "c", "d", "e", "f", "g", "h");
  }
}
