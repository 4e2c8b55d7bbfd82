package io.coltsfootwheel.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
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
 * @param receivedNanos monotonic time at which the relay began to process the complete request
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
    long receivedNanos) {}
