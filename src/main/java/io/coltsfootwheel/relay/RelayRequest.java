package io.coltsfootwheel.relay;

import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.RouteTable;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Client request.
 *
 * @param id request ID of the attempt, empty if the client sent none
 * @param method HTTP method
 * @param uri path and query
 * @param host value of the Host header
 * @param headers all request headers
 * @param body complete body; the exchange owns one reference
 * @param key key, if the client sent a valid one
 * @param deadlineMillis time for which the client will wait, if it stated one
 * @param receivedNanos monotonic time at which the relay had read the complete request
 * @param routes version of the configuration that was in force when its head began
 */
record RelayRequest(
    String id,
    HttpMethod method,
    String uri,
    String host,
    HttpHeaders headers,
    ByteBuf body,
    OptionalInt key,
    OptionalLong deadlineMillis,
    long receivedNanos,
    RouteTable routes) {

  /**
   * Returns this request as it is sent to a target. It holds a reference of its own to the body.
   *
   * @param headerNames names of the protocol's headers
   * @param target the only target that may execute the request
   * @param remainingMillis time for which the client still waits
   */
  FullHttpRequest forTarget(
      ProtocolHeaderNames headerNames, TargetId target, long remainingMillis) {
    HttpHeaders targetHeaders = HopByHopHeaders.strippedCopy(headers);
    targetHeaders.set(headerNames.deadlineMillis(), Math.max(1, remainingMillis));
    targetHeaders.set(headerNames.expectedTarget(), target.value());
    boolean hasBody =
        body.isReadable()
            || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
            || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    if (hasBody) {
      targetHeaders.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        method,
        uri,
        body.retainedDuplicate(),
        targetHeaders,
        EmptyHttpHeaders.INSTANCE);
  }
}
