package io.coltsfootwheel.node;

import java.util.Optional;

/** Update that is the same for all entries, and is encoded once for those that can read that. */
final class SharedUpdate {
  private final NodeMessage.Routing update;
  private Optional<NodeMessage.Encoded> encoded = Optional.empty();

  SharedUpdate(NodeMessage.Routing update) {
    this.update = update;
  }

  NodeMessage.Routing update() {
    return update;
  }

  /** Returns the message for one entry. */
  NodeMessage message(boolean readsEncoded) {
    if (!readsEncoded) {
      return update;
    }
    if (encoded.isEmpty()) {
      encoded = Optional.of(NodeMessage.Encoded.of(update));
    }
    return encoded.get();
  }
}
