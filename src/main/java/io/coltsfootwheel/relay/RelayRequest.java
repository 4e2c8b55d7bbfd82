package io.coltsfootwheel.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Request of a client.
 *
 * @param id identity of the attempt, as the client sent it
 * @param method method
 * @param uri path and query
 * @param host value of the Host header
 * @param headers all headers
 * @param body whole body; the exchange owns one reference
 * @param key key, when the client sent one
 * @param deadlineMillis time that the client will wait, when it said so
 * @param receivedNanos monotonic time at which the request was complete
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
