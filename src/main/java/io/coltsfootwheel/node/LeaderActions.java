package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.MembershipChange;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.keyspace.FleetCommand;
import io.coltsfootwheel.keyspace.TargetCall;
import io.coltsfootwheel.model.InstanceId;

/** Actions of a leader on its process; they are carried out after the current event. */
interface LeaderActions {
  /** Proposes a command for the replicated log and returns the number of the proposal. */
  long propose(FleetCommand command);

  /** Starts a quorum round that confirms leadership and returns the number of the round. */
  long confirmLeadership();

  /** Starts a membership change of the control group. */
  void changeMembership(MembershipChange change, MemberId member);

  /** Sends a message. */
  void send(InstanceId to, NodeMessage message);

  /** Calls a target. */
  void callTarget(TargetCall call);

  /** Answers a call. */
  void answer(long requestId, ControlAnswer answer);

  /** Writes an event to the structured log. */
  void log(LogEvent event);
}
