package io.coltsfootwheel.deployment;

/**
 * Time in which the run kept a machine from running: from before the signal until after the restart
 * or the end of a pause. A reload is no outage.
 *
 * @param machine name of the machine
 * @param isCore whether the machine is one of the core
 * @param cause what the run did
 * @param beginMillis begin
 * @param endMillis end, or {@link Long#MAX_VALUE} while it lasts
 */
record Outage(String machine, boolean isCore, String cause, long beginMillis, long endMillis) {
  boolean intersects(long fromMillis, long toMillis) {
    return beginMillis <= toMillis && endMillis >= fromMillis;
  }

  boolean hasEndpointIn(long fromMillis, long toMillis) {
    return isBetween(beginMillis, fromMillis, toMillis)
        || isBetween(endMillis, fromMillis, toMillis);
  }

  private static boolean isBetween(long time, long fromMillis, long toMillis) {
    return fromMillis <= time && time <= toMillis;
  }
}
