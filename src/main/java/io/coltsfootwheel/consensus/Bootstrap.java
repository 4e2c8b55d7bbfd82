package io.coltsfootwheel.consensus;

import io.coltsfootwheel.model.InstanceId;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** First configuration of a group; see docs/design.md, section 6. */
final class Bootstrap {
  private static final String UNKNOWN_DISK = "";

  private final MemberCore core;
  private final Map<InstanceId, MemberId> emptyMembers = new TreeMap<>();
  private long askedNanos;
  private boolean asked;

  Bootstrap(MemberCore core) {
    this.core = core;
  }

  /** The lowest initial instance asks all others until every one of them has reported empty. */
  void tick() {
    List<InstanceId> initial = core.settings.initialMembers();
    boolean lowest = !initial.isEmpty() && initial.get(0).equals(core.self().instance());
    if (!lowest || !isEmpty()) {
      return;
    }
    if (emptyMembers.size() == initial.size() - 1) {
      fixConfiguration();
    } else if (!asked || core.now() - askedNanos >= core.settings.heartbeatNanos()) {
      askOthers();
    }
  }

  private boolean isEmpty() {
    return core.term() == 0 && core.log.lastIndex() == 0 && core.log.configuration().isEmpty();
  }

  private void askOthers() {
    asked = true;
    askedNanos = core.now();
    core.settings.initialMembers().stream()
        .filter(i -> !i.equals(core.self().instance()))
        .map(i -> new MemberId(i, UNKNOWN_DISK))
        .forEach(
            m -> core.outbox.sendNow(m, new ReplicationMessage.Discover(core.self().diskId())));
  }

  private void fixConfiguration() {
    Map<InstanceId, MemberId> members = new TreeMap<>(emptyMembers);
    members.put(core.self().instance(), core.self());
    core.fixInitialConfiguration(Configuration.of(List.copyOf(members.values())));
    core.expireElectionTimer();
  }

  void onDiscover(MemberId from, ReplicationMessage.Discover request) {
    core.outbox.sendDurably(
        from, new ReplicationMessage.DiscoverResponse(request.diskId(), isEmpty()));
  }

  void onDiscoverResponse(MemberId from, ReplicationMessage.DiscoverResponse response) {
    boolean current = response.diskId().equals(core.self().diskId());
    if (!current || !core.settings.initialMembers().contains(from.instance())) {
      return;
    }
    if (response.empty()) {
      emptyMembers.put(from.instance(), from);
    } else {
      emptyMembers.remove(from.instance());
    }
  }

  void onBootstrap(ReplicationMessage.Bootstrap message) {
    boolean accepts =
        core.log.configuration().isEmpty()
            && core.log.lastIndex() == 0
            && message.configuration().hasVoter(core.self());
    if (accepts) {
      core.fixInitialConfiguration(message.configuration());
    }
  }
}
