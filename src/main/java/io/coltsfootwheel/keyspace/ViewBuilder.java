package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.ServiceName;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/** Builds the view of targets and owners by which entries route requests. */
final class ViewBuilder {
  /**
   * Typical duration of a move in report intervals: the owner releases the range at once, and the
   * next report of the receiver is half an interval away on average.
   */
  private static final double MOVE_DURATION_INTERVALS = 0.5;

  private final OwnershipSettings settings;
  private final HeartbeatMonitor heartbeats;
  private final RangeMoves moves;

  ViewBuilder(OwnershipSettings settings, HeartbeatMonitor heartbeats, RangeMoves moves) {
    this.settings = settings;
    this.heartbeats = heartbeats;
    this.moves = moves;
  }

  OwnershipView view(long nowNanos, FleetState state) {
    List<OwnershipView.Target> targets =
        state.targets().stream()
            .map(
                t ->
                    new OwnershipView.Target(
                        t.id(), t.service(), t.address(), t.zone(), t.slots(), t.phase()))
            .toList();
    List<OwnershipView.Range> ranges = new ArrayList<>();
    for (ServiceName service : new TreeSet<>(state.tables().keySet())) {
      for (OwnedRange owned : state.table(service).ranges()) {
        ranges.addAll(rangesOf(nowNanos, service, owned));
      }
    }
    return new OwnershipView(targets, ranges);
  }

  private List<OwnershipView.Range> rangesOf(long nowNanos, ServiceName service, OwnedRange owned) {
    RangeTable stable = RangeTable.of(List.of(owned));
    List<OwnershipView.Range> result = new ArrayList<>();
    int moveMillis = (int) (MOVE_DURATION_INTERVALS * settings.reportIntervalMillis());
    for (RangeMove move : moves.all()) {
      if (move.service().equals(service) && move.range().overlaps(owned.range())) {
        stable = stable.withoutRange(move.range());
        KeyRange moving = move.range().intersection(owned.range());
        result.add(new OwnershipView.Range(service, moving, owned.owner(), false, moveMillis));
      }
    }
    boolean granted = isGranted(nowNanos, owned);
    int readyInMillis = granted ? 0 : millisUntilNextReport(nowNanos, owned);
    for (OwnedRange part : stable.ranges()) {
      result.add(
          new OwnershipView.Range(service, part.range(), part.owner(), granted, readyInMillis));
    }
    return result;
  }

  private boolean isGranted(long nowNanos, OwnedRange owned) {
    return heartbeats
        .find(owned.owner())
        .filter(h -> owned.fence().value() <= h.grantedIndex())
        .filter(h -> !h.isLeaseEnded(nowNanos))
        .isPresent();
  }

  private int millisUntilNextReport(long nowNanos, OwnedRange owned) {
    return (int)
        (TimeUnit.SECONDS.toMillis(1) * heartbeats.secondsUntilNextReport(nowNanos, owned.owner()));
  }
}
