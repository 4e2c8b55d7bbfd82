package io.coltsfootwheel.deployment;

import io.coltsfootwheel.deployment.Change.Kind;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** Operator that changes the configuration again and again; most changes are valid. */
final class Operator implements AutoCloseable {
  private static final int PERMANENT_COUNT = 20;
  private static final int MAX_TEMPORARY = 30;
  private static final String MANY_PREFIX = "many-";
  private static final long TRY_TIMEOUT_MILLIS = 1_000;
  private static final long MAX_BACKOFF_MILLIS = 500;
  private static final long FIRST_BACKOFF_MILLIS = 50;
  private static final long GIVE_UP_MILLIS = 30_000;
  private static final int MIN_PAUSE_MILLIS = 30;
  private static final int MAX_PAUSE_MILLIS = 400;
  private static final int MAX_VERSION_STEP = 4;

  /** Most changed routes of one change that are probed at each entry. */
  private static final int MAX_PROBED = 3;

  private static final List<InvalidConfiguration> INVALID = List.of(InvalidConfiguration.values());

  /** What the operator does next. */
  private enum Step {
    PUT,
    PATCH,
    MOVE,
    RACE,
    INVALID,
    STALE,
    REPEAT
  }

  private static final List<Step> STEPS =
      List.of(
          Step.PUT,
          Step.PUT,
          Step.PATCH,
          Step.PATCH,
          Step.PATCH,
          Step.MOVE,
          Step.MOVE,
          Step.MOVE,
          Step.RACE,
          Step.INVALID,
          Step.STALE,
          Step.REPEAT);

  /** Order that is sent unchanged until it has a clear answer. */
  private record Order(
      Kind kind,
      String name,
      String call,
      long version,
      long base,
      Map<String, String> routes,
      String body) {}

  private final ControlCaller control;
  private final Recorder recorder;
  private final RunClock clock;
  private final Prober prober;
  private final Random random;
  private final LargeChanges largeChanges;
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final ExecutorService racer = Executors.newFixedThreadPool(2);
  private long newest;
  private long previous;
  private long highest;
  private int added;
  private int invalidCount;
  private Map<String, String> routes = new TreeMap<>();

  Operator(
      ControlCaller control,
      Recorder recorder,
      RunClock clock,
      Prober prober,
      LargeChanges largeChanges,
      Random random) {
    this.control = control;
    this.recorder = recorder;
    this.clock = clock;
    this.prober = prober;
    this.largeChanges = largeChanges;
    this.random = random;
    this.invalidCount = random.nextInt(INVALID.size());
  }

  /** Returns the routes of all configurations. */
  static Map<String, String> permanentRoutes() {
    Map<String, String> routes = new TreeMap<>();
    for (int i = 0; i < PERMANENT_COUNT; i++) {
      routes.put(
          "permanent-" + i,
          i % 2 == 0 ? Configurations.KEYED_SERVICE : Configurations.PLAIN_SERVICE);
    }
    return routes;
  }

  /** Sends the first configuration; returns whether it was accepted. */
  boolean sendFirst() throws InterruptedException {
    routes = permanentRoutes();
    highest = 1;
    Change first = send(put(Kind.PROPER, "first", 1, 0, routes));
    newest = first.isConfirmed() ? 1 : 0;
    return first.isConfirmed();
  }

  /** Changes the configuration until stopped. */
  void run() throws InterruptedException {
    while (!stopped.get()) {
      TimeUnit.MILLISECONDS.sleep(
          MIN_PAUSE_MILLIS + random.nextInt(MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS));
      step();
      changeManyRoutes(largeChanges.takeBurst(), largeChanges.routeCount());
    }
  }

  /** Sends the large changes that are left. */
  void sendRemainingLargeChanges() throws InterruptedException {
    changeManyRoutes(largeChanges.takeAll(), largeChanges.routeCount());
  }

  private void changeManyRoutes(int changeCount, int routeCount) throws InterruptedException {
    for (int i = 0; i < changeCount; i++) {
      changeManyRoutes(routeCount);
    }
  }

  /** Returns names of routes of the newest configuration, all but those of large changes first. */
  List<String> routesToProbe() {
    List<String> names = new ArrayList<>(routes.keySet());
    names.removeIf(name -> name.startsWith(MANY_PREFIX));
    routes.keySet().stream()
        .filter(name -> name.startsWith(MANY_PREFIX))
        .limit(MAX_PROBED)
        .forEach(names::add);
    return names;
  }

  /** Ends the changes after the current one. */
  void stop() {
    stopped.set(true);
  }

