package io.coltsfootwheel.relay;

import io.coltsfootwheel.listener.ConnectionLimiter;
import io.coltsfootwheel.listener.ConnectionMemoryBudget;
import io.coltsfootwheel.listener.ListenerKind;
import io.coltsfootwheel.listener.ProcessLimits;
import io.coltsfootwheel.loadcontrol.PipelineBudget;

/** Bounds of what all clients of a relay together make it hold. */
final class ClientBudgets {
  /**
   * Heap for each request in progress behind another one of its connection. Each can also need a
   * connection to a target.
   */
  private static final int HEAP_BYTES_PER_PIPELINED_REQUEST = 64 * 1024;

  private final BufferedBodyBudget bodies;
  private final PipelineBudget pipelines;
  private final HeadBudget heads;
  private final ConnectionMemoryBudget input;
  private final ConnectionLimiter connections;

  ClientBudgets(ProcessLimits limits) {
    long maxBodyBytes = limits.directBytes() / 2;
    // The rest is for input that is no body, for reads and for the links to control processes.
    long maxTotalBytes = limits.directBytes() * 3 / 4;
    this.bodies = new BufferedBodyBudget(maxBodyBytes, maxBodyBytes, maxTotalBytes);
    int maxPipelinedRequests = (int) (limits.heapBytes() / HEAP_BYTES_PER_PIPELINED_REQUEST);
    this.pipelines = new PipelineBudget(maxPipelinedRequests, limits.heapBytes() / 16);
    this.heads = new HeadBudget(limits.heapBytes() / 8);
    this.input =
        new ConnectionMemoryBudget(Math.min(limits.heapBytes() / 16, limits.directBytes() / 8));
    this.connections = new ConnectionLimiter(ListenerKind.CLIENTS.maxConnections(limits));
  }

  /** Returns the budget of bodies. */
  BufferedBodyBudget bodies() {
    return bodies;
  }

  /** Returns the budget of requests behind another one of their connection. */
  PipelineBudget pipelines() {
    return pipelines;
  }

  /** Returns the budget of the heads of unanswered requests. */
  HeadBudget heads() {
    return heads;
  }

  /** Returns the budget of heads that are not complete and of input that is not decoded. */
  ConnectionMemoryBudget input() {
    return input;
  }

  /** Returns the bound of connections. */
  ConnectionLimiter connections() {
    return connections;
  }
}
