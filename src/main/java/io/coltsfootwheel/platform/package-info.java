/** Adapter to the users' platform: names, formats and calls. */
package io.coltsfootwheel.platform;
