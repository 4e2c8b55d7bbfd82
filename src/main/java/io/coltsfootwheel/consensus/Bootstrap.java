package io.coltsfootwheel.consensus;

import io.coltsfootwheel.model.InstanceId;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/** Agreement on the initial configuration of a new group; see docs/design.md, section 6. */
final class Bootstrap {
  private static final String UNKNOWN_DISK_ID = "";

  /**
   * Time for which the other initial instances leave the initial configuration to the first one.
   */
  private static final long TAKEOVER_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final MemberCore core;
  private final Map<InstanceId, MemberId> emptyMemberByInstance = new TreeMap<>();
  private final Set<InstanceId> bootstrappingInstances = new TreeSet<>();
  private final long startNanos;
  private long lastDiscoverNanos;
  private boolean discoverSent;

  Bootstrap(MemberCore core) {
    this.core = core;
    this.startNanos = core.now();
  }

  /**
   * On the initial instance with the lowest name, asks all other initial instances whether their
   * data folders are empty, and sets the initial configuration once all of them are. When there is
   * none after a while, each initial instance asks, and the first one in the order of names that
   * bootstraps sets it: an instance that was started again meanwhile does not bootstrap any more.
   */
  void tick() {
    if (!isBootstrapping() || !isLowest() && !isTakeoverDue()) {
      return;
    }
    boolean allEmpty = emptyMemberByInstance.size() == core.settings.initialMembers().size() - 1;
    if (allEmpty && isFirstToBootstrap()) {
      createInitialConfiguration();
    } else if (!discoverSent || core.now() - lastDiscoverNanos >= core.settings.heartbeatNanos()) {
      sendDiscover();
    }
  }

  private boolean isBootstrapping() {
    return core.settings.initialMembers().contains(core.self().instance()) && isEmptyMember();
  }

  private boolean isLowest() {
    return core.settings.initialMembers().get(0).equals(core.self().instance());
  }

  private boolean isTakeoverDue() {
    return core.now() - startNanos >= TAKEOVER_DELAY_NANOS;
  }

  private boolean isFirstToBootstrap() {
    return core.settings.initialMembers().stream()
        .takeWhile(i -> !i.equals(core.self().instance()))
        .noneMatch(bootstrappingInstances::contains);
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
        from,
        new ReplicationMessage.DiscoverResponse(
            request.diskId(), isEmptyMember(), isBootstrapping()));
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
    if (response.bootstraps()) {
      bootstrappingInstances.add(from.instance());
    } else {
      bootstrappingInstances.remove(from.instance());
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
