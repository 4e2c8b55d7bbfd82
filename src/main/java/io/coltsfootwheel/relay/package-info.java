/** Forwarding of requests from an entry directly to the target that owns the key. */
package io.coltsfootwheel.relay;
