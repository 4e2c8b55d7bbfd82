/** Framed MessagePack connections between instances. */
package io.coltsfootwheel.link;
