package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Half of the open connections between three control processes go silent: of each two processes, one
 * of the two connections between them, drawn at random.
 */
public final class SilentLinks {
  /** Longer than the bound recoveryS of 15 s. */
  private static final long WAIT_MILLIS = 20_000;

  /** The operator asks for at least contactWindowMs; here for longer. */
  private static final long READ_MILLIS = 10_000;

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Cluster cluster = new Cluster(Path.of(arguments[0]), 3)) {
      System.exit(run(cluster, trouble));
    }
  }

  private static int run(Cluster cluster, boolean trouble) throws Exception {
    cluster.usesProxies = true;
    List<LinkProxy> chosen = new ArrayList<>();
    List<LinkProxy> others = new ArrayList<>();
    List<String> controls = cluster.controls;
    Random random = new Random();
    for (int i = 0; i < 3; i++) {
      for (int j = i + 1; j < 3; j++) {
        LinkProxy there = new LinkProxy(cluster, controls.get(i), controls.get(j));
        LinkProxy back = new LinkProxy(cluster, controls.get(j), controls.get(i));
        boolean isThere = random.nextBoolean();
        chosen.add(isThere ? there : back);
        others.add(isThere ? back : there);
      }
    }
    cluster.startControls();
    if (cluster.order("call=config.put", "0", StrayReport.config(), 30_000).status() != 200) {
      return 2;
    }
    Thread.sleep(5_000);
    Cluster.Reply before = cluster.order("call=config.get", null, "{}", 5_000);
    if (before.status() != 200 || !before.body().contains("\"r1\"")) {
      return 2;
    }
    if (trouble) {
      for (LinkProxy proxy : chosen) {
        cluster.record("silent from now on: " + proxy.silence() + " open connection(s) from " + proxy);
      }
    }
    Thread.sleep(WAIT_MILLIS);
    Cluster.Reply after = cluster.order("call=config.get", null, "{}", READ_MILLIS);
    chosen.forEach(p -> cluster.record("connections from " + p + " so far: " + p.accepted()));
    others.forEach(p -> cluster.record("connections from " + p + " so far: " + p.accepted()));
    for (String control : List.of("core-0", "core-1", "core-2")) {
      cluster.recordLog(control, "role.changed", 2);
      cluster.recordLog(control, "link.silent", 2);
    }
    if (after.status() == 200 && after.body().contains("\"r1\"")) {
      return 0;
    }
    cluster.record("CONFIG: the acknowledged config r1 cannot be read back " + (WAIT_MILLIS + READ_MILLIS)
        + " ms after the connections went silent");
    return 1;
  }
}
