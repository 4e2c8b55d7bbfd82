package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.MembershipChange;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.keyspace.FleetCommand;
import io.coltsfootwheel.keyspace.TargetCall;
import io.coltsfootwheel.model.InstanceId;
import java.util.List;

/**
 * Records the messages of a leader and ignores its other actions.
 *
 * @param sent receives the messages
 */
record RecordingActions(List<NodeMessage> sent) implements LeaderActions {
  @Override
  public long propose(FleetCommand command) {
    return 0;
  }

  @Override
  public long confirmLeadership() {
    return 0;
  }

  @Override
  public void changeMembership(MembershipChange change, MemberId member) {}

  @Override
  public void send(InstanceId to, NodeMessage message) {
    sent.add(message);
  }

  @Override
  public void callTarget(TargetCall call) {}

  @Override
  public void answer(long requestId, ControlAnswer answer) {}

  @Override
  public void log(LogEvent event) {}
}
