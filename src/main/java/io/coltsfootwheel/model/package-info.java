/** Identifiers, specifications, outcomes and error kinds shared by all other packages. */
package io.coltsfootwheel.model;
