package io.coltsfootwheel.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Response to a client.
 *
 * @param status status
 * @param headers headers, without those that concern one connection
 * @param body whole body; the receiver owns one reference
 */
record RelayResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {}
