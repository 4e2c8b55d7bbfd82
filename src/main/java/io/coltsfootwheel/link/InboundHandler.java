package io.coltsfootwheel.link;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.InstanceId;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Accepting side of a connection: handshake, then frames to the listener. */
final class InboundHandler extends SimpleChannelInboundHandler<Frame> {
  private final LinkSettings settings;
  private final LinkListener listener;
  private final FailureLog log;
  private final LinkTraffic traffic;
  private final FrameDecoder decoder;
  private final Handshake handshake;

  private State state = State.AWAIT_OPENING;
  private Hello opening;
  private InstanceId peer;

  InboundHandler(
      LinkSettings settings,
      LinkListener listener,
      FailureLog log,
      LinkTraffic traffic,
      FrameDecoder decoder) {
    this.settings = settings;
    this.listener = listener;
    this.log = log;
    this.traffic = traffic;
    this.decoder = decoder;
    this.handshake = new Handshake(settings);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    context
        .executor()
        .schedule(() -> expire(context), settings.handshakeMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    if (state == State.READY) {
      deliver(frame);
    } else if (state != State.CLOSED) {
      shake(context, frame);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (state == State.READY) {
      listener.disconnected(peer, opening.channel());
    }
    state = State.CLOSED;
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof DecoderException && cause.getCause() instanceof BadFrameException) {
      log.failed(remote(context), ((BadFrameException) cause.getCause()).failure());
    } else if (cause instanceof BadFrameException) {
      log.failed(remote(context), ((BadFrameException) cause).failure());
    } else if (!(cause instanceof IOException)) {
      log.unexpected(remote(context), cause);
    }
    context.close();
  }

  private void deliver(Frame frame) {
    if (frame.kind() == FrameKind.HELLO || frame.kind().channel() != opening.channel()) {
      throw new BadFrameException(LinkFailure.BAD_FRAME);
    }
    traffic.count(frame, LinkDirection.RECEIVED);
    listener.received(peer, opening.session(), frame);
  }

  private void shake(ChannelHandlerContext context, Frame frame) {
    if (frame.kind() != FrameKind.HELLO) {
      throw new BadFrameException(LinkFailure.BAD_FRAME);
    }
    try {
      Hello hello = Hello.decode(frame.payload());
      if (state == State.AWAIT_OPENING) {
        accept(context, hello);
      } else {
        confirm(context, hello);
      }
    } catch (ColtsfootwheelException e) {
      throw new BadFrameException(LinkFailure.BAD_FRAME);
    }
  }

  private void accept(ChannelHandlerContext context, Hello hello) {
    Optional<LinkFailure> mismatch = handshake.mismatch(hello);
    if (mismatch.isPresent()) {
      refuse(context, hello, mismatch.get());
      return;
    }
    opening = hello;
    peer = InstanceId.of(hello.instance());
    state = State.AWAIT_CONFIRMATION;
    context.writeAndFlush(encode(context, handshake.acceptance(hello)));
  }

  /** The refused side gets the own cluster and version without proof, so that it can log them. */
  private void refuse(ChannelHandlerContext context, Hello hello, LinkFailure failure) {
    state = State.CLOSED;
    log.failed(remote(context), failure);
    LinkChannel channel = hello.channel() == null ? LinkChannel.CONTROL : hello.channel();
    context
        .writeAndFlush(encode(context, handshake.opening(channel)))
        .addListener(ChannelFutureListener.CLOSE);
  }

  private void confirm(ChannelHandlerContext context, Hello hello) {
    if (hello.proof() == null || !handshake.isConfirmationProven(opening, hello)) {
      throw new BadFrameException(LinkFailure.WRONG_KEY);
    }
    state = State.READY;
    decoder.raiseLimit();
  }

  private void expire(ChannelHandlerContext context) {
    if (state == State.AWAIT_OPENING || state == State.AWAIT_CONFIRMATION) {
      state = State.CLOSED;
      log.failed(remote(context), LinkFailure.HANDSHAKE_TIMEOUT);
      context.close();
    }
  }

  private static ByteBuf encode(ChannelHandlerContext context, Hello hello) {
    return FrameEncoder.encode(context.alloc(), hello.toFrame());
  }

  private static String remote(ChannelHandlerContext context) {
    SocketAddress address = context.channel().remoteAddress();
    return address instanceof InetSocketAddress
        ? "from " + ((InetSocketAddress) address).getHostString()
        : "from unknown";
  }

  private enum State {
    AWAIT_OPENING,
    AWAIT_CONFIRMATION,
    READY,
    CLOSED
  }
}
