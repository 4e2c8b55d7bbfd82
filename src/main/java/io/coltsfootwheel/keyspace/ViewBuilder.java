package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.routing.GrantMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Builds the view of targets and owners by which entries route requests. */
final class ViewBuilder {
  private final OwnershipSettings settings;
  private final HeartbeatMonitor heartbeats;
  private final RangeMoves moves;
  private final ColdTargets coldTargets;
  private final Function<ServiceName, GrantMethod> grantMethods;

  /**
   * Creates a builder that reads the mutable state of the leader.
   *
   * @param settings the settings
   * @param heartbeats reports and leases of all targets
   * @param moves moves in progress
   * @param coldTargets targets that are warming up
   * @param grantMethods returns the current grant method of a service
   */
  ViewBuilder(
      OwnershipSettings settings,
      HeartbeatMonitor heartbeats,
      RangeMoves moves,
      ColdTargets coldTargets,
      Function<ServiceName, GrantMethod> grantMethods) {
    this.grantMethods = grantMethods;
    this.settings = settings;
    this.heartbeats = heartbeats;
    this.moves = moves;
    this.coldTargets = coldTargets;
  }

  OwnershipView view(long nowNanos, FleetState state) {
    List<OwnershipView.Target> targets =
        state.targets().stream()
            .map(
                t ->
                    new OwnershipView.Target(
                        t.id(),
                        t.service(),
                        t.address(),
                        t.zone(),
                        t.slots(),
                        t.phase(),
                        t.incarnationMillis(),
                        state.isEvacuated(t),
                        coldTargets.state(nowNanos, t)))
            .toList();
    List<OwnershipView.Range> ranges = new ArrayList<>();
    for (ServiceName service : new TreeSet<>(state.tables().keySet())) {
      for (OwnedRange owned : state.table(service).ranges()) {
        ranges.addAll(rangesOf(nowNanos, service, owned, state));
      }
    }
    return new OwnershipView(targets, ranges);
  }

  private List<OwnershipView.Range> rangesOf(
      long nowNanos, ServiceName service, OwnedRange owned, FleetState state) {
    RangeTable stable = RangeTable.of(List.of(owned));
    List<OwnershipView.Range> result = new ArrayList<>();
    int moveMillis =
        (int) grantMethods.apply(service).typicalMoveMillis(settings.reportIntervalMillis());
    for (RangeMove move : moves.all()) {
      if (move.service().equals(service) && move.range().overlaps(owned.range())) {
        stable = stable.withoutRange(move.range());
        KeyRange moving = move.range().intersection(owned.range());
        result.add(new OwnershipView.Range(service, moving, owned.owner(), false, moveMillis));
      }
    }
    boolean granted = isGranted(nowNanos, owned);
    int readyInMillis = granted ? 0 : millisUntilGrant(nowNanos, owned, state);
    for (OwnedRange part : stable.ranges()) {
      result.add(
          new OwnershipView.Range(service, part.range(), part.owner(), granted, readyInMillis));
    }
    return result;
  }

  private boolean isGranted(long nowNanos, OwnedRange owned) {
    return heartbeats.find(owned.owner()).filter(h -> h.isGranted(nowNanos, owned)).isPresent();
  }

  private int millisUntilGrant(long nowNanos, OwnedRange owned, FleetState state) {
    double seconds =
        state
            .target(owned.owner())
            .map(t -> heartbeats.secondsUntilGrant(nowNanos, t))
            .orElse(settings.reportIntervalMillis() / (double) TimeUnit.SECONDS.toMillis(1));
    return (int) (TimeUnit.SECONDS.toMillis(1) * seconds);
  }
}
