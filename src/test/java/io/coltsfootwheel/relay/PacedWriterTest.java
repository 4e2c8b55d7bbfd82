package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.loadcontrol.TransferPacer;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Writes requests with bodies to channels in frozen time. */
class PacedWriterTest {
  private static final long LINK_BYTES_PER_SECOND = 312_500;
  private static final int BODY_BYTES = 60_000;

  private final EmbeddedChannel first = channel();
  private final EmbeddedChannel second = channel();
  private final TransferPacer pacer = TransferPacer.ofLink(LINK_BYTES_PER_SECOND);
  private final PacedWriter writer = new PacedWriter(pacer, first.eventLoop());

  private static EmbeddedChannel channel() {
    return new EmbeddedChannel(new HttpRequestEncoder());
  }

  @BeforeEach
  void freezeTime() {
    first.freezeTime();
  }

  @AfterEach
  void closeChannels() {
    first.finishAndReleaseAll();
    second.finishAndReleaseAll();
  }

  private void advanceMillis(long millis) {
    for (long i = 0; i < millis; i++) {
      first.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      first.runScheduledPendingTasks();
    }
  }

  private static FullHttpRequest request(byte[] body) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.wrappedBuffer(body));
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    return request;
  }

  private static byte[] body(int bytes) {
    byte[] body = new byte[bytes];
    new Random(1).nextBytes(body);
    return body;
  }

  /** Returns what was written, without the head of the request. */
  private static byte[] writtenBody(EmbeddedChannel channel, int bytes) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      byte[] copy = new byte[part.readableBytes()];
      part.readBytes(copy);
      all.writeBytes(copy);
      part.release();
    }
    byte[] written = all.toByteArray();
    return Arrays.copyOfRange(written, written.length - bytes, written.length);
  }

  private static int writtenBytes(EmbeddedChannel channel) {
    return channel.outboundMessages().stream()
        .mapToInt(message -> ((ByteBuf) message).readableBytes())
        .sum();
  }

  /** Guards against bodies that reach the target changed, in part, or faster than the link. */
  @ParameterizedTest
  @ValueSource(ints = {100, 16_384, BODY_BYTES, 360_000})
  void bodyIsWrittenWholeAtTheRateOfTheLink(int bytes) {
    byte[] body = body(bytes);
    ChannelFuture written = writer.write(first, request(body));
    int millis = 0;
    while (!written.isDone()) {
      advanceMillis(1);
      millis++;
      assertThat(writtenBytes(first))
          .isLessThan((int) (LINK_BYTES_PER_SECOND * millis / 1_000) + 2 * pacer.partBytes());
    }
    assertThat(written.isSuccess()).isTrue();
    assertThat(writtenBody(first, bytes)).isEqualTo(body);
    assertThat(pacer.waitingBytes()).isZero();
  }

  /** Guards against a target that reads slowly and holds up the requests to others. */
  @Test
  void targetThatReadsSlowlyDelaysNoOther() {
    ChannelFuture slow = writer.write(first, request(body(BODY_BYTES)));
    first.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
    ChannelFuture other = writer.write(second, request(body(BODY_BYTES)));
    advanceMillis(300);
    assertThat(other.isSuccess()).isTrue();
    assertThat(slow.isDone()).isFalse();
    first.unsafe().outboundBuffer().setUserDefinedWritability(1, true);
    advanceMillis(300);
    assertThat(slow.isSuccess()).isTrue();
  }

  /** Guards against bodies that stay in memory, and in the queue, when their connection is lost. */
  @Test
  void bodyOfAClosedConnectionIsReleased() {
    FullHttpRequest request = request(body(BODY_BYTES));
    ChannelFuture lost = writer.write(second, request);
    ChannelFuture other = writer.write(first, request(body(BODY_BYTES)));
    second.close();
    second.releaseOutbound();
    advanceMillis(300);
    assertThat(lost.isDone()).isTrue();
    assertThat(lost.isSuccess()).isFalse();
    assertThat(request.refCnt()).isZero();
    assertThat(other.isSuccess()).isTrue();
    assertThat(pacer.waitingBytes()).isZero();
  }
}
