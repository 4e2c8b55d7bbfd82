/** Adapter to the platform that runs the processes: its names, JSON formats and HTTP calls. */
package io.coltsfootwheel.platform;
