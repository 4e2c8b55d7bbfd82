package io.coltsfootwheel.node;

import com.sun.management.ThreadMXBean;
import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.MembershipChange;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.keyspace.FleetCommand;
import io.coltsfootwheel.keyspace.FleetState;
import io.coltsfootwheel.keyspace.HeartbeatReport;
import io.coltsfootwheel.keyspace.HeldRange;
import io.coltsfootwheel.keyspace.KeyRange;
import io.coltsfootwheel.keyspace.LeaseGrant;
import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.OwnedRange;
import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.keyspace.ReleasedRange;
import io.coltsfootwheel.keyspace.TargetCall;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.keyspace.TargetRecord;
import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ConfigurationChange;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.ServicePolicy;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Simulates the work of one leader: targets that report and hold what it grants, and entries that
 * subscribe with the load of keyed requests. Commands are committed within a tick.
 */
final class LeaderLoadSimulation {
  private static final ServiceName LEDGER = ServiceName.of("ledger");
  private static final long TICK_MILLIS = 20;
  private static final long REPORT_INTERVAL_MILLIS = 870;
  private static final long SUBSCRIBE_INTERVAL_MILLIS = 100;
  private static final int SLOTS = 2;
  private static final double COMPLETED_PER_INTERVAL = 0.5;

  /** Exponent of the uneven distribution of requests over keys. */
  private static final double KEY_SKEW = 1.5;

  private static final String ANSWERS = "answers to entries";
  private static final String CHANGES = "changes to entries";
  private static final String WHOLE_VIEWS = "whole views to entries";
  private static final String BYTES_OF_ANSWERS = "bytes of answers to entries";
  private static final String BYTES_OF_CHANGES = "bytes of changes to entries";
  private static final int FIRST_HOT_KEY = 30_000;
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private final Random random;
  private final List<SimulatedTarget> targets = new ArrayList<>();
  private final List<SimulatedEntry> entries = new ArrayList<>();
  private final Map<Long, SimulatedTarget> waiting = new HashMap<>();
  private final Queue<Runnable> results = new ArrayDeque<>();
  private final Queue<Runnable> transfers = new ArrayDeque<>();
  private final LeaderSession session;
  private final int requestsPerSecond;
  private final long messageDelayMillis;
  private int hotKeyCount;
  private double hotShare;
  private long nowMillis = 1_000;
  private long index = 1;
  private long nextId = 1;
  private long maxChangesPerTick;
  private FleetState state;

  private final Map<Work, Cost> costs = new EnumMap<>(Work.class);
  private final Map<String, Long> counts = new TreeMap<>();

  /** Kinds of work of the leader. */
  enum Work {
    DECODE,
    ENCODE,
    SUBSCRIPTION,
    REPORT,
    TICK,
    RESULT
  }

  /** What one kind of work took in total. */
  record Cost(long elapsedNanos, long allocatedBytes) {
    private Cost plus(Cost other) {
      return new Cost(elapsedNanos + other.elapsedNanos, allocatedBytes + other.allocatedBytes);
    }
  }

  private final class SimulatedTarget {
    private final TargetRecord record;
    private long sequence;
    private long nextReportMillis;
    private List<HeldRange> held = List.of();
    private List<ReleasedRange> released = new ArrayList<>();
    private double arrived;

    private SimulatedTarget(int number) {
      record =
          new TargetRecord(
              TargetId.of("i-7f3a91" + number),
              1,
              LEDGER,
              new Address("10.128.0." + number % 250, 8_000 + number),
              AvailabilityZone.of("z" + number % 3),
              SLOTS,
              TargetPhase.READY);
      nextReportMillis = nowMillis + random.nextInt((int) REPORT_INTERVAL_MILLIS);
    }

    private HeartbeatReport report() {
      nextReportMillis = nowMillis + REPORT_INTERVAL_MILLIS;
      return new HeartbeatReport(record, ++sequence, 0, held, List.copyOf(released));
    }

    private void granted(LeaseGrant grant) {
      released = new ArrayList<>();
      for (HeldRange before : held) {
        boolean isKept = grant.ranges().stream().anyMatch(r -> r.range().equals(before.range()));
        if (!isKept) {
          int next = before.range().from();
          for (OwnedRange kept : grant.ranges()) {
            if (kept.range().overlaps(before.range())) {
              release(next, kept.range().from() - 1);
              next = kept.range().to() + 1;
            }
          }
          release(next, before.range().to());
        }
      }
      held = grant.ranges().stream().map(r -> new HeldRange(r.range(), r.fence())).toList();
      if (!released.isEmpty()) {
        nextReportMillis = nowMillis + 100;
      }
    }

    private void release(int from, int to) {
      if (from <= to) {
        released.add(new ReleasedRange(new KeyRange(from, to), "token-" + from + "-" + to));
      }
    }
  }

  private record DelayedRouting(long arrivalMillis, NodeMessage.Routing routing) {}

