package io.coltsfootwheel.listener;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * Passes the received bytes of a connection on to its HTTP decoder, one request at a time: what a
 * client sends ahead is neither decoded nor read before the response is written. Placed before the
 * decoder.
 */
final class RequestGate extends ChannelDuplexHandler {
  private final Channel channel;
  private final ArrayDeque<ByteBuf> held = new ArrayDeque<>();
  private RequestTracker tracker;
  private ChannelHandlerContext channelContext;
  private int heldCapacityBytes;
  private int lastCapacityBytes;
  private int emptyLineBytes;
  private boolean isInsideHead;
  private boolean isLineEmpty;
  private boolean isContentDecoded;

  /** Memory of the head or the trailing fields that are decoded in part. */
  private long partialFieldBytes;

  /** Memory of the decoded head of the request that is not answered. */
  private long headBytes;

  private boolean stopped;
  private boolean passing;
  private boolean isReadPostponed;
  private boolean isAutoReadPostponed;

  RequestGate(Channel channel) {
    this.channel = channel;
  }

  /** Sets the handler that decides when input may pass; must be called before any input. */
  void track(RequestTracker requestTracker) {
    tracker = requestTracker;
  }

  /** Returns whether the head of a request was received in part. */
  boolean hasPartialHead() {
    return isInsideHead;
  }

  /** Returns whether input was received behind a request that is not answered. */
  boolean hasHeldBytes() {
    return !held.isEmpty();
  }

  /** Returns the memory of what was received and is no message yet. */
  long usedBytes() {
    boolean isPartial = isInsideHead || tracker.isInsideBody();
    return heldCapacityBytes + headBytes + partialFieldBytes + (isPartial ? lastCapacityBytes : 0);
  }

  /** Records that the head of a request was decoded. */
  void headDecoded() {
    isInsideHead = false;
    emptyLineBytes = 0;
    headBytes = partialFieldBytes;
    partialFieldBytes = 0;
  }

  /** Records that a part of a body was decoded. */
  void contentDecoded() {
    isContentDecoded = true;
  }

  /** Stops counting the head of a request that is answered. */
  void releaseHead() {
    headBytes = 0;
    partialFieldBytes = 0;
  }

  /** Passes held bytes on because a response was written. */
  void resume() {
    pass(true);
  }

  /** Drops held and later bytes, and reads no more. */
  void stop() {
    stopped = true;
    releaseHeldBytes();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channelContext = context;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (stopped || !(message instanceof ByteBuf bytes)) {
      ReferenceCountUtil.release(message);
      return;
    }
    held.add(bytes);
    heldCapacityBytes += bytes.capacity();
    pass(false);
  }

  /** Passes parts on; outside of a read, each of them completes one, after which writes follow. */
  private void pass(boolean completesRead) {
    if (passing) {
      return;
    }
    passing = true;
    try {
      while (!stopped && !held.isEmpty() && tracker.acceptsInput()) {
        passPart(held.peekFirst());
        if (completesRead) {
          channelContext.fireChannelReadComplete();
        }
      }
    } finally {
      passing = false;
    }
    updateReading();
    tracker.inputChanged();
  }

  private void passPart(ByteBuf first) {
    int partBytes = tracker.isInsideBody() ? scanBody(first) : scanHead(first);
    if (stopped) {
      return;
    }
    if (partBytes < first.readableBytes()) {
      channelContext.fireChannelRead(first.readRetainedSlice(partBytes));
    } else {
      held.removeFirst();
      heldCapacityBytes -= first.capacity();
      lastCapacityBytes = first.capacity();
      channelContext.fireChannelRead(first);
    }
  }

  private int scanHead(ByteBuf bytes) {
    if (!isInsideHead) {
      skipEmptyLines(bytes);
    }
    if (stopped || !bytes.isReadable()) {
      return 0;
    }
    isInsideHead = true;
    return scanToEmptyLine(bytes);
  }

  private void skipEmptyLines(ByteBuf bytes) {
    while (bytes.isReadable() && isLineEnd(bytes.getByte(bytes.readerIndex()))) {
      bytes.skipBytes(1);
      emptyLineBytes++;
    }
    isLineEmpty = false;
    if (emptyLineBytes > HeadMemory.MAX_EMPTY_LINE_BYTES) {
      stop();
      channel.close();
    }
  }

  private static boolean isLineEnd(byte value) {
    return value == '\r' || value == '\n';
  }

  private int scanBody(ByteBuf bytes) {
    long left = tracker.bodyBytesLeft();
    if (left >= 0) {
      return (int) Math.min(left, bytes.readableBytes());
    }
    if (isContentDecoded) {
      isContentDecoded = false;
      partialFieldBytes = 0;
    }
    return scanToEmptyLine(bytes);
  }

  /** Returns the number of bytes up to the end of the next empty line, or all. */
  private int scanToEmptyLine(ByteBuf bytes) {
    int first = bytes.readerIndex();
    for (int index = first; index < bytes.writerIndex(); index++) {
      byte value = bytes.getByte(index);
      partialFieldBytes += value == '\n' ? HeadMemory.FIELD_OVERHEAD_BYTES : 1;
      if (value == '\n' && isLineEmpty) {
        isLineEmpty = false;
        return index + 1 - first;
      }
      isLineEmpty = value == '\n' || value == '\r' && isLineEmpty;
    }
    return bytes.readableBytes();
  }

  private void updateReading() {
    if (!held.isEmpty()) {
      isAutoReadPostponed |= channel.config().isAutoRead();
      channel.config().setAutoRead(false);
      return;
    }
    if (isAutoReadPostponed && !stopped) {
      isAutoReadPostponed = false;
      channel.config().setAutoRead(true);
    }
    if (isReadPostponed && !stopped) {
      isReadPostponed = false;
      channelContext.read();
    }
  }

  /** Later handlers ask for more input when they lack some, also while a part of it is held. */
  @Override
  public void read(ChannelHandlerContext context) {
    if (held.isEmpty() && !stopped) {
      context.read();
    } else {
      isReadPostponed = true;
    }
  }

  private void releaseHeldBytes() {
    held.forEach(ByteBuf::release);
    held.clear();
    heldCapacityBytes = 0;
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    stop();
  }
}
