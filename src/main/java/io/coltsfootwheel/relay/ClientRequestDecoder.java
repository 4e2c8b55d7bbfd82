package io.coltsfootwheel.relay;

import io.coltsfootwheel.listener.HeadMemory;
import io.coltsfootwheel.routing.ClientLimits;
import io.coltsfootwheel.routing.RouteTable;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ByteProcessor;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Decodes the requests of a client, and tells whether the head of one was received in part and what
 * memory it uses. A request belongs to the version of the configuration that is in force when the
 * first byte of its head is decoded; the limits of that version apply to it.
 */
final class ClientRequestDecoder extends HttpRequestDecoder {
  /** Memory of the objects that hold a request without fields until it is answered. */
  private static final int REQUEST_OVERHEAD_BYTES = 2 * 1024;

  private static final int LINE_END_BYTES = 2;

  private final Supplier<RouteTable> newestRoutes;
  private final LineCounter lineCounter = new LineCounter();
  private final HeadSize headSize = new HeadSize();

  /** Version of the request that is decoded, or was decoded last. */
  private RouteTable routes;

  /** Whether the first byte of a head was decoded and its end was not. */
  private boolean headBegun;

  /** Whether a request line was decoded and the end of its head was not. */
  private boolean requestLineDecoded;

  private BooleanSupplier isSuspended = () -> false;
  private boolean insideBody;
  private int emptyLineBytes;

  /** Bytes and lines of a head, or of trailing fields, that is decoded in part. */
  private long partialBytes;

  private long partialLines;
  private long headBytes;

  /** Whether fields were larger than their version allows; nothing behind them is decoded. */
  private boolean fieldsTooLarge;

  /**
   * Creates a decoder.
   *
   * @param config its configuration, which allows heads as large as any version does
   * @param newestRoutes returns the version that is in force
   */
  ClientRequestDecoder(HttpDecoderConfig config, Supplier<RouteTable> newestRoutes) {
    super(config);
    this.newestRoutes = newestRoutes;
    this.routes = newestRoutes.get();
  }

  /** Returns the version of the request that is decoded, or was decoded last. */
  RouteTable routes() {
    return routes;
  }

  /** Returns the limits on the request that is decoded, or was decoded last. */
  ClientLimits limits() {
    return routes.limits();
  }

  /** Sets whether no further request may be decoded for now, also of the bytes in this decoder. */
  void suspendWhile(BooleanSupplier condition) {
    isSuspended = condition;
  }

  /** Returns the bytes that were received and not decoded. */
  int undecodedBytes() {
    return actualReadableBytes();
  }

  /** Returns whether bytes were received behind the last decoded head or body. */
  boolean hasPartialHead() {
    return requestLineDecoded || actualReadableBytes() > 0;
  }

  /** Returns whether the head of a request was received in part. */
  boolean isInsideHead() {
    return !insideBody && hasPartialHead();
  }

  /** Returns the memory of the head that was decoded last. */
  long headBytes() {
    return headBytes;
  }

  /** Returns the memory of what was received of an incomplete request, apart from its body. */
  long usedBytes() {
    long undecodedBytes = actualReadableBytes() > 0 ? internalBuffer().capacity() : 0;
    return undecodedBytes
        + partialBytes
        + partialLines * HeadMemory.FIELD_OVERHEAD_BYTES
        + (insideBody ? headBytes : 0);
  }

