package io.coltsfootwheel.model;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Unmodifiable copies that are iterated in the order of their keys. The iteration order of {@link
 * Set#copyOf} and {@link Map#copyOf} differs between processes, so replicated state that is
 * serialized or printed from them would differ between the members of the control group.
 */
public final class SortedCopy {
  private SortedCopy() {}

  /**
   * Copies a set.
   *
   * @param elements the elements, none of them null
   * @param <E> type of the elements
   * @return the copy
   */
  public static <E extends Comparable<? super E>> Set<E> ofSet(Set<E> elements) {
    return Collections.unmodifiableSet(new LinkedHashSet<>(new TreeSet<>(Set.copyOf(elements))));
  }

  /**
   * Copies a map.
   *
   * @param entries the entries, without null as key or value
   * @param <K> type of the keys
   * @param <V> type of the values
   * @return the copy
   */
  public static <K extends Comparable<? super K>, V> Map<K, V> ofMap(Map<K, V> entries) {
    return Collections.unmodifiableMap(new LinkedHashMap<>(new TreeMap<>(Map.copyOf(entries))));
  }
}
