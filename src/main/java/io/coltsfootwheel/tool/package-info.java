/** Command-line tool for operators, with the load driver and the burn report. */
package io.coltsfootwheel.tool;
