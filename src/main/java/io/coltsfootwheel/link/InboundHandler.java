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

/** Accepting side of a connection: completes the handshake, then passes frames to the listener. */
final class InboundHandler extends SimpleChannelInboundHandler<Frame> {
  private final LinkSettings settings;
  private final LinkListener listener;
  private final LinkFailureLog failureLog;
  private final LinkTraffic traffic;
  private final FrameDecoder decoder;
  private final Handshake handshake;

  private State state = State.AWAITING_OPENING;
  private Hello opening;
  private InstanceId peer;

  InboundHandler(
      LinkSettings settings,
      LinkListener listener,
      LinkFailureLog failureLog,
      LinkTraffic traffic,
      FrameDecoder decoder) {
    this.settings = settings;
    this.listener = listener;
    this.failureLog = failureLog;
    this.traffic = traffic;
    this.decoder = decoder;
    this.handshake = new Handshake(settings);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    context
        .executor()
        .schedule(
            () -> onHandshakeTimeout(context),
            settings.handshakeTimeoutMillis(),
            TimeUnit.MILLISECONDS);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    if (state == State.READY && frame.kind() == FrameKind.PROBE) {
      answerProbe(context);
    } else if (state == State.READY) {
      deliver(frame);
    } else if (state != State.CLOSED) {
      handleHello(context, frame);
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
      failureLog.connectionFailed(
          remoteName(context), ((BadFrameException) cause.getCause()).failure());
    } else if (cause instanceof BadFrameException) {
      failureLog.connectionFailed(remoteName(context), ((BadFrameException) cause).failure());
    } else if (!(cause instanceof IOException)) {
      failureLog.unexpectedError(remoteName(context), cause);
    }
    context.close();
  }

  private void answerProbe(ChannelHandlerContext context) {
    traffic.count(Frame.PROBE, LinkDirection.RECEIVED);
    traffic.count(Frame.PROBE_ANSWER, LinkDirection.SENT);
    context.writeAndFlush(FrameEncoder.encode(context.alloc(), Frame.PROBE_ANSWER));
  }

  private void deliver(Frame frame) {
    boolean isForOpeningSide =
        frame.kind() == FrameKind.HELLO || frame.kind() == FrameKind.PROBE_ANSWER;
    if (isForOpeningSide || frame.kind().channel() != opening.channel()) {
      throw new BadFrameException(LinkFailure.BAD_FRAME);
    }
    traffic.count(frame, LinkDirection.RECEIVED);
    listener.received(peer, opening.session(), frame);
  }

  private void handleHello(ChannelHandlerContext context, Frame frame) {
    if (frame.kind() != FrameKind.HELLO) {
      throw new BadFrameException(LinkFailure.BAD_FRAME);
    }
    try {
      Hello hello = Hello.decode(frame.payload());
      if (state == State.AWAITING_OPENING) {
        acceptOpening(context, hello);
      } else {
        acceptConfirmation(context, hello);
      }
    } catch (ColtsfootwheelException e) {
      throw new BadFrameException(LinkFailure.BAD_FRAME);
    }
  }

  private void acceptOpening(ChannelHandlerContext context, Hello hello) {
    Optional<LinkFailure> mismatch = handshake.findMismatch(hello);
    if (mismatch.isPresent()) {
      rejectHandshake(context, hello, mismatch.get());
      return;
    }
    opening = hello;
    peer = InstanceId.of(hello.instance());
    state = State.AWAITING_CONFIRMATION;
    context.writeAndFlush(encode(context, handshake.acceptanceHello(hello)));
  }

  /**
   * Replies with this instance's cluster and version but no proof, so that the peer can log why it
   * was rejected.
   */
  private void rejectHandshake(ChannelHandlerContext context, Hello hello, LinkFailure failure) {
    state = State.CLOSED;
    failureLog.connectionFailed(remoteName(context), failure);
    LinkChannel channel = hello.channel() == null ? LinkChannel.CONTROL : hello.channel();
    context
        .writeAndFlush(encode(context, handshake.openingHello(channel)))
        .addListener(ChannelFutureListener.CLOSE);
  }

  private void acceptConfirmation(ChannelHandlerContext context, Hello hello) {
    if (hello.proof() == null || !handshake.isConfirmationProofValid(opening, hello)) {
      throw new BadFrameException(LinkFailure.WRONG_KEY);
    }
    state = State.READY;
    decoder.raiseFrameLimit();
  }

  private void onHandshakeTimeout(ChannelHandlerContext context) {
    if (state == State.AWAITING_OPENING || state == State.AWAITING_CONFIRMATION) {
      state = State.CLOSED;
      failureLog.connectionFailed(remoteName(context), LinkFailure.HANDSHAKE_TIMEOUT);
      context.close();
    }
  }

  private static ByteBuf encode(ChannelHandlerContext context, Hello hello) {
    return FrameEncoder.encode(context.alloc(), hello.toFrame());
  }

  private static String remoteName(ChannelHandlerContext context) {
    SocketAddress address = context.channel().remoteAddress();
    return address instanceof InetSocketAddress
        ? "from " + ((InetSocketAddress) address).getHostString()
        : "from unknown";
  }

  private enum State {
    AWAITING_OPENING,
    AWAITING_CONFIRMATION,
    READY,
    CLOSED
  }
}
