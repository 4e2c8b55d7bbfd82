package io.coltsfootwheel.consensus;

import io.coltsfootwheel.model.InstanceId;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Agreement on the initial configuration of a new group; see docs/design.md, section 6. */
final class Bootstrap {
  private static final String UNKNOWN_DISK_ID = "";

  private final MemberCore core;
  private final Map<InstanceId, MemberId> emptyMemberByInstance = new TreeMap<>();
  private long lastDiscoverNanos;
  private boolean discoverSent;

  Bootstrap(MemberCore core) {
    this.core = core;
  }

  /**
   * On the initial instance with the lowest name, asks all other initial instances whether their
   * data folders are empty, and sets the initial configuration once all of them are.
   */
  void tick() {
    List<InstanceId> initial = core.settings.initialMembers();
    boolean isLowest = !initial.isEmpty() && initial.get(0).equals(core.self().instance());
    if (!isLowest || !isEmptyMember()) {
      return;
    }
    if (emptyMemberByInstance.size() == initial.size() - 1) {
      createInitialConfiguration();
    } else if (!discoverSent || core.now() - lastDiscoverNanos >= core.settings.heartbeatNanos()) {
      sendDiscover();
    }
  }

  private boolean isEmptyMember() {
    return core.term() == 0 && core.log.lastIndex() == 0 && core.log.configuration().isEmpty();
  }

  private void sendDiscover() {
    discoverSent = true;
    lastDiscoverNanos = core.now();
    core.settings.initialMembers().stream()
        .filter(i -> !i.equals(core.self().instance()))
        .map(i -> new MemberId(i, UNKNOWN_DISK_ID))
        .forEach(
            m ->
                core.outbox.sendImmediately(
                    m, new ReplicationMessage.Discover(core.self().diskId())));
  }

  private void createInitialConfiguration() {
    Map<InstanceId, MemberId> members = new TreeMap<>(emptyMemberByInstance);
    members.put(core.self().instance(), core.self());
    core.setInitialConfiguration(GroupConfiguration.of(List.copyOf(members.values())));
    core.expireElectionTimer();
  }

  void onDiscover(MemberId from, ReplicationMessage.Discover request) {
    core.outbox.sendAfterSync(
        from, new ReplicationMessage.DiscoverResponse(request.diskId(), isEmptyMember()));
  }

  void onDiscoverResponse(MemberId from, ReplicationMessage.DiscoverResponse response) {
    boolean isCurrent = response.diskId().equals(core.self().diskId());
    if (!isCurrent || !core.settings.initialMembers().contains(from.instance())) {
      return;
    }
    if (response.empty()) {
      emptyMemberByInstance.put(from.instance(), from);
    } else {
      emptyMemberByInstance.remove(from.instance());
    }
  }

  void onBootstrap(ReplicationMessage.Bootstrap message) {
    boolean isAccepted =
        core.log.configuration().isEmpty()
            && core.log.lastIndex() == 0
            && message.configuration().hasVoter(core.self());
    if (isAccepted) {
      core.setInitialConfiguration(message.configuration());
    }
  }
}