  private void step() throws InterruptedException {
    switch (STEPS.get(random.nextInt(STEPS.size()))) {
      case PUT -> changeRoutes(true);
      case PATCH -> changeRoutes(false);
      case MOVE -> moveRoute();
      case RACE -> race();
      case INVALID -> sendInvalid();
      case STALE -> sendStale();
      case REPEAT -> changeRoutesTwice();
      default -> throw new IllegalStateException();
    }
  }

  /** Makes one change that is to be confirmed; returns it. */
  Change changeRoutes(boolean isComplete) throws InterruptedException {
    return apply(nextOrder(isComplete));
  }

  /**
   * Sends a complete configuration with many more routes, which is to be confirmed; returns it.
   *
   * @param routeCount number of routes beside the others; those of earlier large ones are replaced
   */
  Change changeManyRoutes(int routeCount) throws InterruptedException {
    Map<String, String> next = new TreeMap<>(routes);
    next.keySet().removeIf(r -> r.startsWith(MANY_PREFIX));
    for (int i = 0; i < routeCount; i++) {
      next.put(MANY_PREFIX + i, randomService());
    }
    String what = routeCount + " more routes";
    return apply(put(Kind.PROPER, what, nextVersion(), newest, next));
  }

  private Order nextOrder(boolean isComplete) {
    Map<String, String> next = new TreeMap<>(routes);
    String name = "added-" + added++;
    String service = randomService();
    next.put(name, service);
    List<String> removed = new ArrayList<>();
    List<String> temporary = routes.keySet().stream().filter(r -> r.startsWith("added-")).toList();
    if (!temporary.isEmpty() && (temporary.size() > MAX_TEMPORARY || random.nextBoolean())) {
      removed.add(temporary.get(random.nextInt(temporary.size())));
      removed.forEach(next::remove);
    }
    long version = nextVersion();
    String what = "add %s, remove %s".formatted(name, removed);
    return isComplete
        ? put(Kind.PROPER, what, version, newest, next)
        : patch(what, version, next, Map.of(name, service), removed);
  }

  private void moveRoute() throws InterruptedException {
    List<String> names = new ArrayList<>(routes.keySet());
    String name = names.get(random.nextInt(names.size()));
    String service = otherService(routes.get(name));
    Map<String, String> next = new TreeMap<>(routes);
    next.put(name, service);
    String what = "move %s to %s".formatted(name, service);
    long version = nextVersion();
    apply(
        random.nextBoolean()
            ? put(Kind.PROPER, what, version, newest, next)
            : patch(what, version, next, Map.of(name, service), List.of()));
  }

  private void changeRoutesTwice() throws InterruptedException {
    Order order = nextOrder(random.nextBoolean());
    if (apply(order).isConfirmed()) {
      send(
          new Order(
              Kind.REPEATED,
              order.name(),
              order.call(),
              order.version(),
              order.base(),
              order.routes(),
              order.body()));
    }
  }

  private Change apply(Order order) throws InterruptedException {
    Change change = send(order);
    if (change.isConfirmed()) {
      take(change);
    } else {
      readNewest();
    }
    return change;
  }

  private void take(Change change) {
    List<String> changed = new ArrayList<>(change.routes().keySet());
    changed.removeIf(r -> change.routes().get(r).equals(routes.get(r)));
    routes.keySet().stream().filter(r -> !change.routes().containsKey(r)).forEach(changed::add);
    previous = newest;
    newest = change.version();
    routes = new TreeMap<>(change.routes());
    prober.probeAfterConfirmation(sample(changed));
  }

  private List<String> sample(List<String> names) {
    if (names.size() <= MAX_PROBED) {
      return names;
    }
    Collections.shuffle(names, random);
    return names.subList(0, MAX_PROBED);
  }

  /** Sends two changes on the same version at once, at times with the same version number. */
  private void race() throws InterruptedException {
    long firstVersion = nextVersion();
    long secondVersion = random.nextBoolean() ? firstVersion : nextVersion();
    Order first = racing(firstVersion);
    Order second = racing(secondVersion);
    CompletableFuture<Change> firstChange = CompletableFuture.supplyAsync(() -> race(first), racer);
    CompletableFuture<Change> secondChange =
        CompletableFuture.supplyAsync(() -> race(second), racer);
    List<Change> changes = List.of(firstChange.join(), secondChange.join());
    List<Change> confirmed = changes.stream().filter(Change::isConfirmed).toList();
    if (confirmed.size() == 1) {
      take(confirmed.get(0));
      Change loser = changes.get(1 - changes.indexOf(confirmed.get(0)));
      if (loser.isRefused()) {
        prober.probeAfterConfirmation(
            loser.routes().keySet().stream().filter(r -> !routes.containsKey(r)).toList());
      }
    } else {
      readNewest();
    }
  }

