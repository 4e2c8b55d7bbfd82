package io.coltsfootwheel.daemon;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.ReplicationReducer;
import io.coltsfootwheel.consensus.ReplicationSettings;
import io.coltsfootwheel.control.Supervisor;
import io.coltsfootwheel.dispatch.DispatchSettings;
import io.coltsfootwheel.dispatch.EntryRouter;
import io.coltsfootwheel.dispatch.EntrySettings;
import io.coltsfootwheel.journal.Journal;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.settings.DaemonSettings;
import java.util.List;
import java.util.Optional;

/** Creates the reducers of a daemon from its settings. */
final class InstanceReducerFactory {
  private final DaemonSettings settings;
  private final String session;
  private final List<InstanceId> members;

  /**
   * Creates a factory.
   *
   * @param settings the settings
   * @param session identifier of this process
   * @param members the control members
   */
  InstanceReducerFactory(DaemonSettings settings, String session, List<InstanceId> members) {
    this.settings = settings;
    this.session = session;
    this.members = members;
  }

  /**
   * Creates a control member that continues from the content of a journal.
   *
   * @param opened the journal, to which nothing has been written since it was opened
   * @return the member
   */
  MemberReducer member(Journal opened) {
    MemberId id = new MemberId(settings.instance(), opened.diskId());
    ReplicationSettings replication =
        ReplicationSettings.of(id, settings.initialMembers(), true, session.hashCode());
    return new MemberReducer(
        id,
        new ReplicationReducer(replication, opened.recovered(), System.nanoTime()),
        new Supervisor(),
        settings.services(),
        members,
        MemberReducer.COMMANDS_BETWEEN_SNAPSHOTS);
  }

  /**
   * Creates the reducer of the instance.
   *
   * @param member the control member, empty on an instance without a disk
   * @return the reducer
   */
  InstanceReducer instance(Optional<MemberReducer> member) {
    InstanceId self = settings.instance();
    long nowNanos = System.nanoTime();
    Optional<StateFollower> follower =
        member.isPresent()
            ? Optional.empty()
            : Optional.of(
                new StateFollower(members, self, settings.advertisedLinkAddress(), nowNanos));
    InstanceSpec spec =
        new InstanceSpec(
            self,
            settings.zone(),
            settings.advertisedLinkAddress(),
            settings.advertisedHttpAddress(),
            session);
    LeaseClient lease = new LeaseClient(spec, nowNanos);
    EntryRouter router =
        new EntryRouter(
            self, session, settings.zone(), EntrySettings.defaults(), session.hashCode());
    RequestReducer requests = new RequestReducer(self, lease.session(), dispatchSettings(), router);
    return new InstanceReducer(self, members, member, follower, lease, requests);
  }

  private DispatchSettings dispatchSettings() {
    DispatchSettings defaults = DispatchSettings.defaults();
    return new DispatchSettings(
        settings.limits().queueFactor(),
        defaults.maxIdentityRecords(),
        defaults.identityRetentionMillis());
  }
}
