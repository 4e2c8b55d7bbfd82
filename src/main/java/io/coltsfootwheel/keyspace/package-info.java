/** Ownership of ranges of numeric keys that is granted in the answers to target reports. */
package io.coltsfootwheel.keyspace;
