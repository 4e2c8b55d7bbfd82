package io.coltsfootwheel.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.regex.Pattern;

/**
 * Decodes the responses of a target and notices bytes that were received together with a response
 * and follow it. Such bytes would become a part of the next response. {@link
 * UnrequestedBytesHandler} sees those that arrive later.
 *
 * <p>It also tells how a response ends, before any later handler sees the end of the connection. A
 * response without a length or chunks ends with the input of the connection. It is complete only if
 * the target closed its side, which requires {@link
 * io.netty.channel.ChannelOption#ALLOW_HALF_CLOSURE}: after a failed write the channel becomes
 * inactive without an exception, which also ends the input.
 */
final class TargetResponseDecoder extends HttpResponseDecoder {
  /** Status codes from 100 to 599; others are invalid. */
  private static final Pattern STATUS_CODE = Pattern.compile("[1-5][0-9]{2}");

  private boolean isHeadRequest;
  private boolean hasSurplusBytes;
  private InputState input = InputState.OPEN;

  private enum InputState {
    OPEN,
    CLOSED_BY_TARGET,
    FAILED
  }

  /** Called before a request is written. */
  void requestSent(HttpMethod method) {
    isHeadRequest = method.equals(HttpMethod.HEAD);
  }

  /** Called when the response to the last request is complete. */
  void responseCompleted() {
    hasSurplusBytes |= actualReadableBytes() > 0;
  }

  /** Returns whether bytes that belong to no response were received behind a response. */
  boolean hasSurplusBytes() {
    return hasSurplusBytes;
  }

  /** Returns how the response that is being passed on has ended. */
  ResponseEnd responseEnd() {
    return input == InputState.FAILED ? ResponseEnd.BROKEN : ResponseEnd.COMPLETE;
  }

  /** Returns whether further responses can be received. */
  boolean isInputOpen() {
    return input == InputState.OPEN;
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (event instanceof ChannelInputShutdownEvent) {
      endInput(InputState.CLOSED_BY_TARGET);
    }
    super.userEventTriggered(context, event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
    endInput(InputState.FAILED);
    super.exceptionCaught(context, cause);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    endInput(InputState.FAILED);
    super.channelInactive(context);
  }

  /** The first of the events that end the input says how it ended. */
  private void endInput(InputState end) {
    if (input == InputState.OPEN) {
      input = end;
    }
  }

  /** The framing of a response with an invalid status is unknown, so it is malformed as a whole. */
  @Override
  protected HttpMessage createMessage(String[] statusLine) {
    String status = statusLine[1];
    if (!STATUS_CODE.matcher(status).matches()) {
      throw new IllegalArgumentException("invalid status: " + status);
    }
    return super.createMessage(statusLine);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return isHeadRequest || super.isContentAlwaysEmpty(message);
  }
}
