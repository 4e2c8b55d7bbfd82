package io.coltsfootwheel;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against dependencies that run against the direction given in docs/design.md. */
class ArchitectureTest {
  @Test
  void placeholder() {
    assertThat(1).isEqualTo(1);
  }
}
