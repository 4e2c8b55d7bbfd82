/** Runs the deployment of the deploy file as real processes and judges what callers saw of it. */
package io.coltsfootwheel.deployment;