  private Order racing(long version) {
    Map<String, String> next = new TreeMap<>(routes);
    next.put("added-" + added++, randomService());
    return put(Kind.RACING, "race", version, newest, next);
  }

  private Change race(Order order) {
    try {
      return send(order);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  private void sendInvalid() throws InterruptedException {
    InvalidConfiguration invalid = INVALID.get(invalidCount++ % INVALID.size());
    String name = "0-invalid-" + invalidCount;
    Map<String, String> next = new TreeMap<>(routes);
    next.put(name, Configurations.PLAIN_SERVICE);
    long version = nextVersion();
    String body = invalid.body(version, next);
    Map<String, String> valid = routes;
    sendRefusable(
        new Order(Kind.INVALID, invalid.name(), "config.put", version, newest, next, body), name);
    if (!routes.equals(valid)) {
      apply(put(Kind.PROPER, "restore", nextVersion(), newest, valid));
    }
  }

  private void sendStale() throws InterruptedException {
    String name = "stale-" + added++;
    Map<String, String> next = new TreeMap<>(routes);
    next.put(name, Configurations.PLAIN_SERVICE);
    long version = nextVersion();
    sendRefusable(
        put(Kind.STALE, "stale", version, random.nextBoolean() ? previous : newest - 1, next),
        name);
  }

  private void sendRefusable(Order order, String route) throws InterruptedException {
    Change change = send(order);
    if (change.isRefused()) {
      prober.probeAfterConfirmation(List.of(route));
    } else {
      readNewest();
    }
  }

  /** Reads the newest configuration once earlier changes are surely visible. */
  private void readNewest() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(Bounds.CONFIG_APPLY_MILLIS);
    long endMillis = clock.nowMillis() + GIVE_UP_MILLIS;
    while (clock.nowMillis() < endMillis && !stopped.get()) {
      ControlCaller.Answer answer =
          control.call(control.pick(random), "?call=config.get", "", "{}", TRY_TIMEOUT_MILLIS);
      if (answer.isSuccess()) {
        Configurations.Contents contents = Configurations.read(answer.body());
        newest = contents.version();
        routes = new TreeMap<>(contents.routes());
        return;
      }
      TimeUnit.MILLISECONDS.sleep(FIRST_BACKOFF_MILLIS);
    }
  }

  private Change send(Order order) throws InterruptedException {
    Random picks = new Random(order.version());
    long sentMillis = clock.nowMillis();
    long backoffMillis = FIRST_BACKOFF_MILLIS;
    int status = 0;
    while (true) {
      ControlCaller.Answer answer =
          control.call(
              control.pick(picks),
              "?call=" + order.call(),
              order.base() == 0 ? "0" : "r" + order.base(),
              order.body(),
              TRY_TIMEOUT_MILLIS + Bounds.ACK_MILLIS_PER_ROUTE * order.routes().size());
      if (Change.CLEAR_STATUSES.contains(answer.status())) {
        status = answer.status();
        break;
      }
      if (clock.nowMillis() - sentMillis > GIVE_UP_MILLIS) {
        break;
      }
      TimeUnit.MILLISECONDS.sleep(backoffMillis);
      backoffMillis = Math.min(2 * backoffMillis, MAX_BACKOFF_MILLIS);
    }
    Change change =
        new Change(
            order.version(),
            order.base(),
            order.kind(),
            order.name(),
            order.routes(),
            sentMillis,
            clock.nowMillis(),
            status);
    recorder.add(change);
    return change;
  }

  private static Order put(
      Kind kind, String name, long version, long base, Map<String, String> routes) {
    String body = Configurations.complete(version, routes).toString();
    return new Order(kind, name, "config.put", version, base, routes, body);
  }

  private Order patch(
      String name,
      long version,
      Map<String, String> next,
      Map<String, String> upserts,
      List<String> removed) {
    String body = Configurations.patch(version, upserts, removed).toString();
    return new Order(Kind.PROPER, name, "config.patch", version, newest, next, body);
  }

  private long nextVersion() {
    highest += 1 + random.nextInt(MAX_VERSION_STEP);
    return highest;
  }

  private String randomService() {
    return random.nextBoolean() ? Configurations.KEYED_SERVICE : Configurations.PLAIN_SERVICE;
  }

  private static String otherService(String service) {
    return service.equals(Configurations.KEYED_SERVICE)
        ? Configurations.PLAIN_SERVICE
        : Configurations.KEYED_SERVICE;
  }

  @Override
  public void close() {
    racer.shutdownNow();
  }
}
