package io.coltsfootwheel.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Response to a client.
 *
 * @param status HTTP status
 * @param headers response headers without hop-by-hop headers
 * @param body complete body; the receiver owns one reference
 */
record RelayResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {}
