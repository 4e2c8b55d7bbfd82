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
  private static final long IDLE_MILLIS = 20_000;

  private final LinkTransport entryLink = link(ENTRY);
  private final LinkTransport dispatcherLink = link(DISPATCHER);
  private final BlockingQueue<FrameKind> atDispatcher = new LinkedBlockingQueue<>();
  private ResponseRelay entry;
  private ResponseRelay dispatcher;

  @BeforeEach
  void start() {
    connect(IDLE_MILLIS);
  }

  @AfterEach
  void close() {
    entry.close();
    dispatcher.close();
    entryLink.close();
    dispatcherLink.close();
  }

  /** Guards against bytes lost, repeated or mixed between responses under way together. */
  @ParameterizedTest
  @CsvSource({"1,0,1", "1,5,1", "20,300000,7", "4,5000000,1000000", "4,2000000,1000"})
  void relaysCompleteBodies(int responses, int bytes, int partBytes) throws Exception {
    List<CompletableFuture<byte[]>> results = new java.util.ArrayList<>();
    for (int i = 0; i < responses; i++) {
      byte[] content = content(i, bytes);
      Mono<CallerResponse> expected = entry.expect(DISPATCHER, i);
      dispatcher.send(ENTRY, i, relayed(split(content, partBytes))).subscribe();
      results.add(expected.flatMap(r -> join(((CallerResponse.Relayed) r).body())).toFuture());
    }
    for (int i = 0; i < responses; i++) {
      assertThat(results.get(i).get()).isEqualTo(content(i, bytes));
    }
  }

  /** Guards against the memory of entry or dispatcher growing while a caller does not read. */
  @Test
  void creditBoundsSource() throws Exception {
    AtomicInteger produced = new AtomicInteger();
    int part = 16 * 1024;
    Flux<ByteBuf> body =
        Flux.range(0, 1000)
            .map(
                i -> {
                  produced.incrementAndGet();
                  return Unpooled.wrappedBuffer(new byte[part]);
                });
    Mono<CallerResponse> expected = entry.expect(DISPATCHER, 1);
    dispatcher.send(ENTRY, 1, relayed(body)).subscribe(v -> {}, e -> {});
    CallerResponse.Relayed response = (CallerResponse.Relayed) expected.block();
    BlockingQueue<ByteBuf> unread = new LinkedBlockingQueue<>();
    CompletableFuture<Void> done = new CompletableFuture<>();
    response.body().subscribe(unread::add, done::completeExceptionally, () -> done.complete(null));
    int read = 0;
    while (read < 1000 * part) {
      int ahead = produced.get() * part - read;
      assertThat(ahead).isLessThanOrEqualTo(LinkResponseRelay.CREDIT_WINDOW_BYTES + 2 * part);
      ByteBuf next = unread.poll(10, TimeUnit.SECONDS);
      assertThat(next).isNotNull();
      read += next.readableBytes();
      next.release();
    }
    done.get();
  }

  /** Guards against a broken target response that the entry takes for a complete one. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void abortsBrokenBody(boolean afterParts) {
    Flux<ByteBuf> parts = afterParts ? split(content(1, 1000), 100) : Flux.empty();
    Mono<CallerResponse> expected = entry.expect(DISPATCHER, 1);
    dispatcher
        .send(ENTRY, 1, relayed(Flux.concat(parts, Flux.error(new IOException("broken")))))
        .subscribe(v -> {}, e -> {});
    CallerResponse.Relayed response = (CallerResponse.Relayed) expected.block();
    assertThatThrownBy(() -> join(response.body()).block()).hasMessageContaining("broken");
  }

  /** Guards against an error response losing its outcome on the way to the caller. */
  @ParameterizedTest
  @CsvSource({"OVERLOADED,NOT_RUN,700", "TARGET_FAILED,UNKNOWN,0", "IDENTITY_ALREADY_RUN,RUN,0"})
  void relaysErrors(ErrorKind kind, Outcome outcome, long retryMillis) {
    CallerResponse.Error error = new CallerResponse.Error(kind, outcome, "why", retryMillis);
    Mono<CallerResponse> expected = entry.expect(DISPATCHER, 1);
    dispatcher.send(ENTRY, 1, error).subscribe();
    assertThat(expected.block()).isEqualTo(error);
  }

  /** Guards against callers that wait for ever after the dispatcher was lost. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void lossEndsResponse(boolean afterHead) throws Exception {
    CompletableFuture<Void> cancelled = new CompletableFuture<>();
    Mono<CallerResponse> expected = entry.expect(DISPATCHER, 1);
    CallerResponse.Relayed response = null;
    if (afterHead) {
      dispatcher
          .send(ENTRY, 1, relayed(Flux.<ByteBuf>never().doOnCancel(() -> cancelled.complete(null))))
          .subscribe(v -> {}, e -> {});
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

  /** Guards against a target that goes on for a caller who has gone. */
  @Test
  void cancelStopsSource() throws Exception {
    CompletableFuture<Void> cancelled = new CompletableFuture<>();
    Mono<CallerResponse> expected = entry.expect(DISPATCHER, 1);
    dispatcher
        .send(ENTRY, 1, relayed(Flux.<ByteBuf>never().doOnCancel(() -> cancelled.complete(null))))
        .subscribe(v -> {}, e -> {});
    ((CallerResponse.Relayed) expected.block()).body().subscribe().dispose();
    cancelled.get();
  }

  /** Guards against streams that hold memory and a target's slot without progress. */
  @Test
  void idleStreamEnds() throws Exception {
    entry.close();
    dispatcher.close();
    entry = ResponseRelay.of(entryLink, 50);
    dispatcher = ResponseRelay.of(dispatcherLink, 60_000);
    Mono<CallerResponse> expected = entry.expect(DISPATCHER, 1);
    dispatcher.send(ENTRY, 1, relayed(Flux.never())).subscribe(v -> {}, e -> {});
    CallerResponse.Relayed response = (CallerResponse.Relayed) expected.block();
    assertThatThrownBy(() -> join(response.body()).block()).hasMessageContaining("no progress");
    assertThat(atDispatcher.poll(10, TimeUnit.SECONDS)).isEqualTo(FrameKind.CANCEL);
  }

  private void connect(long idleMillis) {
    entry = ResponseRelay.of(entryLink, idleMillis);
    dispatcher = ResponseRelay.of(dispatcherLink, idleMillis);
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
          atDispatcher.add(frame.kind());
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