  private final class SimulatedEntry {
    private final InstanceId id;
    private long nextSubscribeMillis;
    private final EntryRouting routing = new EntryRouting();
    private Map<Integer, Integer> requestsByKey = new HashMap<>();
    private Map<SimulatedTarget, Integer> sent = new HashMap<>();
    private Map<SimulatedTarget, Integer> inFlight = new HashMap<>();
    private final Queue<DelayedRouting> underWay = new ArrayDeque<>();

    private SimulatedEntry(int number) {
      id = InstanceId.of("10.9.0." + number);
      nextSubscribeMillis = nowMillis + random.nextInt((int) SUBSCRIBE_INTERVAL_MILLIS);
    }

    private NodeMessage.Subscribe subscribe() {
      while (!underWay.isEmpty() && underWay.peek().arrivalMillis() <= nowMillis) {
        routing.apply(underWay.poll().routing());
      }
      nextSubscribeMillis += SUBSCRIBE_INTERVAL_MILLIS;
      List<LoadReport.TargetObservation> observations = new ArrayList<>();
      Map<SimulatedTarget, Integer> all = new HashMap<>(inFlight);
      sent.forEach((t, n) -> all.merge(t, n, Integer::sum));
      Map<SimulatedTarget, Integer> next = new HashMap<>();
      all.forEach(
          (t, n) -> {
            int completed = 0;
            for (int i = 0; i < n; i++) {
              completed += random.nextDouble() < COMPLETED_PER_INTERVAL ? 1 : 0;
            }
            observations.add(
                new LoadReport.TargetObservation(t.record.id(), n - completed, completed));
            if (n > completed) {
              next.put(t, n - completed);
            }
          });
      inFlight = next;
      sent = new HashMap<>();
      LoadReport load = new LoadReport(Map.of(LEDGER, requestsByKey), observations);
      requestsByKey = new HashMap<>();
      return new NodeMessage.Subscribe(
          new Address("10.9.0.1", 7_000),
          routing.configurationVersion(),
          routing.viewTerm(),
          routing.statedViewSequence(),
          load,
          routing.estimateSequence(),
          nanos(),
          true);
    }

    private void receive(NodeMessage.Routing routing) {
      underWay.add(new DelayedRouting(nowMillis + messageDelayMillis, routing));
    }
  }

  private final class Actions implements LeaderActions {
    @Override
    public long propose(FleetCommand command) {
      long id = nextId++;
      results.add(
          () -> {
            counts.merge("command " + command.getClass().getSimpleName(), 1L, Long::sum);
            state = state.apply(++index, command);
            session.onApplied(command, state);
            session.onProposalResult(id, true);
          });
      return id;
    }

    @Override
    public long confirmLeadership() {
      long id = nextId++;
      results.add(() -> session.onConfirmationResult(id, true));
      return id;
    }

    @Override
    public void changeMembership(MembershipChange change, MemberId member) {}

    @Override
    public void send(InstanceId to, NodeMessage message) {
      SimulatedEntry entry = entries.get(Integer.parseInt(to.value().split("\\.")[3]));
      Frame frame = measure(Work.ENCODE, message::toFrame);
      transfers.add(() -> transfer(entry, frame));
    }

    @Override
    public void callTarget(TargetCall call) {}

    @Override
    public void answer(long requestId, ControlAnswer answer) {
      SimulatedTarget target = waiting.remove(requestId);
      if (answer instanceof ControlAnswer.Acknowledged acknowledged) {
        acknowledged.grant().ifPresent(target::granted);
      }
    }

    @Override
    public void log(LogEvent event) {
      counts.merge("log " + event.name(), 1L, Long::sum);
    }
  }

  LeaderLoadSimulation(long seed, int targetCount, int entryCount, int requestsPerSecond) {
    this(seed, targetCount, entryCount, requestsPerSecond, 0);
  }

  /**
   * Creates a simulation.
   *
   * @param messageDelayMillis time that a message of the leader takes to an entry
   */
  LeaderLoadSimulation(
      long seed, int targetCount, int entryCount, int requestsPerSecond, long messageDelayMillis) {
    this.messageDelayMillis = messageDelayMillis;
    this.requestsPerSecond = requestsPerSecond;
    random = new Random(seed);
    ConfigurationChange change =
        new ConfigurationChange(
            0,
            1,
            "c",
            true,
            List.of(ConfigurationItem.of(new ServicePolicy(LEDGER, true, 100), "{}")),
            List.of());
    state = FleetState.empty().apply(index, new FleetCommand.ChangeConfiguration(change));
    session =
        new LeaderSession(
            InstanceId.of("10.0.0.1"),
            1,
            new Actions(),
            OwnershipSettings.of(REPORT_INTERVAL_MILLIS, 10_000),
            new GroupMembership(5, 2_000_000_000L, nanos()),
            state,
            Set.of(),
            nanos());
    for (int i = 0; i < targetCount; i++) {
      targets.add(new SimulatedTarget(i));
    }
    for (int i = 0; i < entryCount; i++) {
      entries.add(new SimulatedEntry(i));
    }
    session.setEntries(entries.stream().map(e -> e.id).toList());
  }

