package io.coltsfootwheel.link;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Opening side of a connection: handshake, then notices of writability and of the end. */
final class OutboundHandler extends SimpleChannelInboundHandler<Frame> {
  private final LinkSettings settings;
  private final Outbound outbound;
  private final Handshake handshake;

  private boolean ready;
  private Optional<LinkFailure> failure = Optional.empty();

  OutboundHandler(LinkSettings settings, Outbound outbound) {
    this.settings = settings;
    this.outbound = outbound;
    this.handshake = new Handshake(settings);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    context
        .executor()
        .schedule(() -> expire(context), settings.handshakeMillis(), TimeUnit.MILLISECONDS);
    Hello opening = handshake.opening(outbound.channel());
    context.writeAndFlush(FrameEncoder.encode(context.alloc(), opening.toFrame()));
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    if (ready || frame.kind() != FrameKind.HELLO) {
      fail(context, LinkFailure.BAD_FRAME);
      return;
    }
    try {
      shake(context, Hello.decode(frame.payload()));
    } catch (ColtsfootwheelException e) {
      fail(context, LinkFailure.BAD_FRAME);
    }
  }

  private void shake(ChannelHandlerContext context, Hello hello) {
    Optional<LinkFailure> mismatch = handshake.mismatch(hello);
    if (mismatch.isPresent()) {
      fail(context, mismatch.get());
      return;
    }
    // Sent even when the peer's proof is wrong, so that the peer counts the wrong key too.
    Frame confirmation = handshake.confirmation(hello).toFrame();
    context.writeAndFlush(FrameEncoder.encode(context.alloc(), confirmation));
    if (!handshake.isAcceptanceProven(hello)) {
      fail(context, LinkFailure.WRONG_KEY);
    } else if (!outbound.peer().value().equals(hello.instance())) {
      fail(context, LinkFailure.WRONG_INSTANCE);
    } else {
      ready = true;
      outbound.opened(context.channel(), hello.session());
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (context.channel().isWritable()) {
      outbound.drain();
    }
    context.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    outbound.closed(ready ? Optional.of(context.channel()) : Optional.empty(), failure);
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof DecoderException && cause.getCause() instanceof BadFrameException) {
      fail(context, ((BadFrameException) cause.getCause()).failure());
    } else {
      context.close();
    }
  }

  private void expire(ChannelHandlerContext context) {
    if (!ready && failure.isEmpty()) {
      fail(context, LinkFailure.HANDSHAKE_TIMEOUT);
    }
  }

  private void fail(ChannelHandlerContext context, LinkFailure cause) {
    failure = Optional.of(cause);
    context.close();
  }
}
