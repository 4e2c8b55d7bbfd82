package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.model.ServiceName;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reactor.netty.resources.LoopResources;

class TargetConnectionsTest {
  private static final ProtocolHeaderNames HEADER_NAMES =
      new ProtocolHeaderNames(
          "id", "deadline", "key", "expected", "signature", "rejected", "leaving", "load");

  /** What happens to a target while a connection to it opens. */
  private enum Change {
    DRAIN_TIME_ENDS {
      @Override
      boolean maySendAfterwards() {
        return false;
      }
    },
    TARGET_IS_REMOVED {
      @Override
      void apply(TargetConnections connections, ScriptedTarget target) {
        connections.close(target.id());
      }
    };

    boolean maySendAfterwards() {
      return true;
    }

    void apply(TargetConnections connections, ScriptedTarget target) {}
  }

  /** Completes with the failure of the call, or with empty when a response arrives. */
  private static final class RecordingListener implements CallListener {
    private final CompletableFuture<CallFailure> failure = new CompletableFuture<>();
    private final boolean maySend;

    private RecordingListener(boolean maySend) {
      this.maySend = maySend;
    }

    @Override
    public boolean maySend() {
      return maySend;
    }

    @Override
    public void onResponse(FullHttpResponse response, ResponseCheck check) {
      failure.completeExceptionally(new AssertionError("the request was sent"));
    }

    @Override
    public void onFailure(CallFailure callFailure) {
      failure.complete(callFailure);
    }
  }

  private final LoopResources loops = LoopResources.create("test", 1, true);
  private final EventLoop eventLoop = (EventLoop) loops.onServer(false).next();
  private final EventLog log = new EventLog(line -> {}, Map.of());
  private final ScriptedTarget target =
      new ScriptedTarget("a", ServiceName.of("s"), ScriptedTarget.Step.ANSWER);

  @AfterEach
  void stop() throws InterruptedException {
    target.close();
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
    log.close();
  }

  /** Guards against a request that reaches a target that left while its connection opened. */
  @ParameterizedTest
  @EnumSource
  void requestIsNotSentAfterTheTargetLeft(Change change) throws Exception {
    TargetConnections connections =
        new TargetConnections(
            loops,
            eventLoop,
            HEADER_NAMES,
            new BufferedBodyBudget(1_000_000),
            PacedWriter.ofLink(OptionalLong.empty(), eventLoop),
            id -> OptionalInt.empty(),
            log);
    RecordingListener listener = new RecordingListener(change.maySendAfterwards());
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/1");
    request.headers().set("id", "r");
    eventLoop.execute(
        () -> {
          connections.send(target.view(), 2, request, "r", listener);
          change.apply(connections, target);
        });
    assertThat(listener.failure.get(10, TimeUnit.SECONDS)).isEqualTo(CallFailure.NO_CONNECTION);
    assertThat(target.requests()).isEmpty();
    assertThat(request.refCnt()).isZero();
  }
}
