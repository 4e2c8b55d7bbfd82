/** HTTP towards callers, targets and operators. */
package io.coltsfootwheel.edge;
