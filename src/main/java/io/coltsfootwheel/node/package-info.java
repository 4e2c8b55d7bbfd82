/** Control and entry processes: replicated decisions, their messages and drivers. */
package io.coltsfootwheel.node;
