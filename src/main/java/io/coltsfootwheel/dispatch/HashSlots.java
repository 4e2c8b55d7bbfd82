package io.coltsfootwheel.dispatch;

import net.openhft.hashing.LongHashFunction;

/** Maps keys to hash slots. */
public final class HashSlots {
  private static final LongHashFunction XX64 = LongHashFunction.xx();

  private HashSlots() {}

  /**
   * Returns the hash slot of a key: XX64 with seed 0, as an unsigned number, modulo the slots.
   *
   * @param key bytes of the key
   * @param hashSlots hash slots of the service, above 0
   * @return 0 to {@code hashSlots - 1}
   */
  public static int of(byte[] key, int hashSlots) {
    return (int) Long.remainderUnsigned(XX64.hashBytes(key), hashSlots);
  }
}
