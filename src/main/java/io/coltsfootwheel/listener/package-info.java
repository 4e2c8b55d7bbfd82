/** Binding of the addresses on which a process accepts connections. */
package io.coltsfootwheel.listener;
