package io.coltsfootwheel.scenarios;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the scenarios as a JUnit suite, for tools that list each scenario. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("features")
@ConfigurationParameter(key = "cucumber.glue", value = "io.coltsfootwheel.scenarios")
class ScenarioSuite {}
