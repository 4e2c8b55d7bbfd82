package io.coltsfootwheel.edge;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * Buffer that reports its release, so that flow-control credit is returned when the bytes have been
 * written to the socket and not already when a reactive operator has queued them.
 */
final class CreditedBuffer extends UnpooledHeapByteBuf {
  private final int creditBytes;
  private final IncomingResponse response;

  CreditedBuffer(byte[] bytes, IncomingResponse response) {
    super(UnpooledByteBufAllocator.DEFAULT, bytes, bytes.length);
    this.creditBytes = bytes.length;
    this.response = response;
  }

  @Override
  protected void deallocate() {
    super.deallocate();
    response.onBytesReleased(creditBytes);
  }
}
