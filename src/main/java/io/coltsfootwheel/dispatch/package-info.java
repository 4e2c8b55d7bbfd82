/** Request routing at entries, admission limits, per-target dispatchers and request identities. */
package io.coltsfootwheel.dispatch;
