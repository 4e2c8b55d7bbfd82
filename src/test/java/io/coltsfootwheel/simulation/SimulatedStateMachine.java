package io.coltsfootwheel.simulation;

/** State machine to which a simulated member applies committed entries. */
public interface SimulatedStateMachine {
  void apply(long index, byte[] command);

  byte[] snapshot();

  void restore(long index, byte[] bytes);

  long appliedIndex();

  /** Returns a hash over all entries applied so far. */
  long hash();
}
