/** Replicated configuration of routes, traffic splits, services and limits, and its changes. */
package io.coltsfootwheel.routing;
