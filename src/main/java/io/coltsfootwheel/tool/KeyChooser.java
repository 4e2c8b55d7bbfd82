package io.coltsfootwheel.tool;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses key numbers: uniformly, or by a Zipf distribution in which key 0 is the most frequent.
 */
final class KeyChooser {
  private final double[] cumulative;

  private KeyChooser(double[] cumulative) {
    this.cumulative = cumulative;
  }

  /**
   * Returns a chooser.
   *
   * @param keys number of keys, above 0
   * @param exponent the weight of key n is (n + 1) to the power of minus this; 0 is uniform
   */
  static KeyChooser of(int keys, double exponent) {
    double[] cumulative = new double[keys];
    double sum = 0;
    for (int key = 0; key < keys; key++) {
      sum += Math.pow(key + 1.0, -exponent);
      cumulative[key] = sum;
    }
    return new KeyChooser(cumulative);
  }

  int next(UniformRandomProvider random) {
    double point = random.nextDouble() * cumulative[cumulative.length - 1];
    int found = Arrays.binarySearch(cumulative, point);
    int key = found >= 0 ? found + 1 : -found - 1;
    return Math.min(key, cumulative.length - 1);
  }
}
