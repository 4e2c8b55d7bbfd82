package io.coltsfootwheel.daemon;

/**
 * State of an instance that its readiness endpoint and its metrics show.
 *
 * @param ready true while it may dispatch and admit requests
 * @param leased true while its lease is valid
 * @param leading true while it is the control leader
 * @param term consensus term, 0 on an instance without a disk
 */
record InstanceHealth(boolean ready, boolean leased, boolean leading, long term) {
  static final InstanceHealth NONE = new InstanceHealth(false, false, false, 0);
}