  @Override
  protected HttpMessage createMessage(String[] requestLine) throws Exception {
    requestLineDecoded = true;
    headSize.begin(internalBuffer().readerIndex());
    return super.createMessage(requestLine);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (isSuspended.getAsBoolean()) {
      return;
    }
    if (fieldsTooLarge) {
      buffer.skipBytes(buffer.readableBytes());
      return;
    }
    if (!headBegun && !insideBody) {
      routes = newestRoutes.get();
    }
    int start = buffer.readerIndex();
    headSize.resume(start);
    super.decode(context, buffer, out);
    if (headSize.isCounting() && isHeadTooLarge(buffer, out)) {
      reject(buffer, out, createInvalidMessage());
      return;
    }
    if (insideBody && areTrailersTooLarge(buffer, start, out)) {
      reject(buffer, out, new DefaultLastHttpContent());
      return;
    }
    int decodedBytes = buffer.readerIndex() - start;
    if (!out.isEmpty()) {
      countMessages(out, decodedBytes);
    } else if (requestLineDecoded || insideBody) {
      partialBytes += decodedBytes;
      partialLines += lineCounter.count(buffer, start, decodedBytes);
    } else {
      countEmptyLines(decodedBytes);
    }
    // Nothing is passed on between a request line and the end of its head.
    requestLineDecoded &= out.isEmpty();
    headBegun = out.isEmpty() && !insideBody && (requestLineDecoded || buffer.isReadable());
  }

  private boolean isHeadTooLarge(ByteBuf buffer, List<Object> out) {
    boolean isComplete = !out.isEmpty();
    boolean isMalformed = isComplete && ((HttpMessage) out.get(0)).decoderResult().isFailure();
    long fieldBytes = headSize.add(buffer, isComplete);
    long undecodedBytes = isComplete ? 0 : buffer.readableBytes();
    return !isMalformed && fieldBytes + undecodedBytes > limits().maxHeaderBytes();
  }

  /** Tells the same of the fields behind a body in chunks, which the limit on heads bounds too. */
  private boolean areTrailersTooLarge(ByteBuf buffer, int start, List<Object> out) {
    if (out.isEmpty()) {
      int decodedBytes = buffer.readerIndex() - start;
      long lines = partialLines + lineCounter.count(buffer, start, decodedBytes);
      long bytes = partialBytes + decodedBytes + buffer.readableBytes();
      return bytes - LINE_END_BYTES * lines > limits().maxHeaderBytes();
    }
    return out.get(out.size() - 1) instanceof LastHttpContent last
        && !last.trailingHeaders().isEmpty()
        && bytesOf(last.trailingHeaders()) > limits().maxHeaderBytes();
  }

  private static long bytesOf(HttpHeaders fields) {
    return fields.entries().stream()
        .mapToLong(f -> f.getKey().length() + f.getValue().length())
        .sum();
  }

  /** Passes on what the base class passes on for fields that are too large for it. */
  private void reject(ByteBuf buffer, List<Object> out, HttpObject invalid) {
    fieldsTooLarge = true;
    requestLineDecoded = false;
    headBegun = false;
    insideBody = false;
    partialBytes = 0;
    partialLines = 0;
    buffer.skipBytes(buffer.readableBytes());
    out.forEach(ReferenceCountUtil::release);
    out.clear();
    invalid.setDecoderResult(
        DecoderResult.failure(
            new TooLongHttpHeaderException(
                "the fields have more than " + limits().maxHeaderBytes() + " bytes")));
    out.add(invalid);
  }

  private void countMessages(List<Object> messages, int decodedBytes) {
    if (messages.get(0) instanceof HttpRequest request) {
      int fieldCount = request.headers().size();
      headBytes =
          REQUEST_OVERHEAD_BYTES
              + partialBytes
              + decodedBytes
              + (long) fieldCount * HeadMemory.FIELD_OVERHEAD_BYTES;
    }
    insideBody = !(messages.get(messages.size() - 1) instanceof LastHttpContent);
    partialBytes = 0;
    partialLines = 0;
    emptyLineBytes = 0;
  }

  private void countEmptyLines(int bytes) {
    emptyLineBytes += bytes;
    if (emptyLineBytes > HeadMemory.MAX_EMPTY_LINE_BYTES) {
      throw new TooLongHttpLineException("empty lines before a request");
    }
  }

  /** Counts the ends of lines. */
  private static final class LineCounter implements ByteProcessor {
    private int lines;

    int count(ByteBuf buffer, int start, int length) {
      lines = 0;
      buffer.forEachByte(start, length, this);
      return lines;
    }

    @Override
    public boolean process(byte value) {
      lines += value == '\n' ? 1 : 0;
      return true;
    }
  }
}
