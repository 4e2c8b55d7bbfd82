package io.coltsfootwheel.deployment;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Five control processes with the memory of the deploy file, and an operator that sends hundreds of
 * complete configurations with as many routes as the platform's largest.
 */
@Timeout(300)
class ControlProcessesEndAfterLargeConfigurationsTest {
  private static final long SEED = 56;
  private static final int CHANGE_COUNT = 320;
  private static final int ROUTE_COUNT = 350;
  private static final long READ_TIMEOUT_MILLIS = 2_000;
  private static final long POLL_MILLIS = 50;
  private static final String OPENED = "\"event\":\"journal.opened\"";

  /** What happens to the control processes after the last change. */
  private enum Loss {
    /** All are killed. */
    ALL_KILLED {
      @Override
      void induce(List<Machine> core, Random random) throws InterruptedException {
        killTogether(core, List.of());
      }
    },

    /** All are killed, and two lose their disks. */
    ALL_KILLED_AND_TWO_DISKS_LOST {
      @Override
      void induce(List<Machine> core, Random random) throws InterruptedException {
        List<Machine> shuffled = new ArrayList<>(core);
        Collections.shuffle(shuffled, random);
        killTogether(core, shuffled.subList(0, 2));
      }
    };

    abstract void induce(List<Machine> core, Random random) throws InterruptedException;

    private static void killTogether(List<Machine> core, List<Machine> withoutDisk)
        throws InterruptedException {
      core.forEach(machine -> machine.sendKill("all killed"));
      for (Machine machine : core) {
        machine.kill("all killed");
      }
      withoutDisk.forEach(Machine::wipe);
      core.forEach(Machine::restart);
    }
  }

  @TempDir private Path folder;
  private final RunClock clock = new RunClock();
  private final Random random = new Random(SEED);
  private Deployment deployment;
  private ControlCaller control;
  private Prober prober;
  private Operator operator;

  @BeforeEach
  void createDeployment() {
    String classPath = System.getProperty("java.class.path");
    deployment =
        new Deployment(
            new Site(folder),
            DeployFile.read(Path.of("").toAbsolutePath()),
            role -> role.fromClasses(classPath),
            0,
            clock);
    Recorder recorder = new Recorder();
    control = new ControlCaller(deployment.core());
    prober = new Prober(deployment.edge(), recorder, clock, List.of());
    LargeChanges none = new LargeChanges(0, random);
    operator = new Operator(control, recorder, clock, prober, none, new Random(random.nextLong()));
  }

  @AfterEach
  void closeDeployment() {
    operator.close();
    prober.close();
    deployment.close();
  }

  /** Guards against control processes that run out of memory by the bytes of their log. */
  @ParameterizedTest
  @EnumSource
  void newestConfigurationIsReadBack(Loss loss) throws Exception {
    deployment.start(new Random(random.nextLong()));
    assertThat(operator.sendFirst()).isTrue();
    awaitJournals();
    long version = 0;
    for (int i = 0; i < CHANGE_COUNT; i++) {
      version = changeConfiguration();
    }
    loss.induce(deployment.core(), random);
    awaitRead(version);
    awaitJournals();
    awaitRead(changeConfiguration());
    assertNoneEnded();
    assertThat(logs()).doesNotContain("OutOfMemoryError");
  }

  private long changeConfiguration() throws InterruptedException {
    Change change = operator.changeManyRoutes(ROUTE_COUNT);
    assertNoneEnded();
    assertThat(change.isConfirmed()).as(change.toString()).isTrue();
    return change.version();
  }

  private void awaitRead(long version) throws InterruptedException {
    ControlCaller.Answer answer = read();
    while (!answer.isSuccess()) {
      assertNoneEnded();
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      answer = read();
    }
    assertThat(Configurations.read(answer.body()).version()).isEqualTo(version);
  }

  private ControlCaller.Answer read() throws InterruptedException {
    Machine machine = control.pick(random);
    return control.call(machine, "?call=config.get", "", "{}", READ_TIMEOUT_MILLIS);
  }

  /** Waits until each start of a process has opened its journal. */
  private void awaitJournals() throws InterruptedException {
    for (Machine machine : deployment.core()) {
      while (log(machine).split(OPENED, -1).length <= machine.boot()) {
        assertNoneEnded();
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      }
    }
  }

  private void assertNoneEnded() {
    List<ProcessStart> ended =
        deployment.core().stream()
            .flatMap(machine -> machine.starts().stream())
            .filter(start -> start.endedMillis().isPresent())
            .toList();
    assertThat(ended).as("processes that ended by themselves").isEmpty();
  }

  private String logs() {
    return String.join("", deployment.core().stream().map(this::log).toList());
  }

  private String log(Machine machine) {
    try {
      return Files.readString(folder.resolve(machine.name() + ".log"));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
