package io.coltsfootwheel.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.MovePolicy;
import io.coltsfootwheel.model.ServiceName;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that invalid settings files are rejected and that all their faults are reported. */
class SettingsFileTest {
  private static final String VALID =
      """
      cluster-name = "c"
      log-format = "json"
      data-folder = "data"
      shared-key-file = "shared.key"
      operator-token-file = "operator.token"
      initial-members = ["a"]
      [instance]
      id = "a"
      zone = "z"
      [listen]
      link = "127.0.0.1:7400"
      [[control-members]]
      instance-id = "a"
      link-address = "127.0.0.1:7400"
      [[control-members]]
      instance-id = "b"
      link-address = "127.0.0.1:7500"
      [[services]]
      name = "ledger"
      keyed = true
      hash-slots = 64
      move-policy = "churn"
      [services.objectives]
      answered-in-time-share = 0.99
      in-time-millis = 250
      unavailable-seconds-per-day = 20
      churn-per-hour = 400
      [[services]]
      name = "books"
      keyed = false
      [limits]
      body-bytes = 1000
      """;

  @TempDir Path folder;

  @BeforeEach
  void writeSecrets() throws IOException {
    writeSecret("shared.key");
    writeSecret("operator.token");
  }

  @Test
  void validFileIsReadWithDefaults() throws IOException {
    DaemonSettings settings = read(VALID);
    assertThat(settings.isControlMember()).isTrue();
    assertThat(settings.dataFolder()).contains(folder.resolve("data"));
    assertThat(settings.operatorAddress()).hasToString("127.0.0.1:7402");
    assertThat(settings.initialMembers()).containsExactly(InstanceId.of("a"));
    assertThat(settings.services().get(0).hashSlots()).isEqualTo(64);
    assertThat(settings.services().get(0).movePolicy()).isEqualTo(MovePolicy.CHURN);
    assertThat(settings.services().get(1).hashSlots()).isZero();
    assertThat(settings.objectives()).containsOnlyKeys(ServiceName.of("ledger"));
    assertThat(settings.limits().deadlineDefaultMillis()).isEqualTo(10_000);
    assertThat(settings.logFormat()).isEqualTo(LogFormat.JSON);
  }

  /**
   * Each row: text of the valid file | replacement | setting with the fault | part of the message.
   */
  @ParameterizedTest(name = "{0} -> {1}")
  @CsvSource(
      delimiter = '|',
      value = {
        "cluster-name = \"c\"|colour = 1|colour|not a known setting",
        "cluster-name = \"c\"||cluster-name|is missing",
        "cluster-name = \"c\"|cluster-name = \" \"|cluster-name|is empty",
        "zone = \"z\"|zone = 7|instance.zone|not a string",
        "zone = \"z\"|zone = \"a b\"|instance.zone|not a valid name",
        "zone = \"z\"||instance.zone|is missing",
        "\"json\"|\"xml\"|log-format|not known",
        "\"churn\"|\"never\"|services[0].move-policy|not known",
        "body-bytes = 1000|body-kib = 1|limits.body-kib|use 'body-bytes'",
        "body-bytes = 1000|deadline-default-seconds = 1|limits.deadline-default-seconds"
            + "|use 'deadline-default-millis'",
        "body-bytes = 1000|body-bytes = \"1k\"|limits.body-bytes|not an integer",
        "body-bytes = 1000|body-bytes = -1|limits.body-bytes|out of bounds",
        "body-bytes = 1000|queue-factor = 0|limits.queue-factor|out of bounds",
        "body-bytes = 1000|deadline-default-millis = 99999999999|limits.deadline-default-millis"
            + "|out of bounds",
        "body-bytes = 1000|deadline-maximum-millis = 5|limits.deadline-default-millis|is above",
        "hash-slots = 64|hash-slots = 65537|services[0].hash-slots|out of bounds",
        "keyed = false|keyed = 1|services[1].keyed|not true or false",
        "keyed = false|keyed = false\\nhash-slots = 4|services[1].hash-slots|unkeyed service",
        "\"books\"|\"ledger\"|services[1].name|is repeated",
        "= 0.99|= 99.9|services[0].objectives.answered-in-time-share|not a share",
        "body-bytes = 1000|deadline-maximum-millis = 100|services.objectives.in-time-millis"
            + "|above limits.deadline-maximum-millis",
        "link = \"127.0.0.1:7400\"\\n[[|link = \"localhost:7400\"\\n[[|listen.link|not an IP",
        "link = \"127.0.0.1:7400\"\\n[[|link = \"127.0.0.1\"\\n[[|listen.link|not an IP",
        "link = \"127.0.0.1:7400\"\\n[[|link = \"0.0.0.0:7400\"\\n[[|listen.link|all interfaces",
        "link = \"127.0.0.1:7400\"\\n[[|link = \"[::]:7400\"\\n[[|listen.link|all interfaces",
        "link = \"127.0.0.1:7400\"\\n[[|link = \"127.0.0.1:7401\"\\n[[|listen.http|also used by",
        "link-address = \"127.0.0.1:7400\"|link-address = \"127.0.0.1:7999\""
            + "|control-members[0].link-address|not this instance's own",
        "link-address = \"127.0.0.1:7500\"|link-address = \"127.0.0.1:7400\""
            + "|control-members[1].link-address|is repeated",
        "instance-id = \"b\"|instance-id = \"a\"|control-members[1].instance-id|is repeated",
        "[\"a\"]|[\"x\"]|initial-members|not among control-members",
        "[\"a\"]|[\"a\", \"a\"]|initial-members|is repeated",
        "[\"a\"]|[1]|initial-members|not an array of strings",
        "data-folder = \"data\"||data-folder|is a control member",
        "id = \"a\"\\nzone|id = \"x\"\\nzone|data-folder|not among control-members",
        "\"shared.key\"|\"none.key\"|shared-key-file|cannot be read",
      })
  void eachFaultIsReported(String original, String substitute, String setting, String fault)
      throws IOException {
    String replacement = substitute == null ? "" : unescape(substitute);
    String content = VALID.replace(unescape(original), replacement);
    assertThat(content).isNotEqualTo(VALID);
    assertThat(readExpectingFaults(content).faults())
        .anySatisfy(
            reported -> {
              assertThat(reported.setting()).isEqualTo(setting);
              assertThat(reported.toString()).contains(fault).contains("; remedy: ");
            });
  }

