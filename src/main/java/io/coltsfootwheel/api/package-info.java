/** JSON messages of the operator interface, shared by the daemon and the command-line tool. */
package io.coltsfootwheel.api;
