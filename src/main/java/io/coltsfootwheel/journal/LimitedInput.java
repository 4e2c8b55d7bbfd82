package io.coltsfootwheel.journal;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/** Part of a stream that ends after a number of bytes. */
final class LimitedInput extends FilterInputStream {
  private int leftBytes;

  LimitedInput(InputStream input, int lengthBytes) {
    super(input);
    this.leftBytes = lengthBytes;
  }

  @Override
  public int read() throws IOException {
    if (leftBytes == 0) {
      return -1;
    }
    int value = in.read();
    leftBytes -= value < 0 ? 0 : 1;
    return value;
  }

  @Override
  public int read(byte[] bytes, int offset, int length) throws IOException {
    if (leftBytes == 0) {
      return -1;
    }
    int read = in.read(bytes, offset, Math.min(length, leftBytes));
    leftBytes -= Math.max(0, read);
    return read;
  }

  @Override
  public long skip(long bytes) throws IOException {
    long skipped = in.skip(Math.min(bytes, leftBytes));
    leftBytes -= (int) skipped;
    return skipped;
  }

  @Override
  public int available() throws IOException {
    return Math.min(in.available(), leftBytes);
  }

  @Override
  public boolean markSupported() {
    return false;
  }
}
