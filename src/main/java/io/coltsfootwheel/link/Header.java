package io.coltsfootwheel.link;

/**
 * One HTTP header line.
 *
 * @param name the name as received
 * @param value the value
 */
public record Header(String name, String value) {}
