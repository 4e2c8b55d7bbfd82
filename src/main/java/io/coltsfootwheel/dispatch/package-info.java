/** Per-target dispatcher, request identities, admission limits and entry routing. */
package io.coltsfootwheel.dispatch;
