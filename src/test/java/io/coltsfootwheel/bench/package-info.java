/** Measurements and fault scenarios on real processes, and stand-in targets for them and tests. */
package io.coltsfootwheel.bench;
