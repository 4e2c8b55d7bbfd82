import java.nio.file.Path;
import java.util.Map;

/**
 * Case 6. An operator sends hundreds of whole configurations of a deployment with many routes. With
 * the disruption, all control processes are killed at the same moment and started again.
 */
final class ManyChanges {
  /** The pages say that a day may contain hundreds of changes. */
  static final int CHANGES = 360;

  /** The site file adds up to 350 routes (big_config). */
  static final int ROUTES = 350;

  static final long SEND_LIMIT_SECONDS = 75;
  static final long DOWN_MILLIS = 700;
  static final long RECOVERY_MILLIS = 15_000;
  static final int READ_LIMIT_MILLIS = 8_000;

  private ManyChanges() {}

  public static void main(String[] args) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Rig rig = new Rig(Path.of(args[0]), 5, 0)) {
      exit = run(rig, trouble);
      rig.say("exit " + exit);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  private static int run(Rig rig, boolean trouble) throws Exception {
    rig.startAll();
    if (!rig.awaitControl(20_000)) {
      rig.say("control did not start");
      return 2;
    }
    int version = 0;
    for (int i = 1; i <= CHANGES; i++) {
      byte[] body = Configurations.complete(2 * i, ROUTES, 1000 + i).getBytes();
      Rig.Answer answer =
          rig.control(
              "call=config.put",
              Map.of("If-Match", version == 0 ? "0" : "r" + version),
              body,
              1_000 + 3 * ROUTES,
              i,
              8_000);
      if (answer.status() != 200 || rig.seconds() > SEND_LIMIT_SECONDS) {
        rig.say("change r" + 2 * i + " got " + answer.status() + " " + answer.text());
        return 2;
      }
      version = 2 * i;
      if (i % 40 == 0) {
        rig.say(i + " changes of " + body.length + " bytes sent, all acknowledged");
      }
    }
    if (trouble) {
      rig.say("all control processes are killed at the same moment");
      rig.cores().forEach(n -> n.supervised = false);
      rig.cores().forEach(n -> n.process.destroyForcibly());
      for (Rig.Node n : rig.cores()) {
        n.process.waitFor();
      }
      Rig.sleep(DOWN_MILLIS);
      rig.cores().forEach(Rig.Node::restart);
      Rig.sleep(RECOVERY_MILLIS);
    }
    return readBack(rig, version);
  }

  private static int readBack(Rig rig, int version) {
    Rig.Answer read =
        rig.control("call=config.get", Map.of(), "{}".getBytes(), 2_000, 0, READ_LIMIT_MILLIS);
    boolean isNewest =
        read.status() == 200 && read.text().contains("\"version\":\"r" + version + "\"");
    rig.say(
        "newest acknowledged version: r" + version + "; read back: "
            + (read.status() == 0 ? "no answer" : "status " + read.status())
            + (isNewest ? ", the same version" : ""));
    rig.cores()
        .forEach(n -> rig.say(n.name + " ended by itself " + n.ends.size() + " times " + n.ends));
    return isNewest ? 0 : 1;
  }
}
