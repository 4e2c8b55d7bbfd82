package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.ServiceName;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/** Makes the view of targets and owners that entries route by. */
final class ViewBuilder {
  /** Usual time of a move: the owner's release and half an interval to the receiver's report. */
  private static final double MOVE_INTERVALS = 0.5;

  private final OwnershipSettings settings;
  private final Contacts contacts;
  private final Moves moves;

  ViewBuilder(OwnershipSettings settings, Contacts contacts, Moves moves) {
    this.settings = settings;
    this.contacts = contacts;
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
    RangeTable rest = RangeTable.of(List.of(owned));
    List<OwnershipView.Range> result = new ArrayList<>();
    int moveMillis = (int) (MOVE_INTERVALS * settings.reportIntervalMillis());
    for (Move move : moves.all()) {
      if (move.service().equals(service) && move.range().overlaps(owned.range())) {
        rest = rest.cutting(move.range());
        KeyRange moving = move.range().intersection(owned.range());
        result.add(new OwnershipView.Range(service, moving, owned.owner(), false, moveMillis));
      }
    }
    boolean granted = isGranted(nowNanos, owned);
    int readyInMillis = granted ? 0 : millisToReport(nowNanos, owned);
    for (OwnedRange part : rest.ranges()) {
      result.add(
          new OwnershipView.Range(service, part.range(), part.owner(), granted, readyInMillis));
    }
    return result;
  }

  private boolean isGranted(long nowNanos, OwnedRange owned) {
    return contacts
        .find(owned.owner())
        .filter(c -> owned.fence().value() <= c.answeredIndex())
        .filter(c -> !c.isLeaseEnded(nowNanos))
        .isPresent();
  }

  private int millisToReport(long nowNanos, OwnedRange owned) {
    return (int) (TimeUnit.SECONDS.toMillis(1) * contacts.secondsToReport(nowNanos, owned.owner()));
  }
}
