package io.coltsfootwheel.loadcontrol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the order and the bounds of pipelined requests without connections. */
class RequestPipelineTest {
  private static final int MAX_IN_PROGRESS = 20;
  private static final long MAX_WAITING_BYTES = 10_000;

  private final PipelineBudget budget = new PipelineBudget(MAX_IN_PROGRESS, MAX_WAITING_BYTES);
  private final RequestPipeline<String> pipeline = pipeline();

  /** Requests whose name begins with "u" are not idempotent. */
  private RequestPipeline<String> pipeline() {
    return new RequestPipeline<>(budget, name -> !name.startsWith("u"));
  }

  private static List<RequestPipeline.Entry<String>> startAll(RequestPipeline<String> pipeline) {
    List<RequestPipeline.Entry<String>> started = new ArrayList<>();
    Optional<RequestPipeline.Entry<String>> next = pipeline.startNext();
    while (next.isPresent()) {
      started.add(next.get());
      next = pipeline.startNext();
    }
    return started;
  }

  /**
   * Guards against a request that is not idempotent and runs beside another one, against responses
   * out of order, and against counts that do not return to zero.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void randomRequestsKeepTheOrder(long seed) {
    Random random = new Random(seed);
    List<RequestPipeline.Entry<String>> running = new ArrayList<>();
    List<String> answered = new ArrayList<>();
    int added = 0;
    while (answered.size() < 2_000) {
      if (added < 2_000 && !pipeline.isFull() && random.nextInt(3) > 0) {
        pipeline.add((random.nextInt(8) == 0 ? "u" : "s") + added, false, random.nextInt(50_000));
        added++;
      } else if (!running.isEmpty()) {
        pipeline.finish(running.remove(random.nextInt(running.size())), random.nextInt(2_000));
      }
      for (var next = pipeline.takeAnswered(); next.isPresent(); next = pipeline.takeAnswered()) {
        answered.add(next.get());
      }
      running.addAll(startAll(pipeline));
      assertThat(running.size()).isLessThanOrEqualTo(RequestPipeline.MAX_STARTED);
      if (running.stream().anyMatch(entry -> entry.item().startsWith("u"))) {
        assertThat(running).hasSize(1);
      }
    }
    assertThat(answered.stream().map(name -> Integer.parseInt(name.substring(1)))).isSorted();
    assertThat(budget.inProgress()).isZero();
    assertThat(budget.waitingBytes()).isZero();
    assertThat(pipeline.isFull()).isFalse();
  }

  /** Guards against bounds that are not kept, and against a first request that never starts. */
  @ParameterizedTest
  @CsvSource({"0, 0, 16", "300000, 0, 1", "0, 2000000, 1"})
  void boundsOfTheConnectionLeaveTheFirstRequest(long requestBytes, long unwritten, int started) {
    pipeline.changeUnwrittenBytes(unwritten);
    for (int i = 0; i < 40; i++) {
      pipeline.add("s" + i, false, requestBytes);
    }
    assertThat(pipeline.isFull()).isTrue();
    assertThat(startAll(pipeline)).hasSize(started);
  }

  /** Guards against many connections that together exceed the memory of the process. */
  @Test
  void boundsOfTheProcessLeaveTheFirstRequestOfEachConnection() {
    List<Integer> started = new ArrayList<>();
    for (int c = 0; c < 4; c++) {
      RequestPipeline<String> other = pipeline();
      for (int i = 0; i < 16; i++) {
        other.add("s" + i, false, 0);
      }
      started.add(startAll(other).size());
    }
    assertThat(started).containsExactly(16, 6, 1, 1);
    assertThat(pipeline.isFull()).isFalse();
  }

  /** Guards against responses that wait for their turn without a bound. */
  @Test
  void waitingResponsesStopFurtherRequests() {
    pipeline.add("s0", false, 0);
    pipeline.add("s1", false, 0);
    pipeline.finish(startAll(pipeline).get(1), MAX_WAITING_BYTES);
    pipeline.add("s2", false, 0);
    assertThat(pipeline.isFull()).isTrue();
    assertThat(startAll(pipeline)).isEmpty();
    assertThat(pipeline.removeAll()).containsExactly("s0", "s1", "s2");
    assertThat(budget.waitingBytes()).isZero();
    assertThat(budget.inProgress()).isZero();
  }

  /** Guards against requests behind a response that closes the connection. */
  @Test
  void nothingIsAddedBehindAResponseThatCloses() {
    pipeline.add("s0", true, 0);
    assertThat(pipeline.isClosing()).isTrue();
    assertThatThrownBy(() -> pipeline.add("s1", false, 0))
        .isInstanceOf(IllegalStateException.class);
  }
}
