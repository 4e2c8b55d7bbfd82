/** Control and entry processes: decision logic, messages and network drivers. */
package io.coltsfootwheel.node;
