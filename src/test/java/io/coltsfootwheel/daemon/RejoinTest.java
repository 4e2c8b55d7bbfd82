package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.consensus.ReplicationReducer;
import io.coltsfootwheel.consensus.ReplicationSettings;
import io.coltsfootwheel.control.Supervisor;
import io.coltsfootwheel.dispatch.DispatchSettings;
import io.coltsfootwheel.dispatch.EntryRouter;
import io.coltsfootwheel.dispatch.EntrySettings;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against an instance that never registers again after its session has expired. */
class RejoinTest {
  private static final InstanceId MEMBER = InstanceId.of("member");
  private static final InstanceId FOLLOWER = InstanceId.of("follower");
  private static final List<InstanceId> MEMBERS = List.of(MEMBER);

  /** Unregistered instances to which the member has a link, because they have subscribed. */
  private final Set<InstanceId> addedPeers = new HashSet<>();

  private final MemberReducer memberReducer =
      new MemberReducer(
          new MemberId(MEMBER, "disk"),
          new ReplicationReducer(
              ReplicationSettings.of(new MemberId(MEMBER, "disk"), MEMBERS, true, 1),
              DurableState.empty(),
              0),
          new Supervisor(),
          List.of(),
          MEMBERS,
          MemberReducer.COMMANDS_BETWEEN_SNAPSHOTS);
  private final InstanceReducer member =
      reducer(MEMBER, Optional.of(memberReducer), Optional.empty(), lease(MEMBER));
  private final LeaseClient followerLease = lease(FOLLOWER);
  private final InstanceReducer follower =
      reducer(
          FOLLOWER,
          Optional.empty(),
          Optional.of(new StateFollower(MEMBERS, FOLLOWER, address(FOLLOWER), 0)),
          followerLease);
  private long nowMillis;

  @Test
  void anInstanceThatWasPausedPastItsLeaseRegistersAgain() {
    advance(1_000, true);
    assertThat(followerLease.isLeased(now())).isTrue();
    advance(2_000, false);
    assertThat(memberReducer.state().instance(FOLLOWER)).isEmpty();
    advance(1_500, true);
    assertThat(memberReducer.state().instance(FOLLOWER)).isPresent();
    assertThat(followerLease.isLeased(now())).isTrue();
  }

  private void advance(long millis, boolean followerRuns) {
    for (long end = nowMillis + millis; nowMillis < end; nowMillis += 10) {
      deliver(MEMBER, member.apply(new InstanceEvent.Tick(now())));
      if (followerRuns) {
        deliver(FOLLOWER, follower.apply(new InstanceEvent.Tick(now())));
      }
    }
  }

  private void deliver(InstanceId from, List<InstanceEffect> effects) {
    for (InstanceEffect effect : effects) {
      if (effect instanceof InstanceEffect.SendMessage send) {
        send(from, send);
      } else if (effect instanceof InstanceEffect.AddPeer peer) {
        addedPeers.add(peer.instance());
      } else if (effect instanceof InstanceEffect.Persist persist) {
        ReplicationEvent persisted =
            new ReplicationEvent.Persisted(now(), persist.effect().sequence());
        deliver(from, member.apply(new InstanceEvent.Replication(persisted)));
      }
    }
  }

  private void send(InstanceId from, InstanceEffect.SendMessage send) {
    boolean linked =
        from.equals(FOLLOWER)
            || addedPeers.contains(send.to())
            || memberReducer.state().instance(send.to()).isPresent();
    if (linked) {
      InstanceReducer receiver = send.to().equals(MEMBER) ? member : follower;
      deliver(
          send.to(),
          receiver.apply(new InstanceEvent.MessageReceived(now(), from, send.message())));
    }
  }

  private long now() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }

  private static Address address(InstanceId id) {
    return new Address("127.0.0.1", id.equals(MEMBER) ? 1 : 2);
  }

  private static LeaseClient lease(InstanceId id) {
    AvailabilityZone zone = AvailabilityZone.of("plateau");
    return new LeaseClient(new InstanceSpec(id, zone, address(id), address(id), "s"), 0);
  }

  private static InstanceReducer reducer(
      InstanceId id,
      Optional<MemberReducer> memberReducer,
      Optional<StateFollower> stateFollower,
      LeaseClient lease) {
    EntryRouter entry =
        new EntryRouter(id, "s", AvailabilityZone.of("plateau"), EntrySettings.defaults(), 1);
    RequestReducer requests =
        new RequestReducer(id, lease.session(), DispatchSettings.defaults(), entry);
    return new InstanceReducer(id, MEMBERS, memberReducer, stateFollower, lease, requests);
  }
}
