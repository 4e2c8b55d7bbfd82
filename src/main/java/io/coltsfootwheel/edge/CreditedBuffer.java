package io.coltsfootwheel.edge;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * Buffer that reports its release, so that credit is returned only when the socket has taken the
 * bytes and not when an operator in between has queued them.
 */
final class CreditedBuffer extends UnpooledHeapByteBuf {
  private final int creditBytes;
  private final Incoming incoming;

  CreditedBuffer(byte[] bytes, Incoming incoming) {
    super(UnpooledByteBufAllocator.DEFAULT, bytes, bytes.length);
    this.creditBytes = bytes.length;
    this.incoming = incoming;
  }

  @Override
  protected void deallocate() {
    super.deallocate();
    incoming.released(creditBytes);
  }
}
