package io.coltsfootwheel.keyspace;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.Configuration;
import io.coltsfootwheel.routing.ConfigurationChange;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.GrantMethod;
import io.coltsfootwheel.routing.ServicePolicy;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FleetStateTest {
  private static final ServiceName LEDGER = ServiceName.of("ledger");
  private static final ServiceName LATER = ServiceName.of("later");

  private static TargetRecord target(
      String id, long incarnationMillis, int port, TargetPhase phase) {
    return target(id, incarnationMillis, LEDGER, port, phase);
  }

  private static TargetRecord target(
      String id, long incarnationMillis, ServiceName service, int port, TargetPhase phase) {
    return new TargetRecord(
        TargetId.of(id),
        incarnationMillis,
        service,
        new Address("10.0.0.1", port),
        AvailabilityZone.of("z"),
        2,
        phase);
  }

  private static FleetState withOwner() {
    return FleetState.empty()
        .apply(1, configure(0, LEDGER))
        .apply(1, register("a", 100, 1, TargetPhase.READY))
        .apply(2, assignFrom(Optional.empty(), "a", 0, 99));
  }

  private static FleetCommand configure(long baseVersion, ServiceName service) {
    ServicePolicy policy = new ServicePolicy(service, true, 100, GrantMethod.HEARTBEAT);
    return new FleetCommand.ChangeConfiguration(
        new ConfigurationChange(
            baseVersion,
            baseVersion + 1,
            "change " + baseVersion,
            false,
            List.of(ConfigurationItem.of(policy, "{}")),
            List.of()));
  }

  private static FleetCommand registerLater(String id, long incarnationMillis, int port) {
    return new FleetCommand.RegisterTarget(
        target(id, incarnationMillis, LATER, port, TargetPhase.READY));
  }

  private static FleetCommand register(
      String id, long incarnationMillis, int port, TargetPhase phase) {
    return new FleetCommand.RegisterTarget(target(id, incarnationMillis, port, phase));
  }

  private static FleetCommand assign(String owner, int from, int to) {
    return assignFrom(Optional.of(TargetId.of("a")), owner, from, to);
  }

  private static FleetCommand assignFrom(
      Optional<TargetId> previous, String owner, int from, int to) {
    return new FleetCommand.AssignRanges(
        LEDGER,
        List.of(
            new FleetCommand.Assignment(
                new KeyRange(from, to), previous, TargetId.of(owner), "tok")));
  }

  /** Guards against a restarted process that is granted keys under its previous fence. */
  @Test
  void laterIncarnationKeepsItsKeysUnderAHigherFence() {
    FleetState state = withOwner().apply(3, register("a", 200, 1, TargetPhase.READY));
    OwnedRange owned = state.table(LEDGER).ranges().get(0);
    assertThat(owned.fence()).isEqualTo(Fence.of(3));
    assertThat(owned.handoverToken()).isEmpty();
  }

  /** Guards against a delayed report that replaces the record of a later incarnation. */
  @Test
  void earlierIncarnationIsIgnored() {
    FleetState state = withOwner().apply(3, register("a", 50, 9, TargetPhase.READY));
    assertThat(state.target(TargetId.of("a")).orElseThrow().incarnationMillis()).isEqualTo(100);
  }

  /** Guards against a stopped target that keeps its keys after another one took its address. */
  @Test
  void reuseOfAnAddressRemovesTheEarlierTarget() {
    FleetState state = withOwner().apply(3, register("b", 300, 1, TargetPhase.READY));
    assertThat(state.target(TargetId.of("a"))).isEmpty();
    assertThat(state.table(LEDGER).ranges()).isEmpty();
  }

  /**
   * Guards against a report with an unknown service that takes the address or the identifier of a
   * target in use, and with it the keys of that target.
   */
  @ParameterizedTest
  @CsvSource({"b, 300", "b, 50", "a, 300", "a, 100"})
  void targetOfAnUnknownServiceReplacesNoTargetInUse(String id, long incarnationMillis) {
    FleetState before = withOwner();
    FleetState state = before.apply(3, registerLater(id, incarnationMillis, 1));
    assertThat(state.targets()).isEqualTo(before.targets());
    assertThat(state.table(LEDGER).ranges()).isEqualTo(before.table(LEDGER).ranges());
  }

  /** Guards against a target that is replaced by one that did not start later. */
  @Test
  void targetThatStartedAtTheSameTimeReplacesNoTarget() {
    FleetState state = withOwner().apply(3, register("b", 100, 1, TargetPhase.READY));
    assertThat(state.targets()).extracting(TargetRecord::id).containsExactly(TargetId.of("a"));
  }

  /**
   * Guards against a target that must be restarted before it is used, because its first reports
   * came before its service was configured.
   */
  @Test
  void targetIsUsedOnceItsServiceIsConfigured() {
    FleetState state =
        withOwner()
            .apply(3, registerLater("b", 300, 1))
            .apply(4, configure(1, LATER))
            .apply(5, registerLater("b", 300, 1));
    assertThat(state.targets()).extracting(TargetRecord::id).containsExactly(TargetId.of("b"));
  }

  /**
   * Guards against a report with an unknown service that keeps the target at its address out of
   * use, and against one that cannot be used any more after its service was configured.
   */
  @Test
  void targetOfAnUnknownServiceIsReplacedByATargetInUse() {
    FleetState state =
        withOwner()
            .apply(3, registerLater("b", 300, 2))
            .apply(4, register("c", 200, 2, TargetPhase.READY));
    assertThat(state.target(TargetId.of("b"))).isEmpty();
    assertThat(state.target(TargetId.of("c"))).isPresent();
    state = state.apply(5, configure(1, LATER)).apply(6, registerLater("b", 300, 2));
    assertThat(state.target(TargetId.of("b"))).isPresent();
    assertThat(state.target(TargetId.of("c"))).isEmpty();
  }

  /**
   * Guards against a delayed report of a stopped target that removes the new owner of its address.
   */
  @Test
  void earlierTargetCannotReclaimItsAddress() {
    FleetState state =
        withOwner()
            .apply(3, register("b", 300, 1, TargetPhase.READY))
            .apply(4, register("a", 100, 1, TargetPhase.READY));
    assertThat(state.target(TargetId.of("b"))).isPresent();
    assertThat(state.target(TargetId.of("a"))).isEmpty();
  }

  /** Guards against keys that are assigned to a target which is leaving or not registered. */
  @Test
  void onlyReadyTargetsReceiveKeys() {
    FleetState state =
        withOwner()
            .apply(3, register("b", 300, 2, TargetPhase.DRAINING))
            .apply(4, assign("b", 0, 9))
            .apply(5, assign("c", 0, 9));
    assertThat(state.table(LEDGER).find(0).orElseThrow().owner()).isEqualTo(TargetId.of("a"));
  }

  /**
   * Guards against an assignment that takes keys from an owner which has not released them, because
   * another assignment was applied after it had been proposed.
   */
  @ParameterizedTest
  @CsvSource({"a, 0, 9, b", "'', 0, 9, a", "c, 0, 9, a", "'', 100, 109, b", "a, 95, 105, b"})
  void onlyKeysOfThePreviousOwnerAreReassigned(
      String previous, int from, int to, String expectedOwner) {
    Optional<TargetId> expectedOwnerBefore =
        previous.isEmpty() ? Optional.empty() : Optional.of(TargetId.of(previous));
    FleetState state =
        withOwner()
            .apply(3, register("b", 300, 2, TargetPhase.READY))
            .apply(4, assignFrom(expectedOwnerBefore, "b", from, to));
    OwnedRange owned = state.table(LEDGER).find(from).orElseThrow();
    assertThat(owned.owner()).isEqualTo(TargetId.of(expectedOwner));
  }

  /**
   * Guards against a joined range whose fence is lower than the fence of one of its parts, and
   * against joining keys without owner.
   */
  @ParameterizedTest
  @CsvSource({"0, 199, 1, 4", "50, 149, 3, 4", "0, 299, 2, 2"})
  void rangesOfOneOwnerAreJoined(int from, int to, int ranges, long fenceOfFirst) {
    FleetState state =
        withOwner()
            .apply(4, assignFrom(Optional.empty(), "a", 100, 199))
            .apply(9, assignFrom(Optional.of(TargetId.of("a")), "a", from, to));
    assertThat(state.table(LEDGER).ranges()).hasSize(ranges);
    assertThat(state.table(LEDGER).find(50).orElseThrow().fence())
        .isEqualTo(Fence.of(fenceOfFirst));
  }

  /** Guards against the removal of a target whose process was restarted after the proposal. */
  @Test
  void removalOfAnEarlierIncarnationIsIgnored() {
    FleetState state =
        withOwner()
            .apply(3, register("a", 200, 1, TargetPhase.READY))
            .apply(4, new FleetCommand.RemoveTarget(TargetId.of("a"), 100));
    assertThat(state.target(TargetId.of("a"))).isPresent();
  }

  private record EarlierSnapshot(
      long index,
      Configuration configuration,
      List<TargetRecord> targets,
      Map<ServiceName, RangeTable> tables) {}

  private record EarlierPolicy(ServiceName name, boolean keyed, int maxConnections) {}

  /** Guards against a member that cannot read the disk of an earlier version. */
  @Test
  void snapshotOfAnEarlierVersionIsRead() {
    FleetState state = withOwner();
    byte[] earlier =
        ControlCodec.encode(
            new EarlierSnapshot(
                state.index(), state.configuration(), state.targets(), state.tables()));
    FleetState copy = FleetState.fromSnapshot(earlier);
    assertThat(copy.targets()).isEqualTo(state.targets());
    assertThat(copy.hasDeparted(state.targets().get(0))).isFalse();
  }

  /** Guards against a stored service that names no grant method and cannot be read. */
  @Test
  void policyOfAnEarlierVersionIsRead() {
    byte[] earlier = ControlCodec.encode(new EarlierPolicy(LEDGER, true, 7));
    assertThat(ControlCodec.decode(earlier, ServicePolicy.class))
        .isEqualTo(new ServicePolicy(LEDGER, true, 7, GrantMethod.HEARTBEAT));
  }

  /** Guards against the loss of state in a snapshot. */
  @Test
  void snapshotPreservesState() {
    FleetState state = withOwner();
    FleetState copy = FleetState.fromSnapshot(state.toSnapshot());
    assertThat(copy.index()).isEqualTo(state.index());
    assertThat(copy.targets()).isEqualTo(state.targets());
    assertThat(copy.table(LEDGER).ranges()).isEqualTo(state.table(LEDGER).ranges());
  }
}
