package io.coltsfootwheel.relay;

import io.netty.buffer.ByteBuf;
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

  private final BooleanSupplier isInsideBody;
  private final ArrayDeque<ByteBuf> held = new ArrayDeque<>();
  private ChannelHandlerContext channelContext;
  private int heldBytes;
  private boolean suspended;
  private boolean stopped;
  private boolean passing;

  /**
   * Creates a gate.
   *
   * @param isInsideBody whether the bytes that follow belong to a body; they are not divided,
   *     because each part of a body costs memory
   */
  InputGate(BooleanSupplier isInsideBody) {
    this.isInsideBody = isInsideBody;
  }

  /** Returns whether bytes were received that are not passed on yet. */
  boolean hasHeldBytes() {
    return heldBytes > 0;
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
    int heldBefore = heldBytes;
    passHeldBytes();
    updateReading();
    return heldBytes < heldBefore;
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
    held.add(bytes);
    heldBytes += bytes.readableBytes();
    passHeldBytes();
    updateReading();
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
    return held.removeFirst();
  }

  private void updateReading() {
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
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    stopped = true;
    releaseHeldBytes();
  }
}
