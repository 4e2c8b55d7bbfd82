package io.coltsfootwheel.settings;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;

/**
 * Instance that may be a member of the control group, as listed under {@code control-members}.
 *
 * @param instance name of the instance
 * @param linkAddress address on which the instance accepts connections from other instances
 */
public record ControlMember(InstanceId instance, Address linkAddress) {}
