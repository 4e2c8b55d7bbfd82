package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.MembershipChange;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.keyspace.FleetCommand;
import io.coltsfootwheel.model.InstanceId;

/** What a leader asks of the process that it runs in; everything is carried out after the event. */
interface LeaderPort {
  /** Proposes a command under a new number and returns the number. */
  long propose(FleetCommand command);

  /** Asks for the proof of leadership under a new number and returns the number. */
  long confirmLeadership();

  /** Asks for a change of the group. */
  void changeMembership(MembershipChange change, MemberId member);

  /** Sends a message. */
  void send(InstanceId to, NodeMessage message);

  /** Answers a call. */
  void answer(long requestId, ControlAnswer answer);

  /** Writes a log line. */
  void log(LogEvent event);
}
