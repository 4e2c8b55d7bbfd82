package io.coltsfootwheel.relay;

import io.coltsfootwheel.listener.HeadMemory;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ByteProcessor;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Decodes the requests of a client, and tells whether the head of one was received in part and what
 * memory it uses.
 */
final class ClientRequestDecoder extends HttpRequestDecoder {
  /** Memory of the objects that hold a request without fields until it is answered. */
  private static final int REQUEST_OVERHEAD_BYTES = 2 * 1024;

  private final LineCounter lineCounter = new LineCounter();

  /** Whether a request line was decoded and the end of its head was not. */
  private boolean requestLineDecoded;

  private BooleanSupplier isSuspended = () -> false;
  private boolean insideBody;
  private int emptyLineBytes;

  /** Bytes and lines of a head, or of trailing fields, that is decoded in part. */
  private long partialBytes;

  private long partialLines;
  private long headBytes;

  ClientRequestDecoder(HttpDecoderConfig config) {
    super(config);
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
    return super.createMessage(requestLine);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (isSuspended.getAsBoolean()) {
      return;
    }
    int start = buffer.readerIndex();
    super.decode(context, buffer, out);
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
