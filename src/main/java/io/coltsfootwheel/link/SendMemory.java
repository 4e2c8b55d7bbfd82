package io.coltsfootwheel.link;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Limits the memory of the frames that wait on all connections together, from the moment at which
 * they are queued until they are written to their sockets. When the limit is exceeded, the
 * connection that holds most gives its frames up: one peer that does not read cannot use up the
 * memory of the others. A payload that is sent to several peers counts once. Thread-safe.
 */
final class SendMemory {
  /** Memory of a frame besides its payload. */
  static final int FRAME_OVERHEAD_BYTES = 64;

  /** Smaller payloads count for each frame; they are hardly ever shared. */
  private static final int MIN_SHARED_BYTES = 4 * 1024;

  private final long maxBytes;
  private final Set<Account> accounts = Collections.newSetFromMap(new IdentityHashMap<>());
  private final Map<byte[], Integer> usersByPayload = new IdentityHashMap<>();
  private long totalBytes;

  SendMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Starts to count the frames of a connection.
   *
   * @param onExceeded drops the frames of the connection; they count no more when it is called
   * @return the account of the connection
   */
  synchronized Account open(Runnable onExceeded) {
    Account account = new Account(onExceeded);
    accounts.add(account);
    return account;
  }

  /** Returns the memory of all frames that wait. */
  synchronized long totalBytes() {
    return totalBytes;
  }

  /**
   * Makes the connections that hold most give their frames up while the limit is exceeded. Must not
   * be called with the lock of a connection.
   */
  void enforce() {
    Optional<Account> largest = closeLargestIfExceeded();
    while (largest.isPresent()) {
      largest.get().onExceeded.run();
      largest = closeLargestIfExceeded();
    }
  }

  private synchronized Optional<Account> closeLargestIfExceeded() {
    if (totalBytes <= maxBytes) {
      return Optional.empty();
    }
    Optional<Account> largest =
        accounts.stream()
            .filter(a -> a.bytes > 0)
            .max(Comparator.comparingLong(account -> account.bytes));
    largest.ifPresent(Account::close);
    return largest;
  }

  /** Frames of one connection. */
  final class Account {
    private final Runnable onExceeded;
    private final Map<byte[], Integer> sharedPayloads = new IdentityHashMap<>();
    private long bytes;
    private boolean closed;

    private Account(Runnable onExceeded) {
      this.onExceeded = onExceeded;
    }

    /** Counts a frame. */
    void add(Frame frame) {
      synchronized (SendMemory.this) {
        if (closed) {
          return;
        }
        bytes += frame.payload().length + FRAME_OVERHEAD_BYTES;
        totalBytes += FRAME_OVERHEAD_BYTES;
        if (frame.payload().length < MIN_SHARED_BYTES) {
          totalBytes += frame.payload().length;
        } else {
          sharedPayloads.merge(frame.payload(), 1, Integer::sum);
          if (usersByPayload.merge(frame.payload(), 1, Integer::sum) == 1) {
            totalBytes += frame.payload().length;
          }
        }
      }
    }

    /** Stops counting frames that were written or dropped. */
    void remove(Collection<Frame> frames) {
      synchronized (SendMemory.this) {
        if (!closed) {
          frames.forEach(this::removeFrame);
        }
      }
    }

    private void removeFrame(Frame frame) {
      bytes -= frame.payload().length + FRAME_OVERHEAD_BYTES;
      totalBytes -= FRAME_OVERHEAD_BYTES;
      if (frame.payload().length < MIN_SHARED_BYTES) {
        totalBytes -= frame.payload().length;
      } else {
        sharedPayloads.computeIfPresent(frame.payload(), (p, uses) -> uses == 1 ? null : uses - 1);
        releasePayload(frame.payload(), 1);
      }
    }

    private void releasePayload(byte[] payload, int uses) {
      int left = usersByPayload.get(payload) - uses;
      if (left == 0) {
        usersByPayload.remove(payload);
        totalBytes -= payload.length;
      } else {
        usersByPayload.put(payload, left);
      }
    }

    /** Stops counting the connection; later calls have no effect. */
    void close() {
      synchronized (SendMemory.this) {
        if (closed) {
          return;
        }
        closed = true;
        accounts.remove(this);
        long sharedBytes = 0;
        for (Map.Entry<byte[], Integer> shared : sharedPayloads.entrySet()) {
          sharedBytes += (long) shared.getKey().length * shared.getValue();
          releasePayload(shared.getKey(), shared.getValue());
        }
        totalBytes -= bytes - sharedBytes;
      }
    }
  }
}
