package io.coltsfootwheel.node;

import io.coltsfootwheel.keyspace.FleetCommand;
import io.coltsfootwheel.keyspace.FleetState;
import io.coltsfootwheel.keyspace.TargetRecord;
import io.coltsfootwheel.model.AvailabilityZone;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Operators' orders to start or end the evacuation of a zone, during the term of one leader.
 *
 * <p>Orders are evaluated one at a time, each against the result of the previous ones. Otherwise an
 * end that arrives while a start is proposed would be confirmed without a command, and the zone
 * would be evacuated from the commit of the start on.
 */
final class EvacuationOrders {
  private final Set<AvailabilityZone> configuredZones;
  private final LeaderActions actions;
  private final BiConsumer<FleetCommand, Consumer<Boolean>> proposer;
  private final Supplier<FleetState> state;
  private final Deque<PendingOrder> queue = new ArrayDeque<>();
  private boolean isProposed;

  private record PendingOrder(long requestId, FleetCommand.SetZoneEvacuation order) {}

  /**
   * Creates a component without orders.
   *
   * @param configuredZones zones that the settings name; when empty, the zones of the registered
   *     targets are known
   * @param actions receives the answers
   * @param proposer proposes a command and passes on whether it was committed
   * @param state returns the replicated state
   */
  EvacuationOrders(
      Set<AvailabilityZone> configuredZones,
      LeaderActions actions,
      BiConsumer<FleetCommand, Consumer<Boolean>> proposer,
      Supplier<FleetState> state) {
    this.configuredZones = configuredZones;
    this.actions = actions;
    this.proposer = proposer;
    this.state = state;
  }

  /** Adds an order; called after a quorum round has confirmed the leadership. */
  void add(long requestId, FleetCommand.SetZoneEvacuation order) {
    queue.add(new PendingOrder(requestId, order));
    evaluate();
  }

  /** Answers the orders that were not proposed, because this process may lead no more. */
  void rejectQueued() {
    queue.forEach(
        o -> answer(o, new ControlAnswer.Unavailable("this process lost the leadership")));
    queue.clear();
  }

  private void evaluate() {
    while (!isProposed && !queue.isEmpty()) {
      PendingOrder next = queue.poll();
      AvailabilityZone zone = next.order().zone();
      boolean isEvacuated = state.get().evacuatedZones().contains(zone);
      if (!isKnown(zone)) {
        answer(next, new ControlAnswer.Invalid("of: zone '" + zone + "' is unknown"));
      } else if (isEvacuated == next.order().evacuated()) {
        answer(next, new ControlAnswer.Accepted());
      } else {
        isProposed = true;
        proposer.accept(next.order(), committed -> finish(next, committed));
      }
    }
  }

  private void finish(PendingOrder order, boolean committed) {
    isProposed = false;
    answer(
        order,
        committed
            ? new ControlAnswer.Accepted()
            : new ControlAnswer.Unavailable("the outcome of the order is unknown"));
    evaluate();
  }

  private void answer(PendingOrder order, ControlAnswer answer) {
    actions.answer(order.requestId(), answer);
  }

  /**
   * Returns whether a zone is known. An evacuated zone stays known when the settings name it no
   * more, so that its evacuation can be ended.
   */
  private boolean isKnown(AvailabilityZone zone) {
    return configuredZones.contains(zone)
        || state.get().evacuatedZones().contains(zone)
        || configuredZones.isEmpty()
            && state.get().targets().stream().map(TargetRecord::zone).anyMatch(zone::equals);
  }
}
