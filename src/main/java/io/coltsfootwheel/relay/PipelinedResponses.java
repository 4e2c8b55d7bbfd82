package io.coltsfootwheel.relay;

import io.coltsfootwheel.loadcontrol.RequestPipeline;
import io.coltsfootwheel.routing.ClientLimits;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Ordered responses of one client connection: starts the exchanges of its requests as {@link
 * RequestPipeline} allows, and keeps each finished response until those before it are written.
 */
final class PipelinedResponses {
  /** Memory of the objects that hold a response, beside its body. */
  private static final int RESPONSE_OVERHEAD_BYTES = 512;

  private final Connection connection;
  private final RequestPipeline<Item> pipeline;
  private final BufferedBodyBudget bodyBudget;
  private final HeadBudget headBudget;
  private boolean advancing;

  /** What the connection does for its requests. */
  interface Connection {
    /** Creates an exchange without starting it. */
    RelayExchange createExchange(RelayRequest request, Consumer<RelayResponse> responder);

    /** Returns whether a request that has not started may be executed more than once. */
    boolean isIdempotent(RelayRequest request);

    /** Releases a request that is not started. */
    void drop(RelayRequest request);

    /** Returns whether responses can still reach the client. */
    boolean isOpen();

    /** Returns whether the client has taken enough of the responses written so far. */
    boolean isWritable();

    /**
     * Writes the next response.
     *
     * @param response the response; its reference passes to the connection, which stops counting
     *     its body as complete when it is written
     * @param closes whether it closes the connection in any case
     * @param limits limits on the request that it answers
     */
    void write(RelayResponse response, boolean closes, ClientLimits limits);

    /** Called when a response became known; calls {@link #advance} when that is possible. */
    void proceed();
  }

  /** A request, its exchange once it is started, and its response once it is known. */
  private static final class Item {
    private Optional<RelayRequest> request;
    private final boolean closes;
    private final ClientLimits limits;
    private long headBytes;
    private boolean isIdempotent = true;
    private Optional<RelayExchange> exchange = Optional.empty();
    private Optional<RelayResponse> response = Optional.empty();

    Item(Optional<RelayRequest> request, boolean closes, ClientLimits limits, long headBytes) {
      this.request = request;
      this.closes = closes;
      this.limits = limits;
      this.headBytes = headBytes;
    }
  }

  PipelinedResponses(Connection connection, ClientBudgets budgets) {
    this.connection = connection;
    this.bodyBudget = budgets.bodies();
    this.headBudget = budgets.heads();
    this.pipeline = new RequestPipeline<>(budgets.pipelines(), this::isIdempotent);
  }

  private boolean isIdempotent(Item item) {
    return item.exchange
        .map(RelayExchange::isIdempotent)
        .orElseGet(() -> item.request.map(connection::isIdempotent).orElse(item.isIdempotent));
  }

  /**
   * Adds a request whose head and body are counted as complete; nothing may be added behind one
   * whose response closes the connection.
   */
  void add(RelayRequest request, boolean closes, long headBytes) {
    ClientLimits limits = request.routes().limits();
    Item item = new Item(Optional.of(request), closes, limits, headBytes);
    pipeline.add(item, closes, headBytes + request.body().readableBytes());
  }

  /** Adds the response to a request that is not forwarded, and to which limits apply. */
  void addResponse(RelayResponse response, boolean closes, ClientLimits limits) {
    Item item = new Item(Optional.empty(), closes, limits, 0);
    finish(pipeline.add(item, closes, 0), response);
  }

  private void finish(RequestPipeline.Entry<Item> entry, RelayResponse response) {
    int bodyBytes = response.body().readableBytes();
    releaseHead(entry.item());
    entry.item().response = Optional.of(response);
    bodyBudget.addComplete(bodyBytes);
    pipeline.finish(entry, bodyBytes + RESPONSE_OVERHEAD_BYTES);
  }

  /** Lets go of a request whose response is known; the client may read it late. */
  private void releaseHead(Item item) {
    stopCountingHead(item);
    item.isIdempotent = isIdempotent(item);
    item.request = Optional.empty();
    item.exchange = Optional.empty();
  }

  private void stopCountingHead(Item item) {
    headBudget.remove(item.headBytes);
    item.headBytes = 0;
  }

  /** Writes the responses whose turn has come, and starts the requests that may start. */
  void advance() {
    if (advancing) {
      return;
    }
    advancing = true;
    try {
      boolean changed = true;
      while (changed) {
        changed = writeNext() || startNext();
      }
    } finally {
      advancing = false;
    }
  }

  private boolean writeNext() {
    if (!connection.isWritable()) {
      return false;
    }
    Optional<Item> answered = pipeline.takeAnswered();
    answered.ifPresent(
        item -> connection.write(item.response.orElseThrow(), item.closes, item.limits));
    return answered.isPresent();
  }

  private boolean startNext() {
    if (!connection.isOpen()) {
      return false;
    }
    Optional<RequestPipeline.Entry<Item>> started = pipeline.startNext();
    started.ifPresent(this::start);
    return started.isPresent();
  }

  private void start(RequestPipeline.Entry<Item> entry) {
    RelayExchange exchange =
        connection.createExchange(
            entry.item().request.orElseThrow(),
            response -> {
              finish(entry, response);
              connection.proceed();
            });
    entry.item().exchange = Optional.of(exchange);
    exchange.start();
  }

  /** Cancels all exchanges and drops all responses because the connection has ended. */
  void cancelAll() {
    for (Item item : pipeline.removeAll()) {
      if (item.response.isPresent()) {
        bodyBudget.removeComplete(item.response.get().body().readableBytes());
        item.response.get().body().release();
        continue;
      }
      stopCountingHead(item);
      if (item.exchange.isPresent()) {
        item.exchange.get().clientDisconnected();
      } else {
        item.request.ifPresent(connection::drop);
      }
    }
  }

  /** Returns whether all requests are answered. */
  boolean isEmpty() {
    return pipeline.isEmpty();
  }

  /** Returns whether nothing may be added any more. */
  boolean isClosing() {
    return pipeline.isClosing();
  }

  /** Returns whether no further requests should be read for now. */
  boolean isFull() {
    return pipeline.isFull() || !pipeline.isEmpty() && !headBudget.hasRoomForPipelining();
  }

  /** Counts bytes that were passed to the connection and are not written to its socket. */
  void changeUnwrittenBytes(long change) {
    pipeline.changeUnwrittenBytes(change);
  }
}
