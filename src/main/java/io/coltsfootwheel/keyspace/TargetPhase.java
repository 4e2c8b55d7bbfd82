package io.coltsfootwheel.keyspace;

/** What a target says about its own life. */
public enum TargetPhase {
  /** Takes requests and keys. */
  READY,
  /** Gives its keys away and takes no requests after the drain time. */
  DRAINING,
  /** Has said that it leaves; it reports nothing more. */
  LEFT
}