  @Test
  void allFaultsAreReportedAtOnceOneLineEach() throws IOException {
    String content =
        VALID
            .replace("zone = \"z\"", "zone = 7")
            .replace("\"json\"", "\"xml\"")
            .replace("hash-slots = 64", "hash-slots = 0");
    String message = readExpectingFaults(content).getMessage();
    assertThat(message.lines()).hasSize(3).allMatch(line -> line.contains("daemon.toml: "));
  }

  @Test
  void syntaxErrorReportsItsLine() throws IOException {
    assertThat(readExpectingFaults("cluster-name = \"c\"\nzone = = 1\n").faults().get(0).setting())
        .isEqualTo("line 2");
  }

  @ParameterizedTest
  @ValueSource(strings = {"rw-r-----", "rw----r--", "rw--w----"})
  void secretAccessibleByOthersIsRejected(String permissions) throws IOException {
    Files.setPosixFilePermissions(
        folder.resolve("operator.token"), PosixFilePermissions.fromString(permissions));
    assertThat(readExpectingFaults(VALID).faults().get(0).setting())
        .isEqualTo("operator-token-file");
  }

  @Test
  void shortKeyIsRejected() throws IOException {
    Files.writeString(folder.resolve("shared.key"), "short");
    assertThat(readExpectingFaults(VALID).getMessage()).contains("shorter than 32 bytes");
  }

  @ParameterizedTest
  @ValueSource(strings = {"maison-diop.toml", "harrowmere.toml"})
  void examplesAreValid(String example) throws IOException {
    DaemonSettings settings = read(Files.readString(Path.of("config/example", example)));
    assertThat(settings.services()).hasSize(2);
  }

  private DaemonSettings read(String content) throws IOException {
    Path file = Files.writeString(folder.resolve("daemon.toml"), content);
    return SettingsFile.read(file);
  }

  private SettingsException readExpectingFaults(String content) {
    return catchThrowableOfType(SettingsException.class, () -> read(content));
  }

  private void writeSecret(String name) throws IOException {
    Path file = Files.writeString(folder.resolve(name), "0123456789abcdef".repeat(2));
    Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
  }

  private static String unescape(String content) {
    return content.replace("\\n", "\n");
  }
}
