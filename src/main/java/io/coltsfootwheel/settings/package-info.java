/** TOML settings and their checks. */
package io.coltsfootwheel.settings;
