package io.coltsfootwheel.control;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

/**
 * Immutable map in the order of its keys, stored in two parallel arrays.
 *
 * <p>A change copies the arrays but not the values in them, which takes a few microseconds with
 * 12,000 entries.
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

  /**
   * Returns the value of a key, or null when there is none. Avoids the Optional of {@link #get} on
   * paths that scan all hash slots.
   */
  @SuppressWarnings("unchecked")
  V getOrNull(K key) {
    int position = Arrays.binarySearch(keys, key);
    return position < 0 ? null : (V) values[position];
  }

  boolean contains(K key) {
    return Arrays.binarySearch(keys, key) >= 0;
  }

  SortedTable<K, V> with(K key, V value) {
    int position = Arrays.binarySearch(keys, key);
    if (position >= 0) {
      Object[] changed = values.clone();
      changed[position] = value;
      return new SortedTable<>(keys, changed);
    }
    int insertPosition = -position - 1;
    return new SortedTable<>(
        inserted(keys, insertPosition, key), inserted(values, insertPosition, value));
  }

  SortedTable<K, V> without(K key) {
    int position = Arrays.binarySearch(keys, key);
    return position < 0
        ? this
        : new SortedTable<>(removed(keys, position), removed(values, position));
  }

  @SuppressWarnings("unchecked")
  List<K> keys() {
    return (List<K>) (List<?>) Collections.unmodifiableList(Arrays.asList(keys));
  }

  @SuppressWarnings("unchecked")
  List<V> values() {
    return (List<V>) (List<?>) Collections.unmodifiableList(Arrays.asList(values));
  }

  private static Object[] inserted(Object[] array, int position, Object value) {
    Object[] result = Arrays.copyOf(array, array.length + 1);
    System.arraycopy(array, position, result, position + 1, array.length - position);
    result[position] = value;
    return result;
  }

  private static Object[] removed(Object[] array, int position) {
    Object[] result = Arrays.copyOf(array, array.length - 1);
    System.arraycopy(array, position + 1, result, position, array.length - position - 1);
    return result;
  }
}
