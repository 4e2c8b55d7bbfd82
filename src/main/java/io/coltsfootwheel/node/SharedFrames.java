package io.coltsfootwheel.node;

import io.coltsfootwheel.link.Frame;
import java.util.Optional;

/**
 * Frames of messages. A message that is sent to many processes, one after the other, becomes one
 * frame: copies for hundreds of entries would take many times its memory. Thread-safe.
 */
final class SharedFrames {
  private volatile Optional<Shared> last = Optional.empty();

  private record Shared(NodeMessage message, Frame frame) {}

  /** Returns the frame of a message. */
  Frame frameOf(NodeMessage message) {
    if (!(message instanceof NodeMessage.Encoded)) {
      return message.toFrame();
    }
    Optional<Shared> known = last.filter(s -> s.message() == message);
    if (known.isEmpty()) {
      known = Optional.of(new Shared(message, message.toFrame()));
      last = known;
    }
    return known.get().frame();
  }
}
