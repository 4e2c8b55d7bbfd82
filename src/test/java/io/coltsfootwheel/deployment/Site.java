package io.coltsfootwheel.deployment;

import java.nio.file.Path;
import java.util.List;

/** Addresses and settings files of the deployment diop-minutes on loopback addresses. */
final class Site {
  static final int CORE_COUNT = 5;
  static final int EDGE_COUNT = 10;
  static final int FRONT_PORT = 8144;
  static final int READY_PORT = 8140;
  static final int CONTROL_PORT = 8146;
  static final int METRICS_PORT = 9464;
  static final int FIRST_INTERNAL_PORT = 7660;
  static final List<String> ZONES = List.of("plateau", "almadies", "pikine");

  private static final String COMMON_SETTINGS =
      """
        discovery = "registration"
        entry = "vip"
        heartbeatIntervalMs = 870
        contracts = ["base","drain","config","cost","retry","recover","own"]
        bounds = ["seedLagS=3","reuseAfterS=2","contactWindowMs=3000","ackTimeoutMs=4000",\
        "catchUpS=4","drainMs=2000","graceS=6","lossSlackMs=200","configApplyMs=2000",\
        "rollbackSlackMs=250","maxStretchMs=5000","retryBudgetRatio=0.2","budgetWindowS=10",\
        "retryBudgetSlack=60","recoveryS=15","maxHoldMs=10000","thawSlackMs=300"]
        grants = "heartbeat"
        [zones]
        plateau = "dakar"
        almadies = "dakar"
        pikine = "dakar"
        """;

  private static final int FIRST_NETWORK = 64;
  private static final int NETWORK_COUNT = 120;

  private final Path folder;

  /** Loopback network of this run; all ports are the same in all runs. */
  private final String network =
      "127." + (FIRST_NETWORK + ProcessHandle.current().pid() % NETWORK_COUNT) + ".";

  Site(Path folder) {
    this.folder = folder;
  }

  Path folder() {
    return folder;
  }

  String coreIp(int index) {
    return network + "1." + (index + 1);
  }

  String edgeIp(int index) {
    return network + "2." + (index + 1);
  }

  String targetIp(int index) {
    return network + "3." + (index + 1);
  }

  static String zone(int index) {
    return ZONES.get(index % ZONES.size());
  }

  Path dataFolder(String name) {
    return folder.resolve(name + ".data");
  }

  Path settingsFile(String name) {
    return folder.resolve(name + ".toml");
  }

  /** Returns the text of a settings file. */
  String settings(
      String name,
      String role,
      boolean isCore,
      String ip,
      String zone,
      List<String> seeds,
      boolean bootstrap) {
    String listenAddrs =
        isCore
            ? "control = \"%s:%d\"".formatted(ip, CONTROL_PORT)
            : "front = \"%s:%d\"\nready = \"%s:%d\"".formatted(ip, FRONT_PORT, ip, READY_PORT);
    return """
        nodeName = "%s"
        role = "%s"
        machineClass = "%s"
        serves = ["%s"]
        ip = "%s"
        zone = "%s"
        region = "dakar"
        internalPortRange = [%d,%d]
        seeds = [%s]
        bootstrap = %b
        countsAsLoss = %b
        %s
        %s[listenAddrs]
        %s
        [limits]
        cpuShare = %s
        cpuCores = %d
        memoryMb = %d
        maxFds = %d
        linkMbps = 1000.0
        diskMb = %d
        [faultTolerance]
        machines = 2
        zones = 0
        regions = 0
        """
        .formatted(
            name,
            role,
            isCore ? "core" : "edge",
            isCore ? "control" : "edge",
            ip,
            zone,
            FIRST_INTERNAL_PORT,
            FIRST_INTERNAL_PORT + 15,
            String.join(",", seeds.stream().map(s -> "\"" + s + "\"").toList()),
            bootstrap,
            isCore,
            isCore ? "dataDir = \"%s\"".formatted(dataFolder(name)) : "",
            COMMON_SETTINGS,
            listenAddrs,
            isCore ? "0.9" : "0.6",
            isCore ? 2 : 1,
            isCore ? 426 : 430,
            isCore ? 4_096 : 4_100,
            isCore ? 256 : 0);
  }
}
