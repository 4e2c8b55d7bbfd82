package io.coltsfootwheel.relay;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Reports that nothing was read or written on a connection for a time, which may change while the
 * connection is open.
 */
final class IdleTimeout extends ChannelDuplexHandler {
  private final LongSupplier timeoutMillis;
  private final Runnable onIdle;
  private ChannelHandlerContext channelContext;
  private long activityNanos = System.nanoTime();
  private Optional<ScheduledFuture<?>> check = Optional.empty();

  /**
   * Creates a handler.
   *
   * @param timeoutMillis returns the time that is in force, 0 for no limit
   * @param onIdle called when the time has passed, and again after each further such time
   */
  IdleTimeout(LongSupplier timeoutMillis, Runnable onIdle) {
    this.timeoutMillis = timeoutMillis;
    this.onIdle = onIdle;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channelContext = context;
    timeoutChanged();
  }

  /** Checks the time again, because another one may be in force. */
  void timeoutChanged() {
    cancelCheck();
    check();
  }

  private void check() {
    check = Optional.empty();
    long timeout = timeoutMillis.getAsLong();
    if (timeout <= 0 || channelContext.isRemoved()) {
      return;
    }
    long idleMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - activityNanos);
    if (idleMillis >= timeout) {
      onIdle.run();
    }
    if (channelContext.channel().isActive()) {
      schedule(idleMillis >= timeout ? timeout : timeout - idleMillis);
    }
  }

  private void schedule(long delayMillis) {
    check =
        Optional.of(
            channelContext.executor().schedule(this::check, delayMillis, TimeUnit.MILLISECONDS));
  }

  private void cancelCheck() {
    check.ifPresent(task -> task.cancel(false));
    check = Optional.empty();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    activityNanos = System.nanoTime();
    context.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    context.write(
        message, promise.unvoid().addListener(written -> activityNanos = System.nanoTime()));
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    cancelCheck();
  }
}
