package io.coltsfootwheel.control;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

/**
 * Immutable sorted map in two parallel arrays.
 *
 * <p>A change copies both arrays, which costs a few microseconds at 12,000 entries and leaves the
 * values shared.
 */
final class SortedTable<K extends Comparable<K>, V> {
  private static final SortedTable<?, ?> EMPTY = new SortedTable<>(new Object[0], new Object[0]);

  private final Object[] keys;
  private final Object[] values;

  private SortedTable(Object[] keys, Object[] values) {
    this.keys = keys;
    this.values = values;
  }

  @SuppressWarnings("unchecked")
  static <K extends Comparable<K>, V> SortedTable<K, V> empty() {
    return (SortedTable<K, V>) EMPTY;
  }

  int size() {
    return keys.length;
  }

  Optional<V> get(K key) {
    return Optional.ofNullable(getOrNull(key));
  }

  /** Avoids the Optional on paths that scan all hash slots; callers stay inside the package. */
  @SuppressWarnings("unchecked")
  V getOrNull(K key) {
    int at = Arrays.binarySearch(keys, key);
    return at < 0 ? null : (V) values[at];
  }

  boolean contains(K key) {
    return Arrays.binarySearch(keys, key) >= 0;
  }

  SortedTable<K, V> with(K key, V value) {
    int at = Arrays.binarySearch(keys, key);
    if (at >= 0) {
      Object[] changed = values.clone();
      changed[at] = value;
      return new SortedTable<>(keys, changed);
    }
    int insert = -at - 1;
    return new SortedTable<>(inserted(keys, insert, key), inserted(values, insert, value));
  }

  SortedTable<K, V> without(K key) {
    int at = Arrays.binarySearch(keys, key);
    return at < 0 ? this : new SortedTable<>(removed(keys, at), removed(values, at));
  }

  @SuppressWarnings("unchecked")
  List<K> keys() {
    return (List<K>) (List<?>) Collections.unmodifiableList(Arrays.asList(keys));
  }

  @SuppressWarnings("unchecked")
  List<V> values() {
    return (List<V>) (List<?>) Collections.unmodifiableList(Arrays.asList(values));
  }

  private static Object[] inserted(Object[] array, int at, Object value) {
    Object[] result = Arrays.copyOf(array, array.length + 1);
    System.arraycopy(array, at, result, at + 1, array.length - at);
    result[at] = value;
    return result;
  }

  private static Object[] removed(Object[] array, int at) {
    Object[] result = Arrays.copyOf(array, array.length - 1);
    System.arraycopy(array, at + 1, result, at, array.length - at - 1);
    return result;
  }
}
