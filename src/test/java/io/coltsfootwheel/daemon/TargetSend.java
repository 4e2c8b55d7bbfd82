package io.coltsfootwheel.daemon;

/** One send of a request to a target, with the ownership fence that its dispatcher knew. */
record TargetSend(String requestId, String identity, int slot, long fence, long ownershipFence) {
  /** Returns the name of the caller's attempt, which the router may send several times. */
  String attempt() {
    return requestId.substring(0, requestId.lastIndexOf('/'));
  }
}
