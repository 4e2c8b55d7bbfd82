package io.coltsfootwheel.simulation;

/** State machine that a simulated member drives. */
public interface SimulatedStateMachine {
  void apply(long index, byte[] command);

  byte[] snapshot();

  void restore(long index, byte[] bytes);

  long appliedIndex();

  /** Returns a hash of everything applied so far. */
  long hash();
}
