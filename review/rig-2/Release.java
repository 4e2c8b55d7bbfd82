import java.io.*;
import java.net.*;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;

/**
 * Case 7. One backend of a service that is divided by key is replaced while it works on many keys:
 * the new one starts first, the old one drains. TROUBLE=0 leaves the replacement out.
 */
final class Release {
  static final int ENTRIES = 2;

  /** One of 2 is a share of 0.5, as release has in the kinds of the bench. */
  static final int BACKENDS = 2;

  /** Time between the start of the new backend and the drain of the old one. */
  static final int GAP_MILLIS = 2_000;
  static final int CAPACITY = 1_024;
  static final int WORK_MILLIS = 700;
  static final int TIMEOUT_MILLIS = 2_000;
  static final int DRAIN_MILLIS = 2_000;

  static final int CLIENTS = 600;
  static final long AFTER_MILLIS = 20_000;

  /** The gate: refused and failed requests are at most this share of those owed. */
  static final double MOST_UNSERVED = 0.6;

  private record Sample(double seconds, int key, int status) {}

  private static final List<Sample> samples = Collections.synchronizedList(new ArrayList<>());
  private static final List<KeyedBackend> backends = new CopyOnWriteArrayList<>();
  private static Rig rig;
  private static volatile boolean stop;

  private Release() {}

  public static void main(String[] args) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Rig r = new Rig(Path.of(args[0]), 5, ENTRIES)) {
      rig = r;
      exit = run(trouble);
      rig.say("exit " + exit);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  private static KeyedBackend add(int number) throws IOException {
    KeyedBackend b =
        new KeyedBackend(rig, "i-7f3a91%02d".formatted(number),
            "127." + rig.net + ".3." + (10 + number), CAPACITY, WORK_MILLIS);
    backends.add(b);
    return b;
  }

  private static int run(boolean trouble) throws Exception {
    rig.startAll();
    String text =
        Configurations.downloadsAndPosts(TIMEOUT_MILLIS)
            .replace("\"tls\":false", "\"tls\":false,\"sharded\":true,\"warmS\":2.0,"
                + "\"grants\":\"heartbeat\"")
            .replace("\"maxConnections\":120", "\"maxConnections\":1200");
    boolean isUp =
        rig.awaitControl(20_000)
            && rig.control("call=config.put", Map.of("If-Match", "0"), text.getBytes(), 1500, 0,
                    8_000).status() == 200;
    for (int i = 0; i < BACKENDS; i++) {
      add(i);
    }
    for (Rig.Node edge : rig.edges()) {
      isUp &= rig.awaitReady(edge, 10_000);
    }
    for (int i = 0; i < 100 && heldKeys() < KeyedBackend.KEYS; i++) {
      Rig.sleep(100);
    }
    if (!isUp || heldKeys() < KeyedBackend.KEYS) {
      rig.say("the system did not start; " + heldKeys() + " keys are held");
      return 2;
    }
    for (int i = 0; i < CLIENTS; i++) {
      Thread t = new Thread(null, Release::client, "client", 128 * 1024);
      t.setDaemon(true);
      t.start();
      Rig.sleep(4);
    }
    Rig.sleep(3_000);
    say("before");
    if (trouble) {
      add(BACKENDS);
      KeyedBackend old = backends.get(0);
      Rig.sleep(GAP_MILLIS);
      rig.say(old.id + " works on " + old.runningKeys() + " keys and says that it leaves");
      old.drain(DRAIN_MILLIS);
    }
    Rig.sleep(7_000);
    say("7 s later");
    Rig.sleep(AFTER_MILLIS - 7_000);
    say(AFTER_MILLIS / 1000 + " s later");
    stop = true;
    Rig.sleep(3_000);
    return judge();
  }

  private static int heldKeys() {
    return backends.stream().mapToInt(KeyedBackend::heldKeys).sum();
  }

  private static void say(String when) {
    rig.say(when + ": " + heldKeys() + " of " + KeyedBackend.KEYS + " keys are held");
    for (KeyedBackend b : backends) {
      rig.say("  " + b.id + (b.ended ? " has left" : " holds " + b.heldKeys() + " keys")
          + "; largest answer " + b.largestAnswerBytes + " bytes, " + b.unacknowledged
          + " reports without acknowledgement");
    }
  }

  private static int judge() {
    List<Sample> all;
    synchronized (samples) {
      all = new ArrayList<>(samples);
    }
    Map<Integer, Map<String, Integer>> bySecond = new TreeMap<>();
    for (Sample s : all) {
      String what = s.status > 0 ? "status " + s.status : "no answer";
      bySecond.computeIfAbsent((int) s.seconds, k -> new TreeMap<>()).merge(what, 1, Integer::sum);
    }
    bySecond.forEach((second, ends) -> rig.say("sent in second " + second + ": " + ends));
    rig.say("run: " + backends.stream().mapToInt(b -> b.ran.size()).sum() + " requests");
    long served = all.stream().filter(s -> s.status == 200).count();
    double unserved = 1 - served / (double) Math.max(1, all.size());
    rig.say("%d requests; %.3f of them refused or failed".formatted(all.size(), unserved));
    return unserved > MOST_UNSERVED ? 1 : 0;
  }

  private static void client() {
    Random random = new Random();
    while (!stop) {
      Rig.Node edge = rig.edge(random.nextInt(ENTRIES));
      double sent = rig.seconds();
      int key = 0;
      try (Socket s = new Socket()) {
        s.connect(new InetSocketAddress(edge.ip, rig.frontPort), 1000);
        s.setSoTimeout(TIMEOUT_MILLIS + 1000);
        InputStream in = new BufferedInputStream(s.getInputStream());
        for (int i = 0; i < 20 && !stop; i++) {
          key = random.nextInt(KeyedBackend.KEYS);
          String id = Long.toHexString(Downloads.ids.incrementAndGet());
          sent = rig.seconds();
          String prefix = KeyedBackend.PREFIX;
          s.getOutputStream().write(("GET /lohu930/" + id + " HTTP/1.1\r\nHost: ficu95.example\r\n"
              + prefix + "Request-Id: " + id + "\r\n" + prefix + "Shard-Key: " + key + "\r\n"
              + prefix + "Request-Deadline-Ms: " + TIMEOUT_MILLIS
              + "\r\n\r\n").getBytes());
          Rig.Answer a = Rig.readAnswer(in, "POST");
          samples.add(new Sample(sent, key, a.status()));
          if (a.status() != 200) {
            // The client waits as it was told, a third of its time at most.
            double wait = Double.parseDouble(a.headers().getOrDefault("Retry-After", "0.1"));
            Rig.sleep((long) (1000 * Math.min(wait, TIMEOUT_MILLIS / 3_000.0)));
          }
          if ("close".equalsIgnoreCase(a.headers().get("Connection"))) {
            break;
          }
        }
      } catch (IOException e) {
        samples.add(new Sample(sent, key, 0));
        Rig.sleep(100);
      }
    }
  }
}
