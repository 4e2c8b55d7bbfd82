package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.routing.ConfigurationChange;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.ServicePolicy;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replicated log of a group that is sent one large configuration after the other. */
class LargeConfigurationsLogTest {
  private static final ServiceName LEDGER = ServiceName.of("ledger");

  /** An eighth of the memory that the deploy file grants. */
  private static final long MAX_LOG_BYTES = 8 * 1024 * 1024;

  private final ControlGroup group = new ControlGroup(3, 2);

  private static ConfigurationChange change(long version, int documentBytes) {
    ServicePolicy service = new ServicePolicy(LEDGER, true, 10);
    String document = "{}" + " ".repeat(documentBytes);
    List<ConfigurationItem> items = List.of(ConfigurationItem.of(service, document));
    return new ConfigurationChange(version - 1, version, "f" + version, true, items, List.of());
  }

  /** Guards against control processes that run out of memory after hundreds of large changes. */
  @ParameterizedTest
  @CsvSource({"112000, 150", "1000000, 20"})
  void logStaysWithinItsBytes(int documentBytes, int changes) {
    group.run(3_000);
    InstanceId leader = group.leader().orElseThrow();
    for (int version = 1; version <= changes; version++) {
      ConfigurationChange next = change(version, documentBytes);
      long call =
          group.call(leader, id -> new ControlEvent.ChangeRequested(group.nowNanos(), id, next));
      group.run(60);
      assertThat(group.answer(call)).containsInstanceOf(ControlAnswer.Accepted.class);
    }
    assertThat(group.largestLogBytes()).isLessThan(MAX_LOG_BYTES);
  }
}
