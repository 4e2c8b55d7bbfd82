package io.coltsfootwheel.link;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.InstanceId;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
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
  private static final long RECEIVING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final LinkSettings settings;
  private final LinkListener listener;
  private final LinkFailureLog failureLog;
  private final LinkTraffic traffic;
  private final FrameDecoder decoder;
  private final InboundConnections connections;
  private final long acceptNumber;
  private final Handshake handshake;

  /** Written on the event loop of the connection, and by the one of the connection after it. */
  private volatile State state = State.AWAITING_OPENING;

  private Channel channel;
  private Hello opening;
  private InstanceId peer;
  private long receivingSentNanos = System.nanoTime();

  InboundHandler(
      LinkSettings settings,
      LinkListener listener,
      LinkFailureLog failureLog,
      LinkTraffic traffic,
      FrameDecoder decoder,
      InboundConnections connections) {
    this.settings = settings;
    this.listener = listener;
    this.failureLog = failureLog;
    this.traffic = traffic;
    this.decoder = decoder;
    this.connections = connections;
    this.acceptNumber = connections.nextAcceptNumber();
    this.handshake = new Handshake(settings);
  }

  /** Returns whether the handshake is complete; may be called from any thread. */
  boolean isReady() {
    return state == State.READY;
  }

  long acceptNumber() {
    return acceptNumber;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
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

  /** Shows the opening side that the connection works while a probe waits behind a large frame. */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    long nowNanos = System.nanoTime();
    if (state == State.READY
        && opening.answersProbes()
        && decoder.hasPartialFrame()
        && nowNanos - receivingSentNanos >= RECEIVING_INTERVAL_NANOS) {
      receivingSentNanos = nowNanos;
      traffic.count(Frame.RECEIVING, LinkDirection.SENT);
      context.writeAndFlush(FrameEncoder.encode(context.alloc(), Frame.RECEIVING));
    }
    context.fireChannelReadComplete();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    reportEnd();
    state = State.CLOSED;
    context.fireChannelInactive();
  }

  /**
   * Ends this connection because its peer has opened a new one. The end is reported before any
   * frame of the new one is, because frames of this one may be lost.
   */
  private void endSuperseded() {
    reportEnd();
    channel.close();
  }

  private void reportEnd() {
    synchronized (this) {
      if (state != State.READY) {
        return;
      }
      state = State.CLOSED;
    }
    connections.remove(peer, opening.channel(), this);
    listener.disconnected(peer, opening.channel());
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
        acceptConfirmation(hello);
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
    LinkChannel linkChannel = hello.channel() == null ? LinkChannel.CONTROL : hello.channel();
    context
        .writeAndFlush(encode(context, handshake.openingHello(linkChannel)))
        .addListener(ChannelFutureListener.CLOSE);
  }

  private void acceptConfirmation(Hello hello) {
    if (hello.proof() == null || !handshake.isConfirmationProofValid(opening, hello)) {
      throw new BadFrameException(LinkFailure.WRONG_KEY);
    }
    state = State.READY;
    Optional<InboundHandler> superseded = connections.add(peer, opening.channel(), this);
    if (superseded.filter(s -> s == this).isPresent()) {
      // Not reported as an end: the current connection of the peer works.
      state = State.CLOSED;
      channel.close();
      return;
    }
    superseded.ifPresent(InboundHandler::endSuperseded);
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
