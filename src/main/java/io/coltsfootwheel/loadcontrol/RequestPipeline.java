package io.coltsfootwheel.loadcontrol;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Unanswered requests of one client connection, in the order in which they were read. Decides which
 * of them may be in progress at the same time, and returns responses in order. Not thread-safe.
 *
 * <p>Designed for clients that send many idempotent requests without waiting for responses: they
 * run concurrently within bounds for the connection and the process. A request that is not
 * idempotent runs alone, so that a client whose connection breaks knows which one was forwarded.
 *
 * <p>Usage: {@code pipeline.add(item, false, bodyBytes)}, then {@code startNext} and {@code
 * takeAnswered} until both are empty, each time that something changes.
 *
 * @param <T> request of the caller
 */
public final class RequestPipeline<T> {
  /**
   * Requests of a connection that are started and unanswered; more would let one client occupy the
   * slots of several targets.
   */
  public static final int MAX_STARTED = 16;

  /** Unanswered requests of a connection beyond which no further ones should be read. */
  public static final int MAX_UNANSWERED = 2 * MAX_STARTED;

  /**
   * Bytes of a connection beyond which only its first request starts: a sixteenth of the memory for
   * complete bodies.
   */
  public static final long MAX_BYTES = 1024 * 1024;

  private final PipelineBudget budget;
  private final Predicate<T> isIdempotent;
  private final ArrayDeque<Entry<T>> entries = new ArrayDeque<>();
  private int startedCount;
  private long bytes;
  private boolean isClosing;

  /**
   * Handle of an unanswered request.
   *
   * @param <T> request of the caller
   */
  public static final class Entry<T> {
    private final T item;
    private long bytes;
    private State state = State.WAITING;
    private boolean countsInBudget;

    private Entry(T item, long bytes) {
      this.item = item;
      this.bytes = bytes;
    }

    /**
     * Returns the request.
     *
     * @return the item with which it was added
     */
    public T item() {
      return item;
    }
  }

  private enum State {
    WAITING,
    STARTED,
    FINISHED
  }

  /**
   * Creates a pipeline without requests.
   *
   * @param budget bounds shared by all connections
   * @param isIdempotent whether a request may be executed more than once
   */
  public RequestPipeline(PipelineBudget budget, Predicate<T> isIdempotent) {
    this.budget = budget;
    this.isIdempotent = isIdempotent;
  }

  /**
   * Adds a request behind all others.
   *
   * @param item the request
   * @param closes whether its response closes the connection; nothing may be added behind it
   * @param requestBytes bytes that it holds until its response is known
   * @return its handle
   */
  public Entry<T> add(T item, boolean closes, long requestBytes) {
    if (isClosing) {
      throw new IllegalStateException("request behind a response that closes the connection");
    }
    isClosing = closes;
    Entry<T> entry = new Entry<>(item, requestBytes);
    bytes += requestBytes;
    if (!entries.isEmpty()) {
      entry.countsInBudget = true;
      budget.addWaitingBytes(requestBytes);
    }
    entries.add(entry);
    return entry;
  }

  /**
   * Starts the next request if the order and the bounds allow it.
   *
   * @return the request that the caller must start now
   */
  public Optional<Entry<T>> startNext() {
    boolean isFirst = true;
    for (Entry<T> entry : entries) {
      if (entry.state == State.WAITING) {
        boolean mayStart = isFirst || hasRoom() && isIdempotent.test(entry.item);
        return mayStart ? Optional.of(start(entry, isFirst)) : Optional.empty();
      }
      if (!isIdempotent.test(entry.item)) {
        return Optional.empty();
      }
      isFirst = false;
    }
    return Optional.empty();
  }

  private boolean hasRoom() {
    return startedCount < MAX_STARTED && bytes < MAX_BYTES && budget.hasRoom();
  }

  private Entry<T> start(Entry<T> entry, boolean isFirst) {
    removeFromBudget(entry);
    entry.state = State.STARTED;
    startedCount++;
    if (!isFirst) {
      entry.countsInBudget = true;
      budget.addRequest();
    }
    return entry;
  }

  /**
   * Records that the response to a request is known.
   *
   * @param entry the request; it need not have been started
   * @param responseBytes bytes of the response, which count until it is taken; those of the request
   *     count no more
   */
  public void finish(Entry<T> entry, long responseBytes) {
    removeFromBudget(entry);
    if (entry.state == State.WAITING) {
      startedCount++;
    }
    entry.state = State.FINISHED;
    bytes += responseBytes - entry.bytes;
    entry.bytes = responseBytes;
    if (entry != entries.peekFirst()) {
      entry.countsInBudget = true;
      budget.addWaitingBytes(entry.bytes);
    }
  }

  private void removeFromBudget(Entry<T> entry) {
    if (!entry.countsInBudget) {
      return;
    }
    entry.countsInBudget = false;
    if (entry.state != State.STARTED) {
      budget.removeWaitingBytes(entry.bytes);
    } else {
      budget.removeRequest();
    }
  }

  /**
   * Removes the first request if its response is known.
   *
   * @return the request that the caller must answer now
   */
  public Optional<T> takeAnswered() {
    Entry<T> first = entries.peekFirst();
    if (first == null || first.state != State.FINISHED) {
      return Optional.empty();
    }
    entries.removeFirst();
    remove(first);
    return Optional.of(first.item);
  }

  private void remove(Entry<T> entry) {
    removeFromBudget(entry);
    bytes -= entry.bytes;
    if (entry.state != State.WAITING) {
      startedCount--;
    }
  }

  /**
   * Removes all requests because the connection has ended.
   *
   * @return the requests, in order
   */
  public List<T> removeAll() {
    List<T> items = new ArrayList<>();
    entries.forEach(entry -> items.add(entry.item));
    entries.forEach(this::remove);
    entries.clear();
    return items;
  }

  /**
   * Counts bytes of responses that were taken and are not written yet.
   *
   * @param change increase of the number of bytes, negative after they are written
   */
  public void changeUnwrittenBytes(long change) {
    bytes += change;
  }

  /**
   * Returns whether all requests are answered.
   *
   * @return true without an unanswered request
   */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /**
   * Returns whether a request was added whose response closes the connection.
   *
   * @return true if nothing more may be added
   */
  public boolean isClosing() {
    return isClosing;
  }

  /**
   * Returns whether no further requests should be read from the connection for now.
   *
   * @return true beyond a bound of the connection, or beyond one of the process while a request of
   *     the connection is unanswered
   */
  public boolean isFull() {
    return entries.size() >= MAX_UNANSWERED
        || bytes >= MAX_BYTES
        || !entries.isEmpty() && !budget.hasRoom();
  }
}
