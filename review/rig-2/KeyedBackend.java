import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.*;

/** Backend of a service that is divided by key, as the users' pages describe it. */
final class KeyedBackend {
  static final String PREFIX = "X-Coltsfootwheel-";
  static final int KEYS = 65_536;

  /** The pages: a larger answer does not acknowledge a liveness report. */
  static final int MAX_ANSWER_BYTES = 4 * 1024;

  private static final Pattern ROW =
      Pattern.compile("\\[(\\d+),(\\d+),(\\d+),\"([^\"]*)\"\\]");

  final String id;
  private final Rig rig;
  private final String ip;
  private final int capacity;
  private final int workMillis;
  private final ServerSocket server;
  private final long born = System.currentTimeMillis();

  /** Epoch number under which each key is held, 0 for none; guarded by this. */
  private final long[] fences = new long[KEYS];

  private final long[] highestFences = new long[KEYS];
  private final int[] running = new int[KEYS];

  /** Keys to be released once nothing works on them. */
  private final BitSet leaving = new BitSet(KEYS);

  private final List<String> released = new ArrayList<>();
  private long heldUntilNanos;
  private volatile boolean draining;
  volatile boolean confirmedDraining;
  volatile boolean ended;
  volatile int largestAnswerBytes;
  volatile int unacknowledged;
  final Set<String> ran = ConcurrentHashMap.newKeySet();

  KeyedBackend(Rig rig, String id, String ip, int capacity, int workMillis) throws IOException {
    this.rig = rig;
    this.id = id;
    this.ip = ip;
    this.capacity = capacity;
    this.workMillis = workMillis;
    this.server = new ServerSocket(0, 500, InetAddress.getByName(ip));
    start(this::accept);
    start(this::report);
  }

  private interface Task {
    void run() throws IOException;
  }

