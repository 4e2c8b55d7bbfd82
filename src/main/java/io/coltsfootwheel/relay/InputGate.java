package io.coltsfootwheel.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;

/**
 * Passes the received bytes of a client connection on to its decoder, except while it is suspended.
 * Placed before the decoder.
 */
final class InputGate extends ChannelDuplexHandler {
  /**
   * Largest part that is passed on at once outside a body. It bounds the requests that are decoded
   * before the gate can be suspended.
   */
  private static final int PART_BYTES = 4 * 1024;

  /**
   * Bytes that are held while the gate is suspended. The socket is read up to this limit, because
   * only reading shows that the client has closed the connection.
   */
  private static final int MAX_HELD_BYTES = 16 * 1024;

  /** Memory of the object that holds one received part. */
  private static final int PART_OVERHEAD_BYTES = 256;

  private final BooleanSupplier isInsideBody;
  private final ClientInputGuard guard;
  private final ArrayDeque<ByteBuf> held = new ArrayDeque<>();
  private ChannelHandlerContext channelContext;
  private int heldBytes;
  private long heldCapacityBytes;
  private boolean suspended;
  private boolean stopped;
  private boolean passing;

  /**
   * Creates a gate.
   *
   * @param isInsideBody whether the bytes that follow belong to a body; they are not divided,
   *     because each part of a body costs memory
   * @param guard bounds what is held
   */
  InputGate(BooleanSupplier isInsideBody, ClientInputGuard guard) {
    this.isInsideBody = isInsideBody;
    this.guard = guard;
  }

  /** Returns whether bytes were received that are not passed on yet. */
  boolean hasHeldBytes() {
    return heldBytes > 0;
  }

  boolean isSuspended() {
    return suspended;
  }

  /** Suspends the gate. */
  void suspend() {
    suspended = true;
    updateReading();
  }

  /**
   * Resumes the input and passes the held bytes on.
   *
   * @return whether any bytes were passed on
   */
  boolean resume() {
    suspended = false;
    int heldBefore = heldBytes + guard.undecodedBytes();
    passUndecodedBytes();
    passHeldBytes();
    updateReading();
    return heldBytes + guard.undecodedBytes() < heldBefore;
  }

  /** Drops held and later bytes, and reads no more from the socket. */
  void stop() {
    stopped = true;
    releaseHeldBytes();
    updateReading();
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
    ByteBuf part = suspended || isInsideBody.getAsBoolean() ? compact(bytes) : bytes;
    held.add(part);
    heldBytes += part.readableBytes();
    heldCapacityBytes += part.capacity() + PART_OVERHEAD_BYTES;
    passHeldBytes();
    updateReading();
  }

  /** Lets the decoder continue with bytes that it has kept while the gate was suspended. */
  private void passUndecodedBytes() {
    if (!passing && guard.undecodedBytes() > 0) {
      passing = true;
      try {
        channelContext.fireChannelRead(Unpooled.EMPTY_BUFFER);
      } finally {
        passing = false;
      }
    }
  }

  /** Copies bytes that would keep a much larger buffer in use. */
  private ByteBuf compact(ByteBuf bytes) {
    if (2 * bytes.readableBytes() > bytes.capacity()) {
      return bytes;
    }
    ByteBuf copy = channelContext.alloc().buffer(bytes.readableBytes()).writeBytes(bytes);
    bytes.release();
    return copy;
  }

  private void passHeldBytes() {
    if (passing) {
      return;
    }
    passing = true;
    try {
      while (!suspended && !held.isEmpty()) {
        ByteBuf part = takePart(held.peekFirst());
        heldBytes -= part.readableBytes();
        channelContext.fireChannelRead(part);
      }
    } finally {
      passing = false;
    }
  }

  private ByteBuf takePart(ByteBuf first) {
    if (first.readableBytes() > PART_BYTES && !isInsideBody.getAsBoolean()) {
      return first.readRetainedSlice(PART_BYTES);
    }
    held.removeFirst();
    heldCapacityBytes -= first.capacity() + PART_OVERHEAD_BYTES;
    return first;
  }

  private void updateReading() {
    if (!passing) {
      guard.inputChanged(heldCapacityBytes, suspended);
    }
    boolean reads = !stopped && !(suspended && heldBytes >= MAX_HELD_BYTES);
    if (channelContext.channel().config().isAutoRead() != reads) {
      channelContext.channel().config().setAutoRead(reads);
    }
  }

  /** Later handlers ask for more input when they lack some, also while none may be read. */
  @Override
  public void read(ChannelHandlerContext context) {
    if (context.channel().config().isAutoRead()) {
      context.read();
    }
  }

  private void releaseHeldBytes() {
    held.forEach(ByteBuf::release);
    held.clear();
    heldBytes = 0;
    heldCapacityBytes = 0;
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    guard.close();
    stopped = true;
    releaseHeldBytes();
  }
}
