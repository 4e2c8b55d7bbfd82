package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.InstanceId;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests control processes over sockets whose disks are full, one after another. */
@Timeout(120)
class FullDisksTest {
  private static final int MEMBERS = 5;
  private static final int TOLERATED_LOSSES = 2;
  private static final int CHANGES_PER_DISK = 8;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  /** Longest time until a change is confirmed, of the platform. */
  private static final Duration CONFIRMATION_LIMIT = Duration.ofSeconds(4);

  private static final long RETRY_MILLIS = 20;

  private RunningControlGroup group;

  @BeforeEach
  void createGroup(@TempDir Path folder) {
    group = new RunningControlGroup(folder);
  }

  @AfterEach
  void stop() throws InterruptedException {
    group.close();
  }

  private void startGroup(int port) {
    List<InstanceId> seeds = Stream.of(0, 1, 2).map(RunningControlGroup::member).toList();
    for (int i = 0; i < MEMBERS; i++) {
      group.add(port, seeds, true, TOLERATED_LOSSES);
    }
    group.nodes().forEach(ControlNode::start);
  }

  private void change() throws InterruptedException {
    group.change(CONFIRMATION_LIMIT);
  }

  /**
   * Guards against changes that are refused or stay unanswered to the end, although each disk was
   * full for a short time only and never two at once.
   */
  @ParameterizedTest
  @CsvSource({"700, 0", "700, 800", "2500, 0"})
  void changesAreAcceptedAfterEachDiskWasFull(long fullMillis, long pauseMillis) throws Exception {
    startGroup(RunningControlGroup.freePort());
    change();
    for (FillableDisk disk : group.disks()) {
      disk.fill();
      long endNanos = System.nanoTime() + Duration.ofMillis(fullMillis).toNanos();
      for (int i = 0; i < CHANGES_PER_DISK; i++) {
        change();
      }
      while (System.nanoTime() < endNanos) {
        change();
      }
      disk.free();
      Thread.sleep(pauseMillis);
    }
    for (int i = 0; i < CHANGES_PER_DISK; i++) {
      change();
    }
    group.assertLastChangeIsRead();
  }

  /** Guards against seeds that are forgotten because they changed while the disk was full. */
  @Test
  void seedsThatChangeWhileTheDiskIsFullAreUsed() throws Exception {
    int port = RunningControlGroup.freePort();
    startGroup(port);
    change();
    List<InstanceId> unreachable = List.of(RunningControlGroup.member(MEMBERS + 1));
    ControlNode late = group.add(port, unreachable, false, TOLERATED_LOSSES);
    FillableDisk disk = group.disks().get(MEMBERS);
    disk.fill();
    late.start();
    late.setSeeds(List.of(RunningControlGroup.member(0)));
    Thread.sleep(CALL_TIMEOUT.toMillis());
    disk.free();
    ControlAnswer answer = new ControlAnswer.Unavailable("not asked yet");
    long endNanos = System.nanoTime() + CONFIRMATION_LIMIT.toNanos();
    while (!(answer instanceof ControlAnswer.Redirect) && System.nanoTime() < endNanos) {
      answer = late.read().block(CALL_TIMEOUT);
      Thread.sleep(RETRY_MILLIS);
    }
    assertThat(answer).isInstanceOf(ControlAnswer.Redirect.class);
  }
}
