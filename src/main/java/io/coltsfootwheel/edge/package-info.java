/** HTTP servers for callers and operators, HTTP client for targets, and the relay of responses. */
package io.coltsfootwheel.edge;
