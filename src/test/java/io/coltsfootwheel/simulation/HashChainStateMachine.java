package io.coltsfootwheel.simulation;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** State machine whose state is a hash over the sequence of all applied entries. */
public final class HashChainStateMachine implements SimulatedStateMachine {
  /** Larger than a snapshot chunk of the simulation, so that a transfer takes several messages. */
  private static final int SNAPSHOT_BYTES = 200;

  private long appliedIndex;
  private long hash;

  @Override
  public void apply(long index, byte[] command) {
    hash = (hash * 31 + index) * 1_000_003 + Arrays.hashCode(command);
    appliedIndex = index;
  }

  @Override
  public byte[] snapshot() {
    return ByteBuffer.allocate(SNAPSHOT_BYTES).putLong(appliedIndex).putLong(hash).array();
  }

  @Override
  public void restore(long index, byte[] bytes) {
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    appliedIndex = buffer.getLong();
    hash = buffer.getLong();
  }

  @Override
  public long appliedIndex() {
    return appliedIndex;
  }

  @Override
  public long hash() {
    return hash;
  }
}
