/** Routes, splits and services as replicated configuration with conditional change. */
package io.coltsfootwheel.routing;
