package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;
import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.ReservedSlots;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.loadcontrol.PermitGrant;
import io.coltsfootwheel.loadcontrol.RefusalCounts;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.Configuration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests messages between processes of this version and of the one before it. */
class NodeMessageTest {
  private static final Address ADDRESS = new Address("10.9.0.1", 7_000);
  private static final LoadReport NO_LOAD = new LoadReport(Map.of(), List.of());

  /** Subscription without the time at which it was sent. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
  @JsonTypeName("s")
  private record EarlierSubscribe(
      Address linkAddress,
      long configurationVersion,
      long term,
      long viewSequence,
      LoadReport load,
      long estimateSequence) {}

  /** Target without its incarnation. */
  private record EarlierTarget(
      TargetId id,
      ServiceName service,
      Address address,
      AvailabilityZone zone,
      int slots,
      TargetPhase phase) {}

  private record EarlierView(List<EarlierTarget> targets, List<OwnershipView.Range> ranges) {}

  /** Routing update without the time of a confirmed subscription. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
  @JsonTypeName("v")
  private record EarlierRouting(
      long term,
      long viewSequence,
      long configurationVersion,
      Optional<Configuration> configuration,
      Optional<EarlierView> view,
      Optional<OwnershipView.Change> change,
      Map<TargetId, TargetLoadEstimate> loadEstimates,
      int entries,
      List<InstanceId> members,
      long estimateSequence) {}

  private static EarlierTarget earlierTarget() {
    return new EarlierTarget(
        TargetId.of("t"),
        ServiceName.of("s"),
        ADDRESS,
        AvailabilityZone.of("z"),
        2,
        TargetPhase.READY);
  }

  private static NodeMessage.Routing routing(OptionalLong confirmedNanos) {
    return new NodeMessage.Routing(
        1,
        2,
        3,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Map.of(),
        1,
        List.of(),
        0,
        confirmedNanos);
  }

  /** Load report without permits. */
  private record EarlierLoadReport(
      Map<ServiceName, Map<Integer, Integer>> requestsByKey,
      List<LoadReport.TargetObservation> targets) {}

  /** Guards against a report of an entry of the earlier version that cannot be read. */
  @Test
  void reportOfTheEarlierVersionAsksForNoPermits() {
    byte[] earlier = ControlCodec.encode(new EarlierLoadReport(Map.of(), List.of()));
    assertThat(ControlCodec.decode(earlier, LoadReport.class)).isEqualTo(NO_LOAD);
  }

  /** Guards against permits that are lost in the encoding. */
  @Test
  void permitsArriveAsTheyWereSent() {
    NodeMessage sent =
        routing(OptionalLong.empty())
            .withPermits(
                new NodeMessage.Permits(5, Map.of(TargetId.of("t"), new PermitGrant(2, 300))));
    assertThat(NodeMessage.decode(sent.toFrame())).isEqualTo(sent);
  }

  /** Guards against entries that fail on the updates of a leader of the earlier version. */
  @Test
  void updateOfTheEarlierVersionConfirmsNothing() {
    EarlierRouting earlier =
        new EarlierRouting(
            1,
            2,
            3,
            Optional.empty(),
            Optional.of(new EarlierView(List.of(earlierTarget()), List.of())),
            Optional.empty(),
            Map.of(),
            1,
            List.of(),
            0);
    NodeMessage.Routing read =
        ControlCodec.decode(ControlCodec.encode(earlier), NodeMessage.Routing.class);
    assertThat(read.confirmedNanos()).isEmpty();
    assertThat(read.reserves()).isEmpty();
    assertThat(read.permits()).isEmpty();
    assertThat(read.view().orElseThrow().targets().get(0).incarnationMillis()).isZero();
  }

  /** Guards against a leader that fails on the subscription of an entry of the earlier version. */
  @Test
  void subscriptionOfTheEarlierVersionIsRead() {
    EarlierSubscribe earlier = new EarlierSubscribe(ADDRESS, 1, 2, 3, NO_LOAD, 4);
    NodeMessage.Subscribe read =
        ControlCodec.decode(ControlCodec.encode(earlier), NodeMessage.Subscribe.class);
    assertThat(read).isEqualTo(new NodeMessage.Subscribe(ADDRESS, 1, 2, 3, NO_LOAD, 4, 0, false));
  }

