package io.coltsfootwheel.daemon;

/**
 * State of an instance for its readiness endpoint and its metrics.
 *
 * @param ready true while it may dispatch and admit requests
 * @param leased true while its lease holds
 * @param leading true while it is the control leader
 * @param term consensus term, 0 on an instance without a disk
 */
record InstanceReading(boolean ready, boolean leased, boolean leading, long term) {
  static final InstanceReading NONE = new InstanceReading(false, false, false, 0);
}
