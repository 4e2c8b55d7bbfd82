package io.coltsfootwheel.dispatch;

import net.openhft.hashing.LongHashFunction;

/** Maps keys to hash slots. */
public final class HashSlots {
  private static final LongHashFunction XX64 = LongHashFunction.xx();

  private HashSlots() {}

  /**
   * Returns the hash slot of a key: its XX64 hash with seed 0, taken as an unsigned number, modulo
   * the number of hash slots.
   *
   * @param key bytes of the key
   * @param hashSlots number of hash slots of the service, above 0
   * @return 0 to {@code hashSlots - 1}
   */
  public static int of(byte[] key, int hashSlots) {
    return (int) Long.remainderUnsigned(XX64.hashBytes(key), hashSlots);
  }
}