  /** Observation and estimate without response times, overload signals and limit. */
  private record EarlierObservation(TargetId target, int inFlight, int completed) {}

  private record EarlierEstimate(int inFlight, int millisPerRequest) {}

  /** Guards against observations and estimates that one of two versions cannot read. */
  @Test
  void observationsAndEstimatesOfBothVersionsAreRead() {
    EarlierObservation observation = new EarlierObservation(TargetId.of("t"), 3, 4);
    assertThat(
            ControlCodec.decode(
                ControlCodec.encode(observation), LoadReport.TargetObservation.class))
        .isEqualTo(new LoadReport.TargetObservation(TargetId.of("t"), 3, 4));
    assertThat(
            ControlCodec.decode(
                ControlCodec.encode(
                    new LoadReport.TargetObservation(
                        TargetId.of("t"), 3, 4, 5, 6, 7, new RefusalCounts(8, 9, 10))),
                EarlierObservation.class))
        .isEqualTo(observation);
    EarlierEstimate estimate = new EarlierEstimate(3, 120);
    assertThat(ControlCodec.decode(ControlCodec.encode(estimate), TargetLoadEstimate.class))
        .isEqualTo(new TargetLoadEstimate(3, 120, 0));
    assertThat(
            ControlCodec.decode(
                ControlCodec.encode(new TargetLoadEstimate(3, 120, 9)), EarlierEstimate.class))
        .isEqualTo(estimate);
  }

  /** Guards against entries of the earlier version that fail on updates of this version. */
  @Test
  void updateIsReadByTheEarlierVersion() {
    EarlierRouting read =
        ControlCodec.decode(ControlCodec.encode(routing(OptionalLong.of(5))), EarlierRouting.class);
    assertThat(read.configurationVersion()).isEqualTo(3);
  }

  /** Guards against a confirmed time that is lost on its way. */
  @Test
  void confirmedTimeIsTransferred() {
    NodeMessage sent = routing(OptionalLong.of(5));
    assertThat(NodeMessage.decode(sent.toFrame())).isEqualTo(sent);
    NodeMessage unconfirmed = routing(OptionalLong.empty());
    assertThat(NodeMessage.decode(unconfirmed.toFrame())).isEqualTo(unconfirmed);
  }

  /** Guards against reserves that are lost on their way, or taken for those of an older leader. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void reservesAreTransferred(int count) {
    NodeMessage.Routing plain = routing(OptionalLong.empty());
    NodeMessage sent =
        new NodeMessage.Routing(
            plain.term(),
            plain.viewSequence(),
            plain.configurationVersion(),
            plain.configuration(),
            plain.view(),
            plain.change(),
            plain.loadEstimates(),
            plain.entries(),
            plain.members(),
            1,
            plain.confirmedNanos(),
            Optional.of(Collections.nCopies(count, new ReservedSlots(ServiceName.of("s"), 2, 10))),
            Optional.empty());
    assertThat(NodeMessage.decode(sent.toFrame())).isEqualTo(sent);
  }

  /** Guards against a leader that fails on the load report of an entry of the earlier version. */
  @Test
  void loadReportOfTheEarlierVersionHasNoDemand() {
    record EarlierReport(
        Map<ServiceName, Map<Integer, Integer>> requestsByKey,
        List<LoadReport.TargetObservation> targets) {}

    byte[] encoded = ControlCodec.encode(new EarlierReport(Map.of(), List.of()));
    assertThat(ControlCodec.decode(encoded, LoadReport.class)).isEqualTo(NO_LOAD);
  }

  /** Guards against an update that differs after it was encoded once for many entries. */
  @Test
  void encodedUpdateIsReadAsItWas() {
    NodeMessage update = routing(OptionalLong.of(5));
    assertThat(NodeMessage.decode(NodeMessage.Encoded.of(update).toFrame())).isEqualTo(update);
  }

  /** Guards against a receiver that follows messages within messages without end. */
  @Test
  void encodedMessageWithinAnotherIsNotFollowed() {
    NodeMessage inner = NodeMessage.Encoded.of(routing(OptionalLong.empty()));
    assertThat(NodeMessage.decode(NodeMessage.Encoded.of(inner).toFrame()))
        .isInstanceOf(NodeMessage.Encoded.class);
  }
}
