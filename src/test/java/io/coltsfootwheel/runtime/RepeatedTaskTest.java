package io.coltsfootwheel.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RepeatedTaskTest {
  private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

  @AfterEach
  void stop() {
    executor.shutdownNow();
  }

  /** Guards against a task that never runs again after an error, and one that fails silently. */
  @Test
  void runsAgainAfterAnError() throws InterruptedException {
    CountDownLatch runs = new CountDownLatch(3);
    List<Throwable> failures = new CopyOnWriteArrayList<>();
    StackOverflowError error = new StackOverflowError();
    RepeatedTask task =
        new RepeatedTask(
            executor,
            () -> {
              runs.countDown();
              throw error;
            },
            1,
            failures::add);
    task.start();
    assertThat(runs.await(10, TimeUnit.SECONDS)).isTrue();
    assertThat(failures).contains(error);
    task.close();
  }

  /** Guards against a run after the end, and against an exception when the executor has ended. */
  @Test
  void runsNoMoreAfterItsEnd() throws InterruptedException {
    CountDownLatch closed = new CountDownLatch(1);
    List<String> runs = new CopyOnWriteArrayList<>();
    RepeatedTask task = new RepeatedTask(executor, () -> runs.add("run"), 1, failure -> {});
    RepeatedTask endless = new RepeatedTask(executor, () -> {}, 1, failure -> {});
    task.close();
    task.start();
    executor.execute(closed::countDown);
    assertThat(closed.await(10, TimeUnit.SECONDS)).isTrue();
    executor.shutdownNow();
    endless.start();
    assertThat(runs).isEmpty();
  }
}
