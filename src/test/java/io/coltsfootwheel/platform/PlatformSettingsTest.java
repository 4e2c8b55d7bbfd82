package io.coltsfootwheel.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.relay.LimitMode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class PlatformSettingsTest {
  private static final String SETTINGS =
      """
      nodeName = "n"
      ip = "127.0.0.1"
      zone = "z"
      internalPortRange = [7660,7675]
      seeds = ["127.0.0.2:8146"]
      bootstrap = true
      dataDir = "data"
      heartbeatIntervalMs = 870
      bounds = ["seedLagS=3","other=true","maxHoldMs=10000","graceS=6"]
      future = {x = [1]}
      [listenAddrs]
      front = "127.0.0.1:8144"
      ready = "127.0.0.1:8140"
      control = "127.0.0.1:8146"
      [faultTolerance]
      machines = 2
      """;

  @TempDir private Path folder;

  /** Guards against a group that replaces its members later than the platform's bound asks. */
  @ParameterizedTest
  @CsvSource({"catchUpS=4, 4000", "catchUpS=2.5, 2500", "graceS=6, 4000"})
  void catchUpTimeFollowsTheBounds(String bound, long catchUpMillis) throws IOException {
    Path file = folder.resolve("settings.toml");
    Files.writeString(
        file,
        """
        ip = "127.0.0.1"
        internalPortRange = [7660, 7675]
        dataDir = "data"
        bounds = ["%s"]
        """
            .formatted(bound));
    assertThat(PlatformSettings.read(file).control().catchUpMillis()).isEqualTo(catchUpMillis);
  }

  /**
   * Guards against an evacuation bound that is not read, and against a default that is not the
   * drain time of the deployment.
   */
  @ParameterizedTest
  @CsvSource({
    "graceS=6, 2000",
    "drainMs=700, 700",
    "evacuationMs=5000, 5000",
    "'drainMs=700\",\"evacuationMs=4000', 4000",
    "'evacuationMs=0\",\"drainMs=700', 0"
  })
  void evacuationTimeFollowsTheBounds(String bounds, long evacuationMillis) throws IOException {
    Path file = folder.resolve("settings.toml");
    Files.writeString(file, SETTINGS.replace("graceS=6", bounds));
    assertThat(PlatformSettings.read(file).relay().evacuationMillis()).isEqualTo(evacuationMillis);
  }

  /**
   * Guards against limits that are enforced where the platform does not ask for it, and the
   * reverse.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "future = 1|OBSERVE",
        "contracts = [\"base\",\"pool\"]|OBSERVE",
        "contracts = [\"base\",\"pressure\"]|ENFORCE",
        "contracts = [7,\"pressure\"]|ENFORCE",
        "contracts = [\"pressure\"];concurrencyLimits = \"observe\"|OBSERVE",
        "concurrencyLimits = \"enforce\"|ENFORCE"
      })
  void limitsAreEnforcedWhereTheContractsAskForIt(String line, LimitMode mode) throws IOException {
    Path file = folder.resolve("settings.toml");
    Files.writeString(file, SETTINGS.replace("future = {x = [1]}", line.replace(';', '\n')));
    assertThat(PlatformSettings.read(file).relay().limitMode()).isEqualTo(mode);
  }

  /** Guards against bodies that are paced on a link of unknown rate, or not on a slow one. */
  @ParameterizedTest
  @CsvSource({"'', -1", "linkMbps = 0, -1", "linkMbps = 2.5, 312500", "linkMbps = 1000, 125000000"})
  void rateOfTheLinkIsRead(String limit, long bytesPerSecond) throws IOException {
    Path file = folder.resolve("settings.toml");
    Files.writeString(file, SETTINGS + "[limits]\ncpuShare = 0.3\n" + limit + "\n");
    assertThat(PlatformSettings.read(file).relay().linkBytesPerSecond().orElse(-1))
        .isEqualTo(bytesPerSecond);
  }

  /** Guards against zones of the settings that no order can name; odd names are left out. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"''|0", "[zones]|0", "[zones];plateau = \"dakar\";\"a b\" = 3;pikine = 1|2"})
  void zonesOfTheTableAreKnown(String table, int count) throws IOException {
    Path file = folder.resolve("settings.toml");
    Files.writeString(file, SETTINGS + table.replace(';', '\n'));
    assertThat(PlatformSettings.read(file).control().zones()).hasSize(count);
  }

  /** Asks for all settings, as the two processes do at their start. */
  private void readAll(String content) throws IOException {
    Path file = folder.resolve("settings.toml");
    Files.writeString(file, content);
    PlatformSettings settings = PlatformSettings.read(file);
    settings.name();
    settings.control();
    settings.controlAddress();
    settings.relay();
    settings.entry();
    settings.readinessAddress();
  }

  /** Guards against a process that starts with a default in place of a setting it cannot read. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "nodeName = \"n\"|nodeName = 7|nodeName",
        "ip = \"127.0.0.1\"|ip = \"host.example\"|ip",
        "ip = \"127.0.0.1\"|ip = \"\"|ip",
        "zone = \"z\"|zone = \"\"|zone",
        "zone = \"z\"|zone = [\"z\"]|zone",
        "internalPortRange = [7660,7675]|#|internalPortRange",
        "internalPortRange = [7660,7675]|internalPortRange = 7660|internalPortRange",
        "internalPortRange = [7660,7675]|internalPortRange = [7660]|internalPortRange",
        "[7660,7675]|[\"7660\",7675]|internalPortRange[0]",
        "[7660,7675]|[0,7675]|internalPortRange[0]",
        "[7660,7675]|[7660,7660]|internalPortRange[1]",
        "[7660,7675]|[7660,65536]|internalPortRange[1]",
        "seeds = [\"127.0.0.2:8146\"]|seeds = \"127.0.0.2:8146\"|seeds",
        "bootstrap = true|bootstrap = \"true\"|bootstrap",
        "bootstrap = true|bootstrap = 1|bootstrap",
        "dataDir = \"data\"|#|dataDir",
        "heartbeatIntervalMs = 870|heartbeatIntervalMs = 0|heartbeatIntervalMs",
        "heartbeatIntervalMs = 870|heartbeatIntervalMs = -1|heartbeatIntervalMs",
        "heartbeatIntervalMs = 870|heartbeatIntervalMs = 870.5|heartbeatIntervalMs",
        "heartbeatIntervalMs = 870|heartbeatIntervalMs = \"870\"|heartbeatIntervalMs",
        "heartbeatIntervalMs = 870|heartbeatIntervalMs = 99999999999999999999|heartbeatIntervalMs",
        "\"seedLagS=3\",|7,|bounds[0]",
        "\"maxHoldMs=10000\"|\"maxHoldMs=0\"|bounds[2]",
        "\"maxHoldMs=10000\"|\"maxHoldMs=true\"|bounds[2]",
        "\"maxHoldMs=10000\"|\"maxHoldMs\"|bounds[2]",
        "\"graceS=6\"|\"graceS=-1\"|bounds[3]",
        "\"graceS=6\"|\"graceS=1e999\"|bounds[3]",
        "\"graceS=6\"|\"graceS=NaN\"|bounds[3]",
        "\"graceS=6\"|\"budgetWindowS=0\"|bounds[3]",
        "\"graceS=6\"|\"warmupOvershoot=-1\"|bounds[3]",
        "\"graceS=6\"|\"warmupSlack=many\"|bounds[3]",
        "bounds = [|bounds = \"graceS=6\" #|bounds",
        "front = \"127.0.0.1:8144\"|#|listenAddrs.front",
        "ready = \"127.0.0.1:8140\"|ready = 8140|listenAddrs.ready",
        "control = \"127.0.0.1:8146\"|control = \"127.0.0.1:0\"|listenAddrs.control",
        "[listenAddrs]|[other]|listenAddrs",
        "\"graceS=6\"|\"evacuationMs=-1\"|bounds[3]",
        "future = {x = [1]}|zones = [\"z\"]|zones",
        "machines = 2|machines = -1|faultTolerance.machines",
        "future = {x = [1]}|concurrencyLimits = \"some\"|concurrencyLimits",
        "machines = 2|machines = \"2\"|faultTolerance.machines",
        "future = {x = [1]}|limits.linkMbps = -1|limits.linkMbps",
        "[faultTolerance]|[[faultTolerance]]|faultTolerance",
      })
  void faultySettingEndsTheStartAndIsNamed(String part, String replacement, String name)
      throws IOException {
    readAll(SETTINGS);
    assertThat(SETTINGS).contains(part);
    String faulty = SETTINGS.replace(part, replacement);
    assertThatThrownBy(() -> readAll(faulty))
        .isInstanceOfSatisfying(
            ColtsfootwheelException.class,
            e -> assertThat(e.kind()).isEqualTo(ErrorKind.INVALID_SETTINGS))
        .hasMessageStartingWith(name + ": expected ");
  }

  /** Guards against a bound whose usual value is refused. */
  @ParameterizedTest
  @EnumSource(PlatformBound.class)
  void defaultOfABoundIsInItsRange(PlatformBound bound) {
    assertThat(bound.parse(bound.wireName() + " = " + bound.defaultValue()))
        .contains(bound.defaultValue());
    assertThat(PlatformBound.named(bound.wireName() + " =1")).contains(bound);
  }
}
