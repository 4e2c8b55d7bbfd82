package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.FleetCommand;
import io.coltsfootwheel.keyspace.FleetState;
import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.keyspace.TargetRecord;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Answers of a leader whose changes of the view wait, because it has many entries. */
class CollectedChangesTest {
  private static final int ENTRIES = 84;
  private static final long TICK_MILLIS = 20;
  private static final long DRAIN_MILLIS = 460;

  /** Just after the change before it was sent. */
  private static final long LEAVE_MILLIS = 480;

  private static final long TERM = 1;
  private static final InstanceId ENTRY = InstanceId.of("10.9.0.0");
  private final List<NodeMessage> sent = new ArrayList<>();
  private FleetState state =
      FleetState.empty().apply(1, new FleetCommand.RegisterTarget(target(TargetPhase.READY)));
  private final LeaderSession session =
      new LeaderSession(
          InstanceId.of("10.0.0.1"),
          TERM,
          new RecordingActions(sent),
          OwnershipSettings.of(870, 10_000),
          new GroupMembership(5, TimeUnit.SECONDS.toNanos(2), 0),
          state,
          Set.of(),
          0);
  private final EntryRouting routing = new EntryRouting();
  private OwnershipView view = OwnershipView.empty();

  private static TargetRecord target(TargetPhase phase) {
    return new TargetRecord(
        TargetId.of("t"),
        1,
        ServiceName.of("s"),
        new Address("10.1.0.1", 80),
        AvailabilityZone.of("z"),
        2,
        phase);
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Lets the entry subscribe, and receive all that was sent to it. */
  private void subscribe(long millis) {
    session.setEventTime(nanos(millis));
    session.subscribe(
        nanos(millis),
        ENTRY,
        new NodeMessage.Subscribe(
            new Address("10.9.0.0", 7_000),
            0,
            routing.viewTerm(),
            routing.statedViewSequence(),
            new LoadReport(Map.of(), List.of()),
            0,
            nanos(millis),
            false));
    receive();
  }

  private void tick(long millis) {
    session.setEventTime(nanos(millis));
    session.tick(nanos(millis), List.of());
    session.onConfirmationResult(0, true);
    receive();
  }

  private void receive() {
    for (NodeMessage message : sent) {
      view = routing.apply((NodeMessage.Routing) message).view().orElse(view);
    }
    sent.clear();
  }

  private void change(long millis, TargetPhase phase) {
    session.setEventTime(nanos(millis));
    FleetCommand command = new FleetCommand.RegisterTarget(target(phase));
    state = state.apply(state.index() + 1, command);
    session.onApplied(command, state);
  }

  private boolean knowsTheLeave() {
    return view.targets().stream().noneMatch(t -> t.phase() != TargetPhase.LEFT);
  }

  /**
   * Guards against an entry that takes its targets for the newest, by a question that it asked
   * after a leave was confirmed, while this leave waits to be sent: its drain time starts too late.
   */
  @Test
  void leaveIsSentBeforeLaterQuestionsAreConfirmed() {
    session.setEntries(
        IntStream.range(0, ENTRIES).mapToObj(i -> InstanceId.of("10.9.0." + i)).toList());
    subscribe(0);
    for (long millis = TICK_MILLIS; millis < 1_000; millis += TICK_MILLIS) {
      tick(millis);
      if (millis == DRAIN_MILLIS) {
        change(millis + 1, TargetPhase.DRAINING);
      } else if (millis == LEAVE_MILLIS) {
        change(millis + 1, TargetPhase.LEFT);
      }
      subscribe(millis + 2);
      long confirmedNanos =
          routing.confirmation().map(c -> c.confirmedNanos().getAsLong()).orElse(0L);
      if (confirmedNanos > nanos(LEAVE_MILLIS + 1)) {
        assertThat(knowsTheLeave()).as("at %d ms", millis).isTrue();
      }
    }
    assertThat(knowsTheLeave()).isTrue();
  }
}
