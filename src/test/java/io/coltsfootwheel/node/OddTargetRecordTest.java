package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.FleetState;
import io.coltsfootwheel.keyspace.HeartbeatReport;
import io.coltsfootwheel.keyspace.HeldRange;
import io.coltsfootwheel.keyspace.KeyRange;
import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.ReleasedRange;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.keyspace.TargetRecord;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ConfigurationChange;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.ServicePolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the control group with extreme values in the reports of one target among others. */
class OddTargetRecordTest {
  private static final ServiceName KEYED = ServiceName.of("ledger");
  private static final ServiceName UNKEYED = ServiceName.of("plain");
  private static final InstanceId ENTRY = InstanceId.of("10.9.0.1");
  private static final int TARGETS = 3;
  private static final int REPORT_INTERVAL_MILLIS = 870;
  private static final int ROUNDS = 20;

  private static final long[] ODD_NUMBERS = {
    0, -1, 1, 65_536, Integer.MAX_VALUE, Integer.MIN_VALUE, Long.MAX_VALUE, Long.MIN_VALUE
  };
  private static final String[] ODD_HOSTS = {
    "host.invalid", "0.0.0.0", "255.255.255.255", "fe80::1%9", ":", "1", " x"
  };

  private final ControlGroup group = new ControlGroup(3, 0);
  private Random random;

  private HeartbeatReport soundReport(int number, long sequence, List<HeldRange> held) {
    TargetRecord target =
        new TargetRecord(
            TargetId.of("sound-" + number),
            1_000,
            KEYED,
            new Address("10.1.0." + (number + 1), 8_000),
            AvailabilityZone.of("z"),
            2,
            TargetPhase.READY);
    return new HeartbeatReport(target, sequence, 0, held, List.of());
  }

  private long oddNumber() {
    return ODD_NUMBERS[random.nextInt(ODD_NUMBERS.length)];
  }

  private HeartbeatReport oddReport() {
    TargetRecord target =
        new TargetRecord(
            TargetId.of("odd-" + random.nextInt(3)),
            oddNumber(),
            random.nextBoolean() ? KEYED : UNKEYED,
            new Address(ODD_HOSTS[random.nextInt(ODD_HOSTS.length)], 1 + random.nextInt(65_535)),
            AvailabilityZone.of("z"),
            (int) oddNumber(),
            random.nextInt(4) == 0 ? TargetPhase.DRAINING : TargetPhase.READY);
    return new HeartbeatReport(
        target, oddNumber(), oddNumber(), oddHeldRanges(), oddReleasedRanges());
  }

  private List<HeldRange> oddHeldRanges() {
    List<HeldRange> ranges = new ArrayList<>();
    for (int i = random.nextInt(4); i > 0; i--) {
      ranges.add(new HeldRange(oddRange(), Fence.of(oddNumber())));
    }
    return ranges;
  }

  private List<ReleasedRange> oddReleasedRanges() {
    List<ReleasedRange> ranges = new ArrayList<>();
    for (int i = random.nextInt(4); i > 0; i--) {
      ranges.add(new ReleasedRange(oddRange(), "t".repeat(random.nextInt(300))));
    }
    return ranges;
  }

  private KeyRange oddRange() {
    int from = random.nextInt(KeyRange.MAX_KEY + 1);
    return new KeyRange(from, from + random.nextInt(KeyRange.MAX_KEY + 1 - from));
  }

  private LoadReport oddLoad() {
    return new LoadReport(
        Map.of(KEYED, Map.of((int) oddNumber(), (int) oddNumber())),
        List.of(
            new LoadReport.TargetObservation(
                TargetId.of("odd-1"), (int) oddNumber(), (int) oddNumber())));
  }

  private long report(HeartbeatReport report) {
    return group.call(
        group.leader().orElseThrow(),
        id -> new ControlEvent.ReportReceived(group.nowNanos(), id, report));
  }

  private void configure() {
    group.call(
        group.leader().orElseThrow(),
        id ->
            new ControlEvent.ChangeRequested(
                group.nowNanos(),
                id,
                new ConfigurationChange(
                    0,
                    1,
                    "a",
                    true,
                    List.of(
                        ConfigurationItem.of(new ServicePolicy(KEYED, true, 10), "{}"),
                        ConfigurationItem.of(new ServicePolicy(UNKEYED, false, 10), "{}")),
                    List.of())));
  }

  private void sendOddMessages() {
    report(oddReport());
    group.call(
        group.leader().orElseThrow(),
        id ->
            new ControlEvent.MessageReceived(
                group.nowNanos(),
                ENTRY,
                new NodeMessage.Subscribe(
                    new Address("10.9.0.1", 7_000),
                    oddNumber(),
                    oddNumber(),
                    oddNumber(),
                    oddLoad(),
                    oddNumber(),
                    oddNumber(),
                    true)));
  }

  /**
   * Guards against a control process that ends, or that grants no keys any more, because of one
   * accepted report or a record that an earlier version stored.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void oddReportsDoNotEndTheControlGroup(long seed) {
    random = new Random(seed);
    group.run(3_000);
    configure();
    group.run(500);
    List<Long> calls = new ArrayList<>();
    for (int round = 1; round <= ROUNDS; round++) {
      calls.clear();
      for (int i = 0; i < TARGETS; i++) {
        calls.add(report(soundReport(i, round, List.of())));
        sendOddMessages();
      }
      group.run(REPORT_INTERVAL_MILLIS);
    }
    for (long call : calls) {
      assertThat(group.answer(call)).get().isInstanceOf(ControlAnswer.Acknowledged.class);
    }
    FleetState state = group.member(group.leader().orElseThrow()).state();
    assertThat(FleetState.fromSnapshot(state.toSnapshot()).targets()).isEqualTo(state.targets());
    assertThat(state.targets().stream().map(t -> t.id().value()).filter(t -> t.startsWith("sound")))
        .hasSize(TARGETS);
  }
}