  private static void start(Task task) {
    Thread t =
        new Thread(
            null,
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The peer closed, or this backend ended.
              }
            },
            "backend",
            128 * 1024);
    t.setDaemon(true);
    t.start();
  }

  private void accept() throws IOException {
    while (!ended) {
      Socket s = server.accept();
      start(() -> serve(s));
    }
  }

  private void serve(Socket s) throws IOException {
    s.setTcpNoDelay(true);
    InputStream in = new BufferedInputStream(s.getInputStream());
    try (s) {
      while (!ended) {
        Rig.line(in);
        Map<String, String> h = Rig.headers(in);
        Rig.body(in, h);
        String request = h.get(PREFIX + "Request-Id");
        int key = Integer.parseInt(h.getOrDefault(PREFIX + "Shard-Key", "-1"));
        boolean runs = id.equals(h.get(PREFIX + "Expect-Instance")) && begin(key);
        if (runs) {
          ran.add(request);
          Rig.sleep(workMillis);
          end(key);
        }
        String head =
            runs
                ? "HTTP/1.1 200 OK\r\n" + PREFIX + "Response-Signature: s1\r\n"
                : "HTTP/1.1 421 Misdirected Request\r\n" + PREFIX + "Not-Executed: 1\r\n";
        s.getOutputStream()
            .write(
                (head + PREFIX + "Request-Id: " + request + "\r\n"
                        + (draining ? "Server-Leaving: 1\r\n" : "") + "Content-Length: 2\r\n\r\nok")
                    .getBytes());
      }
    }
  }

  private synchronized boolean begin(int key) {
    expire();
    boolean isHeld = key >= 0 && fences[key] > 0 && !leaving.get(key);
    if (isHeld) {
      running[key]++;
    }
    return isHeld;
  }

  private synchronized void end(int key) {
    running[key]--;
  }

  synchronized int heldKeys() {
    expire();
    int count = 0;
    for (long fence : fences) {
      count += fence > 0 ? 1 : 0;
    }
    return count;
  }

  /** Returns the first and the last key that this backend holds. */
  synchronized int[] heldBounds() {
    int first = 0;
    while (fences[first] == 0) {
      first++;
    }
    int last = KEYS - 1;
    while (fences[last] == 0) {
      last--;
    }
    return new int[] {first, last};
  }

  synchronized int runningKeys() {
    int count = 0;
    for (int n : running) {
      count += n > 0 ? 1 : 0;
    }
    return count;
  }

  private void expire() {
    if (System.nanoTime() - heldUntilNanos >= 0) {
      Arrays.fill(fences, 0);
      leaving.clear();
    }
  }

  /** Releases the keys that nothing works on; each row has a handover of its own. */
  private void release() {
    int from = -1;
    for (int key = 0; key <= KEYS; key++) {
      boolean goes = key < KEYS && leaving.get(key) && running[key] == 0;
      if (goes && from < 0) {
        from = key;
      } else if (!goes && from >= 0) {
        released.add(
            "[" + from + "," + (key - 1) + ",\"%016x\"]".formatted(
                ThreadLocalRandom.current().nextLong()));
        Arrays.fill(fences, from, key, 0);
        leaving.clear(from, key);
        from = -1;
      }
    }
  }

  private synchronized String body(long sequence) {
    expire();
    release();
    List<String> holds = new ArrayList<>();
    int from = 0;
    for (int key = 1; key <= KEYS; key++) {
      if (key == KEYS || fences[key] != fences[from]) {
        if (fences[from] > 0) {
          holds.add("[" + from + "," + (key - 1) + "," + fences[from] + "]");
        }
        from = key;
      }
    }
    return "{\"address\":\"" + ip + ":" + server.getLocalPort() + "\",\"born\":" + born
        + ",\"info\":{\"service\":\"wuno96b\",\"version\":\"v1\",\"zone\":\"plateau\",\"capacity\":"
        + capacity + "},\"status\":{\"phase\":\"" + (draining ? "draining" : "ready")
        + "\",\"sequence\":" + sequence + ",\"warmupLeftMs\":0},\"holds\":["
        + String.join(",", holds) + "],\"released\":[" + String.join(",", released) + "]}";
  }

  /** Takes over an answer; returns whether keys are still to be released. */
  private synchronized boolean take(String text, long sentNanos) {
    released.clear();
    int at = text.indexOf("\"holds\":");
    if (at < 0) {
      return !leaving.isEmpty();
    }
    long[] granted = new long[KEYS];
    Matcher row = ROW.matcher(text.substring(at));
    while (row.find()) {
      int from = Integer.parseInt(row.group(1));
      int to = Integer.parseInt(row.group(2));
      long fence = Long.parseLong(row.group(3));
      boolean isOld = false;
      for (int key = from; key <= to; key++) {
        isOld |= highestFences[key] > fence;
      }
      for (int key = from; key <= to && !isOld; key++) {
        granted[key] = fence;
        highestFences[key] = fence;
      }
    }
    for (int key = 0; key < KEYS; key++) {
      if (granted[key] > 0) {
        fences[key] = granted[key];
        leaving.clear(key);
      } else if (fences[key] > 0) {
        leaving.set(key);
      }
    }
    Matcher hold = Pattern.compile("\"holdMs\":(\\d+)").matcher(text);
    if (hold.find()) {
      heldUntilNanos = sentNanos + Long.parseLong(hold.group(1)) * 1_000_000;
    }
    return !leaving.isEmpty();
  }

  private void report() {
    int core = ThreadLocalRandom.current().nextInt(100);
    for (long sequence = 1; !ended; sequence++) {
      boolean saysDraining = draining;
      long sentNanos = System.nanoTime();
      Rig.Answer a =
          rig.controlOnce("call=instances.heartbeat&of=" + id, body(sequence).getBytes(), core);
      boolean isAcknowledged = a.status() / 100 == 2 && a.body().length <= MAX_ANSWER_BYTES;
      if (a.status() == 200) {
        largestAnswerBytes = Math.max(largestAnswerBytes, a.body().length);
      }
      if (!isAcknowledged) {
        unacknowledged++;
        core++;
        Rig.sleep(100);
        continue;
      }
      confirmedDraining |= saysDraining;
      boolean isReleasing = take(a.text(), sentNanos);
      Rig.sleep(isReleasing ? 80 : Rig.HEARTBEAT_MILLIS);
    }
  }

  /** Reports draining, serves on for the drain time after the confirmation, leaves and ends. */
  void drain(int drainMillis) {
    draining = true;
    start(
        () -> {
          for (int i = 0; i < 80 && !confirmedDraining; i++) {
            Rig.sleep(100);
          }
          Rig.sleep(drainMillis + 300);
          rig.control("call=instances.leave&of=" + id, Map.of(),
              ("{\"born\":" + born + "}").getBytes(), 1000, 0, 3_000);
          ended = true;
          server.close();
        });
  }
}
