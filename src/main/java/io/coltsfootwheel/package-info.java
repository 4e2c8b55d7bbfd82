/** Root of the coltsfootwheel router; the sub-packages are described in docs/design.md. */
package io.coltsfootwheel;
