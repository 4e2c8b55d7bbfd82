package io.coltsfootwheel.keyspace;

/** Phase of a target process, as the target reports it. */
public enum TargetPhase {
  /** Accepts requests and keys. */
  READY,
  /** Releases its keys; accepts no requests after the drain time. */
  DRAINING,
  /** Has announced that it leaves; sends no further reports. */
  LEFT
}
