/** Forwarding of client requests from an entry directly to targets. */
package io.coltsfootwheel.relay;
