package io.coltsfootwheel.edge;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.link.FrameKind;
import io.coltsfootwheel.link.Header;
import io.coltsfootwheel.link.LinkChannel;
import io.coltsfootwheel.link.LinkListener;
import io.coltsfootwheel.link.LinkSettings;
import io.coltsfootwheel.link.LinkTransport;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.Outcome;
import io.coltsfootwheel.model.TargetId;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

@Timeout(30)
class ResponseRelayTest {
  private static final InstanceId ENTRY = InstanceId.of("entry");
  private static final InstanceId DISPATCHER = InstanceId.of("dispatcher");
  private static final TargetId TARGET = TargetId.of("t1");
  private static final long IDLE_TIMEOUT_MILLIS = 20_000;

  private final LinkTransport entryLink = link(ENTRY);
  private final LinkTransport dispatcherLink = link(DISPATCHER);
  private final BlockingQueue<FrameKind> cancelsAtDispatcher = new LinkedBlockingQueue<>();
  private ResponseRelay entry;
  private ResponseRelay dispatcher;

  @BeforeEach
  void start() {
    connect(IDLE_TIMEOUT_MILLIS);
  }

  @AfterEach
  void close() {
    entry.close();
    dispatcher.close();
    entryLink.close();
    dispatcherLink.close();
  }

  /** Guards against bytes that are lost, duplicated or mixed between concurrent responses. */
  @ParameterizedTest
  @CsvSource({"1,0,1", "1,5,1", "20,300000,7", "4,5000000,1000000", "4,2000000,1000"})
  void relaysCompleteBodies(int responses, int bytes, int partBytes) throws Exception {
    List<CompletableFuture<byte[]>> results = new java.util.ArrayList<>();
    for (int i = 0; i < responses; i++) {
      byte[] content = content(i, bytes);
      Mono<CallerResponse> expected = entry.expect(DISPATCHER, i);
      dispatcher.send(ENTRY, i, relayed(split(content, partBytes))).subscribe();
      results.add(
          expected
              .flatMap(response -> join(((CallerResponse.Relayed) response).body()))
              .toFuture());
    }
    for (int i = 0; i < responses; i++) {
      assertThat(results.get(i).get()).isEqualTo(content(i, bytes));
    }
  }

  /** Guards against unbounded buffering at entry or dispatcher while a caller does not read. */
  @Test
  void creditLimitsBodySource() throws Exception {
    AtomicInteger producedParts = new AtomicInteger();
    int partBytes = 16 * 1024;
    Flux<ByteBuf> body =
        Flux.range(0, 1000)
            .map(
                i -> {
                  producedParts.incrementAndGet();
                  return Unpooled.wrappedBuffer(new byte[partBytes]);
                });
    Mono<CallerResponse> expected = entry.expect(DISPATCHER, 1);
    dispatcher.send(ENTRY, 1, relayed(body)).subscribe(ignored -> {}, error -> {});
    CallerResponse.Relayed response = (CallerResponse.Relayed) expected.block();
    BlockingQueue<ByteBuf> receivedParts = new LinkedBlockingQueue<>();
    CompletableFuture<Void> done = new CompletableFuture<>();
    response
        .body()
        .subscribe(receivedParts::add, done::completeExceptionally, () -> done.complete(null));
    int bytesRead = 0;
    while (bytesRead < 1000 * partBytes) {
      int unreadBytes = producedParts.get() * partBytes - bytesRead;
      assertThat(unreadBytes)
          .isLessThanOrEqualTo(LinkResponseRelay.CREDIT_WINDOW_BYTES + 2 * partBytes);
      ByteBuf next = receivedParts.poll(10, TimeUnit.SECONDS);
      assertThat(next).isNotNull();
      bytesRead += next.readableBytes();
      next.release();
    }
    done.get();
  }

  /**
   * Guards against a shutdown that ends while a response of a target waits for credit of its entry,
   * although the target has already sent all of it.
   */
  @Test
  void responseThatWaitsForCreditIsOutgoing() throws Exception {
    byte[] content = content(1, 4 * LinkResponseRelay.CREDIT_WINDOW_BYTES);
    Mono<CallerResponse> expected = entry.expect(DISPATCHER, 1);
    dispatcher
        .send(ENTRY, 1, relayed(Flux.just(Unpooled.wrappedBuffer(content))))
        .subscribe(ignored -> {}, error -> {});
    CallerResponse.Relayed response = (CallerResponse.Relayed) expected.block();
    assertThat(dispatcher.outgoingResponses()).isEqualTo(1);
    assertThat(join(response.body()).block()).isEqualTo(content);
    // The end may be received before the dispatcher has removed the response.
    while (dispatcher.outgoingResponses() > 0) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
  }

  /** Guards against a failed target response that appears complete to the entry instance. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void abortsResponseWhenBodyFails(boolean afterParts) {
    Flux<ByteBuf> parts = afterParts ? split(content(1, 1000), 100) : Flux.empty();
    Mono<CallerResponse> expected = entry.expect(DISPATCHER, 1);
    dispatcher
        .send(ENTRY, 1, relayed(Flux.concat(parts, Flux.error(new IOException("broken")))))
        .subscribe(ignored -> {}, error -> {});
    CallerResponse.Relayed response = (CallerResponse.Relayed) expected.block();
    assertThatThrownBy(() -> join(response.body()).block()).hasMessageContaining("broken");
  }

  /** Guards against losing the outcome of an error response between dispatcher and caller. */
  @ParameterizedTest
  @CsvSource({"OVERLOADED,NOT_RUN,700", "TARGET_FAILED,UNKNOWN,0", "IDENTITY_ALREADY_RUN,RUN,0"})
  void relaysErrorResponse(ErrorKind kind, Outcome outcome, long retryMillis) {
    CallerResponse.Error error = new CallerResponse.Error(kind, outcome, "why", retryMillis);
    Mono<CallerResponse> expected = entry.expect(DISPATCHER, 1);
    dispatcher.send(ENTRY, 1, error).subscribe();
    assertThat(expected.block()).isEqualTo(error);
  }