  void setHotKeys(int count, double share) {
    hotKeyCount = count;
    hotShare = share;
  }

  void run(long millis) {
    long endMillis = nowMillis + millis;
    while (nowMillis < endMillis) {
      nowMillis += TICK_MILLIS;
      long changesBefore = changesToEntries();
      session.setEventTime(nanos());
      sendRequests();
      for (SimulatedEntry entry : entries) {
        if (nowMillis >= entry.nextSubscribeMillis) {
          byte[] bytes = entry.subscribe().toFrame().payload();
          NodeMessage.Subscribe decoded =
              measure(
                  Work.DECODE,
                  () -> (NodeMessage.Subscribe) ControlCodec.decode(bytes, NodeMessage.class));
          counts.merge("bytes subscribe", (long) bytes.length, Long::sum);
          measure(Work.SUBSCRIPTION, () -> session.subscribe(nanos(), entry.id, decoded));
          deliver();
        }
      }
      for (SimulatedTarget target : targets) {
        if (nowMillis >= target.nextReportMillis) {
          long id = nextId++;
          waiting.put(id, target);
          counts.merge("reports", 1L, Long::sum);
          HeartbeatReport report = target.report();
          measure(Work.REPORT, () -> session.report(nanos(), id, report));
        }
      }
      measure(Work.TICK, () -> session.tick(nanos(), List.of()));
      while (!results.isEmpty()) {
        measure(Work.RESULT, () -> results.poll().run());
      }
      deliver();
      maxChangesPerTick = Math.max(maxChangesPerTick, changesToEntries() - changesBefore);
    }
  }

  private void deliver() {
    while (!transfers.isEmpty()) {
      transfers.poll().run();
    }
  }

  /** Passes a message on, apart from the measured work of the leader. */
  private void transfer(SimulatedEntry entry, Frame frame) {
    NodeMessage.Routing routing = (NodeMessage.Routing) NodeMessage.decode(frame);
    boolean isChange = routing.change().isPresent();
    counts.merge(isChange ? CHANGES : ANSWERS, 1L, Long::sum);
    counts.merge(WHOLE_VIEWS, routing.view().isPresent() ? 1L : 0L, Long::sum);
    counts.merge(
        isChange ? BYTES_OF_CHANGES : BYTES_OF_ANSWERS, (long) frame.payload().length, Long::sum);
    entry.receive(routing);
  }

  private void sendRequests() {
    double expected = requestsPerSecond * TICK_MILLIS / 1_000.0;
    for (int i = 0; i < expected; i++) {
      boolean hot = hotKeyCount > 0 && random.nextDouble() < hotShare;
      int key =
          hot
              ? FIRST_HOT_KEY + random.nextInt(hotKeyCount)
              : (int) (KeyRange.ALL.width() * Math.pow(random.nextDouble(), KEY_SKEW));
      SimulatedEntry entry = entries.get(random.nextInt(entries.size()));
      entry.requestsByKey.merge(key, 1, Integer::sum);
      for (SimulatedTarget t : targets) {
        boolean holds = t.held.stream().anyMatch(r -> r.range().contains(key));
        if (holds) {
          entry.sent.merge(t, 1, Integer::sum);
          break;
        }
      }
    }
  }

  private void measure(Work kind, Runnable work) {
    measure(
        kind,
        () -> {
          work.run();
          return null;
        });
  }

  /** Encoding is part of other work, and is counted in both. */
  private <T> T measure(Work kind, Supplier<T> work) {
    long startNanos = System.nanoTime();
    long startBytes = THREADS.getCurrentThreadAllocatedBytes();
    T result = work.get();
    Cost cost =
        new Cost(
            System.nanoTime() - startNanos, THREADS.getCurrentThreadAllocatedBytes() - startBytes);
    costs.merge(kind, cost, Cost::plus);
    return result;
  }

  /** Forgets the costs and counts so far. */
  void resetMeasurements() {
    costs.clear();
    counts.clear();
    maxChangesPerTick = 0;
  }

  Map<Work, Cost> costs() {
    return costs;
  }

  Map<String, Long> counts() {
    return counts;
  }

  /** Returns the bytes allocated for each report: for processing it and for its grant. */
  double allocatedBytesPerReport() {
    long bytes = costs.get(Work.REPORT).allocatedBytes() + costs.get(Work.RESULT).allocatedBytes();
    return (double) bytes / counts.get("reports");
  }

  /** Returns the bytes of all messages to entries. */
  long wholeViews() {
    return counts.getOrDefault(WHOLE_VIEWS, 0L);
  }

  long bytesToEntries() {
    return counts.getOrDefault(BYTES_OF_ANSWERS, 0L) + counts.getOrDefault(BYTES_OF_CHANGES, 0L);
  }

  /** Returns the most messages within a tick, to all entries, that carry a change of the view. */
  long maxChangesPerTick() {
    return maxChangesPerTick;
  }

  long changesToEntries() {
    return counts.getOrDefault(CHANGES, 0L);
  }

  int ranges() {
    return state.table(LEDGER).ranges().size();
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }
}
