package io.coltsfootwheel.link;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Opening side of a connection: completes the handshake, then reports writability and closing. */
final class OutboundHandler extends SimpleChannelInboundHandler<Frame> {
  private final LinkSettings settings;
  private final ConnectionAttempt attempt;
  private final OutboundConnection outbound;
  private final Handshake handshake;

  private Optional<ConnectionProber> prober = Optional.empty();
  private boolean handshakeComplete;
  private Optional<LinkFailure> failure = Optional.empty();

  OutboundHandler(LinkSettings settings, ConnectionAttempt attempt) {
    this.settings = settings;
    this.attempt = attempt;
    this.outbound = attempt.connection();
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
    Hello opening = handshake.openingHello(outbound.linkChannel());
    context.writeAndFlush(FrameEncoder.encode(context.alloc(), opening.toFrame()));
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    if (prober.isPresent() && frame.kind() == FrameKind.PROBE_ANSWER) {
      prober.get().answered(frame);
      return;
    }
    if (handshakeComplete || frame.kind() != FrameKind.HELLO) {
      closeWithFailure(context, LinkFailure.BAD_FRAME);
      return;
    }
    try {
      handleHello(context, Hello.decode(frame.payload()));
    } catch (ColtsfootwheelException e) {
      closeWithFailure(context, LinkFailure.BAD_FRAME);
    }
  }

  private void handleHello(ChannelHandlerContext context, Hello hello) {
    Optional<LinkFailure> mismatch = handshake.findMismatch(hello);
    if (mismatch.isPresent()) {
      closeWithFailure(context, mismatch.get());
      return;
    }
    if (!attempt.isNeeded()) {
      context.close();
      return;
    }
    // Sent even when the peer's proof is wrong, so that the peer also counts a wrong key.
    Frame confirmation = handshake.confirmationHello(hello).toFrame();
    context.writeAndFlush(FrameEncoder.encode(context.alloc(), confirmation));
    if (!handshake.isAcceptanceProofValid(hello)) {
      closeWithFailure(context, LinkFailure.WRONG_KEY);
    } else if (!outbound.peer().value().equals(hello.instance())) {
      closeWithFailure(context, LinkFailure.WRONG_INSTANCE);
    } else {
      handshakeComplete = true;
      prober = hello.answersProbes() ? Optional.of(newProber(context)) : Optional.empty();
      attempt.succeeded(context.channel(), hello.session(), prober);
    }
  }

  private ConnectionProber newProber(ChannelHandlerContext context) {
    return new ConnectionProber(
        context.channel(), outbound.traffic(), new ProbedConnection(context));
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (context.channel().isWritable()) {
      outbound.writeQueuedFrames();
    }
    context.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    prober.ifPresent(ConnectionProber::stop);
    if (handshakeComplete) {
      outbound.onClosed(context.channel(), failure);
    } else {
      attempt.failed(failure.orElse(LinkFailure.CONNECT_FAILED));
    }
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof DecoderException && cause.getCause() instanceof BadFrameException) {
      closeWithFailure(context, ((BadFrameException) cause.getCause()).failure());
    } else {
      context.close();
    }
  }

  private void onHandshakeTimeout(ChannelHandlerContext context) {
    if (!handshakeComplete && failure.isEmpty()) {
      closeWithFailure(context, LinkFailure.HANDSHAKE_TIMEOUT);
    }
  }

  private void closeWithFailure(ChannelHandlerContext context, LinkFailure cause) {
    failure = Optional.of(cause);
    context.close();
  }

  /** Connection of this handler, as its prober sees it. */
  private final class ProbedConnection implements ConnectionProber.Owner {
    private final ChannelHandlerContext context;

    private ProbedConnection(ChannelHandlerContext context) {
      this.context = context;
    }

    @Override
    public void probeSent() {
      outbound.silenceCheck().probeSent();
    }

    @Override
    public boolean showsSilence(long probeSentNanos) {
      return outbound.silenceCheck().showsSilence(probeSentNanos);
    }

    @Override
    public void closeSilent(long unansweredMillis) {
      outbound.reportSilent(unansweredMillis);
      closeWithFailure(context, LinkFailure.SILENT);
    }
  }
}