  /** Guards against callers that wait forever after the connection to the dispatcher is lost. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void disconnectEndsResponse(boolean afterHead) throws Exception {
    CompletableFuture<Void> cancelled = new CompletableFuture<>();
    Mono<CallerResponse> expected = entry.expect(DISPATCHER, 1);
    CallerResponse.Relayed response = null;
    if (afterHead) {
      dispatcher
          .send(ENTRY, 1, relayed(Flux.<ByteBuf>never().doOnCancel(() -> cancelled.complete(null))))
          .subscribe(ignored -> {}, error -> {});
      response = (CallerResponse.Relayed) expected.block();
    }
    entry.disconnected(DISPATCHER);
    if (afterHead) {
      Mono<byte[]> body = join(response.body());
      assertThatThrownBy(body::block).hasMessageContaining("was lost");
      dispatcher.disconnected(ENTRY);
      cancelled.get();
    } else {
      CallerResponse.Error error = (CallerResponse.Error) expected.block();
      assertThat(error.outcome()).isEqualTo(Outcome.UNKNOWN);
    }
  }

  /** Guards against reading a target response for a disconnected caller. */
  @Test
  void cancelStopsBodySource() throws Exception {
    CompletableFuture<Void> cancelled = new CompletableFuture<>();
    Mono<CallerResponse> expected = entry.expect(DISPATCHER, 1);
    dispatcher
        .send(ENTRY, 1, relayed(Flux.<ByteBuf>never().doOnCancel(() -> cancelled.complete(null))))
        .subscribe(ignored -> {}, error -> {});
    ((CallerResponse.Relayed) expected.block()).body().subscribe().dispose();
    cancelled.get();
  }

  /** Guards against responses without progress that occupy memory and a target's slot. */
  @Test
  void endsIdleResponse() throws Exception {
    entry.close();
    dispatcher.close();
    entry = ResponseRelay.of(entryLink, 50);
    dispatcher = ResponseRelay.of(dispatcherLink, 60_000);
    Mono<CallerResponse> expected = entry.expect(DISPATCHER, 1);
    dispatcher.send(ENTRY, 1, relayed(Flux.never())).subscribe(ignored -> {}, error -> {});
    CallerResponse.Relayed response = (CallerResponse.Relayed) expected.block();
    assertThatThrownBy(() -> join(response.body()).block()).hasMessageContaining("no progress");
    assertThat(cancelsAtDispatcher.poll(10, TimeUnit.SECONDS)).isEqualTo(FrameKind.CANCEL);
  }

  private void connect(long idleTimeoutMillis) {
    entry = ResponseRelay.of(entryLink, idleTimeoutMillis);
    dispatcher = ResponseRelay.of(dispatcherLink, idleTimeoutMillis);
    Address entryAddress = entryLink.start(listener(true));
    Address dispatcherAddress = dispatcherLink.start(listener(false));
    entryLink.replacePeers(Map.of(DISPATCHER, dispatcherAddress));
    dispatcherLink.replacePeers(Map.of(ENTRY, entryAddress));
  }

  private LinkListener listener(boolean atEntry) {
    return new LinkListener() {
      @Override
      public void received(InstanceId from, String session, Frame frame) {
        if (frame.kind() == FrameKind.CANCEL) {
          cancelsAtDispatcher.add(frame.kind());
          dispatcher.cancel(from, 1);
        }
        (atEntry ? entry : dispatcher).received(from, frame);
      }

      @Override
      public void disconnected(InstanceId peer, LinkChannel channel) {
        (atEntry ? entry : dispatcher).disconnected(peer);
      }
    };
  }

  private static LinkTransport link(InstanceId id) {
    return LinkTransport.of(LinkSettings.of("c", id, "s-" + id, "127.0.0.1", 0, "key".getBytes()));
  }

  private static CallerResponse.Relayed relayed(Flux<ByteBuf> body) {
    return new CallerResponse.Relayed(TARGET, 200, List.of(new Header("A", "1")), body);
  }

  private static byte[] content(int seed, int bytes) {
    byte[] content = new byte[bytes];
    new Random(seed).nextBytes(content);
    return content;
  }

  private static Flux<ByteBuf> split(byte[] content, int partBytes) {
    int parts = (content.length + partBytes - 1) / partBytes;
    return Flux.range(0, parts)
        .map(
            i -> {
              int start = i * partBytes;
              int length = Math.min(partBytes, content.length - start);
              return Unpooled.wrappedBuffer(content, start, length).retainedDuplicate();
            });
  }

  private static Mono<byte[]> join(Flux<ByteBuf> body) {
    return body.reduceWith(ByteArrayOutputStream::new, ResponseRelayTest::append)
        .map(ByteArrayOutputStream::toByteArray);
  }

  private static ByteArrayOutputStream append(ByteArrayOutputStream out, ByteBuf part) {
    byte[] bytes = new byte[part.readableBytes()];
    part.readBytes(bytes);
    part.release();
    out.writeBytes(bytes);
    return out;
  }
}
