/** Command-line tool, load driver and burn report. */
package io.coltsfootwheel.tool;
