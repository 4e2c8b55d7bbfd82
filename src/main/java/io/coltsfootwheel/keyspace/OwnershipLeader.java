package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.ServicePolicy;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Decisions of the control leader about targets and the keys that they hold, for one term.
 *
 * <p>What a target may hold is replicated before it is granted; the end of each lease is known to
 * the leader alone. A new leader therefore assumes that every owner was granted its keys at the
 * moment of the election. A range moves in three steps: it is left out of the answer to its owner,
 * the owner reports that it no longer holds it or its lease ends, the new owner is replicated and
 * granted the range in the answer to its next report.
 *
 * <p>Usage: the driver proposes the commands that {@link #report} and {@link #tick} return, calls
 * {@link #applied} for each applied command, and answers reports with {@link #grant}.
 */
public final class OwnershipLeader {
  /**
   * The keys of a new service are divided when no further target has registered for this many
   * report intervals; a division among the first few would be followed by many moves.
   */
  private static final double FIRST_DIVISION_INTERVALS = 1.5;

  /** A target without keys receives some when it has been known for this long. */
  private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /**
   * Unkeyed targets need no lease, and one that is cut off from control may still serve; entries
   * notice by themselves when it does not.
   */
  private static final long SILENT_UNKEYED_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Many silent targets at once point to a fault of the control side, which may pass. */
  private static final double MASS_SILENCE_SHARE = 0.34;

  private static final int MASS_SILENCE_MIN = 3;
  private static final long MASS_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** A report may be this late before its sender is passed over as a receiver of keys. */
  private static final double LATE_REPORT_INTERVALS = 1.6;

  private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final OwnershipSettings settings;
  private final Map<TargetId, Contact> contacts = new HashMap<>();
  private final Map<ServiceName, Long> lastRegistrationNanos = new HashMap<>();
  private final List<Move> moves = new ArrayList<>();
  private final Set<TargetId> removing = new HashSet<>();
  private final Set<ServiceName> assigningGaps = new HashSet<>();
  private final LoadBook book = new LoadBook();
  private final long gainedNanos;
  private FleetState state;
  private long forgottenNanos;
  private long endedLeases;
  private boolean viewChanged = true;

  /**
   * Starts a term.
   *
   * @param settings the settings
   * @param state replicated state at the start of the term
   * @param nowNanos monotonic time
   */
  public OwnershipLeader(OwnershipSettings settings, FleetState state, long nowNanos) {
    this.settings = settings;
    this.state = state;
    this.gainedNanos = nowNanos;
    state.targets().forEach(t -> contact(nowNanos, t));
  }

  /**
   * Tells the outcome of a report.
   *
   * @param commands commands to propose
   * @param mustBeApplied true when the answer has to wait for the first command
   * @param isCurrent false for a delayed report, whose sender gets no grant
   */
  public record Observed(List<FleetCommand> commands, boolean mustBeApplied, boolean isCurrent) {}

  /**
   * Takes a report.
   *
   * @param nowNanos monotonic time of its arrival
   * @param report the report
   * @return what follows from it
   */
  public Observed report(long nowNanos, HeartbeatReport report) {
    TargetRecord target = report.target();
    if (isOutdated(report)) {
      return new Observed(List.of(), false, false);
    }
    Optional<TargetRecord> known = state.target(target.id());
    Contact contact = contact(nowNanos, target);
    contact.reported(
        nowNanos,
        report.sequence(),
        nowNanos + TimeUnit.MILLISECONDS.toNanos(report.warmupLeftMillis()));
    List<FleetCommand> commands = new ArrayList<>();
    boolean changed = !known.equals(Optional.of(target));
    if (changed) {
      lastRegistrationNanos.put(target.service(), nowNanos);
      commands.add(new FleetCommand.RegisterTarget(target));
    }
    commands.addAll(assignReleased(nowNanos, report));
    boolean drains = changed && target.phase() != TargetPhase.READY;
    return new Observed(commands, drains, true);
  }

  /**
   * Takes the word of a target that it leaves.
   *
   * @param target the target
   * @return the command to propose, or empty when nothing changes
   */
  public Optional<FleetCommand> leave(TargetId target) {
    return state
        .target(target)
        .filter(t -> t.phase() != TargetPhase.LEFT)
        .map(t -> new FleetCommand.RegisterTarget(t.withPhase(TargetPhase.LEFT)));
  }

  /**
   * Decides what a target holds from now on, and which of its ranges begin to move.
   *
   * @param nowNanos monotonic time at which the answer is sent
   * @param id the target that reported
   * @param bornMillis life that reported
   * @return the grant, or empty when the target may hold nothing
   */
  public Optional<LeaseGrant> grant(long nowNanos, TargetId id, long bornMillis) {
    Optional<TargetRecord> registered =
        state.target(id).filter(t -> t.bornMillis() == bornMillis).filter(this::isKeyed);
    Contact contact = contacts.get(id);
    boolean mayHold =
        registered.isPresent() && contact != null && contact.bornMillis() == bornMillis;
    if (!mayHold || removing.contains(id)) {
      return Optional.empty();
    }
    beginMoves(nowNanos, registered.get(), contact);
    viewChanged |= contact.answeredIndex() < lastFence(registered.get());
    contact.answered(nowNanos + settings.leaseNanos(), state.index());
    return Optional.of(new LeaseGrant(settled(registered.get()), settings.holdMillis()));
  }

  /**
   * Advances time.
   *
   * @param nowNanos monotonic time
   * @return commands to propose
   */
  public List<FleetCommand> tick(long nowNanos) {
    List<FleetCommand> commands = new ArrayList<>();
    if (nowNanos - forgottenNanos > FORGET_NANOS) {
      forgottenNanos = nowNanos;
      book.forgetIdle(nowNanos, state);
    }
    noteEndedLeases(nowNanos);
    commands.addAll(assignExpired(nowNanos));
    commands.addAll(removals(nowNanos));
    for (ServiceName service : keyedServices()) {
      assignGaps(nowNanos, service).ifPresent(commands::add);
    }
    return commands;
  }

  /**
   * Takes the observations of an entry.
   *
   * @param nowNanos monotonic time
   * @param entry the entry
   * @param report the observations
   */
  public void load(long nowNanos, InstanceId entry, LoadReport report) {
    book.add(nowNanos, entry, report, state);
  }

  /**
   * Takes an applied command.
   *
   * @param command the command
   * @param newState the state after it
   */
  public void applied(FleetCommand command, FleetState newState) {
    state = newState;
    viewChanged |= !(command instanceof FleetCommand.ChangeConfiguration);
    if (command instanceof FleetCommand.AssignRanges assign) {
      assigningGaps.remove(assign.service());
      moves.removeIf(
          m ->
              m.assigning()
                  && m.service().equals(assign.service())
                  && assign.assignments().stream().anyMatch(a -> a.range().overlaps(m.range())));
    } else if (command instanceof FleetCommand.RemoveTarget removal) {
      removing.remove(removal.target());
    }
    moves.removeIf(m -> state.target(m.from()).isEmpty());
  }

  /**
   * Returns the moves in progress, for logs and metrics.
   *
   * @return one text for each move
   */
  public List<String> describeMoves() {
    return moves.stream()
        .map(m -> m.service() + " " + m.range() + " from " + m.from() + ": " + m.reason())
        .toList();
  }

  /**
   * Returns what entries need to know.
   *
   * @param nowNanos monotonic time
   * @return targets and ranges
   */
  public OwnershipView view(long nowNanos) {
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
        ranges.addAll(viewOf(nowNanos, service, owned));
      }
    }
    return new OwnershipView(targets, ranges);
  }

  /**
   * Tells once whether {@link #view} has changed since the last call.
   *
   * @return true when entries have to be told
   */
  public boolean takeViewChanged() {
    boolean changed = viewChanged;
    viewChanged = false;
    return changed;
  }

  /**
   * Returns how busy each target is, over all entries.
   *
   * @param nowNanos monotonic time
   * @return pressure by target
   */
  public Map<TargetId, TargetPressure> pressure(long nowNanos) {
    return state.targets().stream()
        .collect(Collectors.toMap(TargetRecord::id, t -> book.target(t.id()).pressure(nowNanos)));
  }

  private boolean isOutdated(HeartbeatReport report) {
    TargetRecord target = report.target();
    boolean earlierLife =
        state.target(target.id()).filter(t -> t.bornMillis() > target.bornMillis()).isPresent();
    boolean addressTaken =
        state.targets().stream()
            .filter(t -> t.address().equals(target.address()) && !t.id().equals(target.id()))
            .anyMatch(t -> t.bornMillis() > target.bornMillis());
    boolean left =
        state
            .target(target.id())
            .filter(t -> t.bornMillis() == target.bornMillis())
            .filter(t -> t.phase().compareTo(target.phase()) > 0)
            .isPresent();
    Contact contact = contacts.get(target.id());
    boolean late =
        contact != null
            && (contact.bornMillis() > target.bornMillis()
                || contact.bornMillis() == target.bornMillis()
                    && contact.isStale(report.sequence()));
    return earlierLife || addressTaken || left || late;
  }

  private Contact contact(long nowNanos, TargetRecord target) {
    Contact present = contacts.get(target.id());
    if (present == null || present.bornMillis() < target.bornMillis()) {
      boolean known =
          state.target(target.id()).filter(t -> t.bornMillis() == target.bornMillis()).isPresent();
      long leaseEndNanos = known ? gainedNanos + settings.leaseNanos() : nowNanos;
      long answeredIndex = known ? state.index() : 0;
      present = new Contact(target.bornMillis(), nowNanos, leaseEndNanos, answeredIndex);
      contacts.put(target.id(), present);
      moves.removeIf(m -> m.from().equals(target.id()) && m.bornMillis() < target.bornMillis());
    }
    return present;
  }

  private boolean isKeyed(TargetRecord target) {
    return keyedServices().contains(target.service());
  }

  private Set<ServiceName> keyedServices() {
    return state.configuration().items().stream()
        .map(ConfigurationItem::service)
        .flatMap(Optional::stream)
        .filter(ServicePolicy::keyed)
        .map(ServicePolicy::name)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  /** Returns the ranges of a target that do not move, cut around those that do. */
  private List<OwnedRange> settled(TargetRecord target) {
    RangeTable table = RangeTable.of(state.table(target.service()).rangesOf(target.id()));
    for (Move move : moves) {
      if (move.service().equals(target.service()) && move.from().equals(target.id())) {
        table = table.cutting(move.range());
      }
    }
    return table.ranges();
  }

  private void beginMoves(long nowNanos, TargetRecord target, Contact contact) {
    List<OwnedRange> owned = settled(target);
    if (owned.isEmpty() || receivers(nowNanos, target.service(), target.id()).isEmpty()) {
      return;
    }
    if (target.phase() != TargetPhase.READY) {
      owned.forEach(r -> move(target, contact, r.range(), "target is leaving"));
      return;
    }
    ServiceLoad load = serviceLoad(nowNanos, target.service(), Optional.empty());
    KeyLoad keys = book.keys(target.service());
    List<KeyRange> parts = RangePlanner.shed(nowNanos, target, owned, load, keys);
    parts.forEach(r -> move(target, contact, r, "target is busy"));
    RangePlanner.relocate(nowNanos, target, settled(target), load, keys)
        .ifPresent(r -> move(target, contact, r, "another target is much faster"));
    if (parts.isEmpty() && isBusiest(nowNanos, target, load)) {
      RangePlanner.half(nowNanos, target, owned, load, keys)
          .ifPresent(r -> move(target, contact, r, "another target has no keys"));
    }
  }

  /** Tells whether a target is the one to give to a target that has no keys yet. */
  private boolean isBusiest(long nowNanos, TargetRecord target, ServiceLoad load) {
    long idle =
        load.receivers().stream()
            .filter(t -> state.table(t.service()).rangesOf(t.id()).isEmpty())
            .filter(t -> isSettledIn(nowNanos, t.id()))
            .count();
    long moving = moves.stream().filter(m -> m.service().equals(target.service())).count();
    if (idle <= moving) {
      return false;
    }
    double present = load.utilisation(target);
    long busier = load.receivers().stream().filter(t -> load.utilisation(t) > present).count();
    return busier < idle - moving;
  }

  private boolean isSettledIn(long nowNanos, TargetId target) {
    Contact contact = contacts.get(target);
    return contact != null && contact.reports() >= 2 && nowNanos - gainedNanos > IDLE_NANOS;
  }

  private long lastFence(TargetRecord target) {
    return state.table(target.service()).rangesOf(target.id()).stream()
        .mapToLong(r -> r.fence().value())
        .max()
        .orElse(0);
  }

  private void noteEndedLeases(long nowNanos) {
    long ended = contacts.values().stream().filter(c -> c.isLeaseEnded(nowNanos)).count();
    viewChanged |= ended != endedLeases;
    endedLeases = ended;
  }

  private void move(TargetRecord target, Contact contact, KeyRange range, String reason) {
    viewChanged = true;
    moves.add(
        new Move(
            target.service(),
            range,
            target.id(),
            target.bornMillis(),
            contact.sequence(),
            contact.leaseEndNanos(),
            false,
            reason));
  }

  private List<FleetCommand> assignReleased(long nowNanos, HeartbeatReport report) {
    TargetId from = report.target().id();
    List<Move> released =
        moves.stream()
            .filter(m -> m.from().equals(from) && !m.assigning())
            .filter(m -> report.sequence() > m.omittedSequence())
            .filter(m -> !report.isHolding(m.range()))
            .toList();
    return assign(nowNanos, released, report.released());
  }

  /** Ranges of targets that fell silent while they were to release them. */
  private List<FleetCommand> assignExpired(long nowNanos) {
    List<Move> expired =
        moves.stream()
            .filter(m -> !m.assigning() && nowNanos - m.releaseByNanos() > 0)
            .filter(m -> contacts.get(m.from()).isLeaseEnded(nowNanos))
            .toList();
    return assign(nowNanos, expired, List.of());
  }

  private List<FleetCommand> assign(
      long nowNanos, List<Move> released, List<ReleasedRange> handovers) {
    List<FleetCommand> commands = new ArrayList<>();
    for (ServiceName service : released.stream().map(Move::service).distinct().toList()) {
      ServiceLoad load = serviceLoad(nowNanos, service, Optional.empty());
      List<FleetCommand.Assignment> assignments = new ArrayList<>();
      for (Move move : released) {
        if (move.service().equals(service)) {
          receiver(nowNanos, load, service, move.range(), Optional.of(move.from()))
              .ifPresent(to -> assignments.addAll(assignments(move.range(), to, handovers)));
        }
      }
      if (!assignments.isEmpty()) {
        commands.add(new FleetCommand.AssignRanges(service, assignments));
        released.forEach(this::markAssigning);
      }
    }
    return commands;
  }

  private void markAssigning(Move move) {
    int position = moves.indexOf(move);
    if (position >= 0) {
      moves.set(position, move.assigned());
    }
  }

  /** Splits a range along the handover tokens, because a token is valid for its exact range. */
  private static List<FleetCommand.Assignment> assignments(
      KeyRange range, TargetId to, List<ReleasedRange> handovers) {
    List<FleetCommand.Assignment> result = new ArrayList<>();
    int next = range.from();
    List<ReleasedRange> inside =
        handovers.stream()
            .filter(h -> h.range().from() >= range.from() && h.range().to() <= range.to())
            .sorted(Comparator.comparing(ReleasedRange::range))
            .toList();
    for (ReleasedRange handover : inside) {
      if (handover.range().from() < next) {
        continue;
      }
      if (handover.range().from() > next) {
        KeyRange cold = new KeyRange(next, handover.range().from() - 1);
        result.add(new FleetCommand.Assignment(cold, to, ""));
      }
      result.add(new FleetCommand.Assignment(handover.range(), to, handover.handover()));
      next = handover.range().to() + 1;
    }
    if (next <= range.to()) {
      result.add(new FleetCommand.Assignment(new KeyRange(next, range.to()), to, ""));
    }
    return result;
  }

  private Optional<TargetId> receiver(
      long nowNanos,
      ServiceLoad load,
      ServiceName service,
      KeyRange range,
      Optional<TargetId> except) {
    ServiceLoad candidates = except.isEmpty() ? load : load.without(except.get());
    double perSecond = book.keys(service).perSecond(nowNanos, range);
    Optional<TargetId> chosen =
        RangePlanner.receiver(candidates, state, perSecond, id -> secondsToReport(nowNanos, id))
            .map(TargetRecord::id);
    chosen.ifPresent(id -> load.give(id, perSecond));
    return chosen;
  }

  private ServiceLoad serviceLoad(
      long nowNanos, ServiceName service, Optional<TargetId> exceptReceiver) {
    List<TargetRecord> receivers = receivers(nowNanos, service, exceptReceiver.orElse(null));
    return new ServiceLoad(nowNanos, book, service, state, moves, receivers);
  }

  private List<TargetRecord> receivers(long nowNanos, ServiceName service, TargetId except) {
    return state.targets().stream()
        .filter(t -> t.service().equals(service) && t.phase() == TargetPhase.READY)
        .filter(t -> !t.id().equals(except) && !removing.contains(t.id()))
        .filter(t -> isReporting(nowNanos, t.id()))
        .toList();
  }

  private boolean isReporting(long nowNanos, TargetId target) {
    Contact contact = contacts.get(target);
    long silentNanos = contact == null ? 0 : nowNanos - contact.reportedNanos();
    return contact != null
        && contact.reports() > 0
        && silentNanos
            < TimeUnit.MILLISECONDS.toNanos(
                (long) (LATE_REPORT_INTERVALS * settings.reportIntervalMillis()));
  }

  private double secondsToReport(long nowNanos, TargetId target) {
    Contact contact = contacts.get(target);
    if (contact == null) {
      return settings.reportIntervalMillis() / 1_000.0;
    }
    long dueNanos =
        contact.reportedNanos() + TimeUnit.MILLISECONDS.toNanos(settings.reportIntervalMillis());
    return Math.max(0, dueNanos - nowNanos) / (double) TimeUnit.SECONDS.toNanos(1);
  }

  private List<FleetCommand> removals(long nowNanos) {
    List<TargetRecord> silent =
        state.targets().stream()
            .filter(t -> !removing.contains(t.id()))
            .filter(t -> isGone(nowNanos, t))
            .toList();
    long total = state.targets().size();
    boolean mass = silent.size() > Math.max(MASS_SILENCE_MIN, MASS_SILENCE_SHARE * total);
    List<FleetCommand> commands = new ArrayList<>();
    for (TargetRecord target : silent) {
      Contact contact = contacts.get(target.id());
      if (!mass || nowNanos - contact.leaseEndNanos() > MASS_SILENCE_NANOS) {
        removing.add(target.id());
        commands.add(new FleetCommand.RemoveTarget(target.id(), target.bornMillis()));
      }
    }
    return commands;
  }

  private boolean isGone(long nowNanos, TargetRecord target) {
    Contact contact = contact(nowNanos, target);
    if (!contact.isLeaseEnded(nowNanos)) {
      return false;
    }
    long silentNanos = nowNanos - contact.reportedNanos();
    boolean keepsNoKeys = !isKeyed(target);
    boolean silent =
        keepsNoKeys && target.phase() == TargetPhase.READY
            ? silentNanos > SILENT_UNKEYED_NANOS
            : silentNanos > settings.leaseNanos();
    return silent;
  }

  private Optional<FleetCommand> assignGaps(long nowNanos, ServiceName service) {
    List<KeyRange> gaps = state.table(service).gaps();
    if (gaps.isEmpty() || assigningGaps.contains(service)) {
      return Optional.empty();
    }
    boolean first = state.table(service).ranges().isEmpty();
    long registeredNanos = lastRegistrationNanos.getOrDefault(service, gainedNanos);
    long calmNanos =
        TimeUnit.MILLISECONDS.toNanos(
            (long) (FIRST_DIVISION_INTERVALS * settings.reportIntervalMillis()));
    if (first && nowNanos - registeredNanos < calmNanos) {
      return Optional.empty();
    }
    List<TargetRecord> receivers = receivers(nowNanos, service, null);
    if (receivers.isEmpty()) {
      return Optional.empty();
    }
    List<FleetCommand.Assignment> assignments =
        first ? divided(receivers) : filled(nowNanos, service, gaps);
    if (assignments.isEmpty()) {
      return Optional.empty();
    }
    assigningGaps.add(service);
    return Optional.of(new FleetCommand.AssignRanges(service, assignments));
  }

  private static List<FleetCommand.Assignment> divided(List<TargetRecord> receivers) {
    List<FleetCommand.Assignment> result = new ArrayList<>();
    int keys = KeyRange.MAX_KEY + 1;
    for (int i = 0; i < receivers.size(); i++) {
      int from = (int) ((long) keys * i / receivers.size());
      int to = (int) ((long) keys * (i + 1) / receivers.size()) - 1;
      result.add(new FleetCommand.Assignment(new KeyRange(from, to), receivers.get(i).id(), ""));
    }
    return result;
  }

  private List<FleetCommand.Assignment> filled(
      long nowNanos, ServiceName service, List<KeyRange> gaps) {
    ServiceLoad load = serviceLoad(nowNanos, service, Optional.empty());
    List<FleetCommand.Assignment> result = new ArrayList<>();
    for (KeyRange gap : gaps) {
      receiver(nowNanos, load, service, gap, Optional.empty())
          .ifPresent(to -> result.add(new FleetCommand.Assignment(gap, to, "")));
    }
    return result;
  }

  private List<OwnershipView.Range> viewOf(long nowNanos, ServiceName service, OwnedRange owned) {
    Contact contact = contacts.get(owned.owner());
    boolean holds =
        contact != null
            && owned.fence().value() <= contact.answeredIndex()
            && !contact.isLeaseEnded(nowNanos);
    int waitMillis = (int) (1_000 * secondsToReport(nowNanos, owned.owner()));
    RangeTable rest = RangeTable.of(List.of(owned));
    List<OwnershipView.Range> result = new ArrayList<>();
    for (Move move : moves) {
      if (move.service().equals(service) && move.range().overlaps(owned.range())) {
        rest = rest.cutting(move.range());
        result.add(
            new OwnershipView.Range(
                service,
                intersection(move.range(), owned.range()),
                owned.owner(),
                false,
                (int) settings.reportIntervalMillis() / 2));
      }
    }
    for (OwnedRange part : rest.ranges()) {
      result.add(
          new OwnershipView.Range(
              service, part.range(), part.owner(), holds, holds ? 0 : waitMillis));
    }
    return result;
  }

  private static KeyRange intersection(KeyRange one, KeyRange other) {
    return new KeyRange(Math.max(one.from(), other.from()), Math.min(one.to(), other.to()));
  }
}
