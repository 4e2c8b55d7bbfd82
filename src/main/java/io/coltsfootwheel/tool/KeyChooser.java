package io.coltsfootwheel.tool;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses keys by number, from a uniform distribution or a Zipf distribution with key 0 as the most
 * frequent.
 */
final class KeyChooser {
  private final double[] cumulativeWeights;

  private KeyChooser(double[] cumulativeWeights) {
    this.cumulativeWeights = cumulativeWeights;
  }

  /**
   * Creates a chooser.
   *
   * @param keys number of keys, above 0
   * @param exponent exponent s of the distribution, in which key n has the weight (n + 1)^-s; 0 is
   *     uniform
   */
  static KeyChooser of(int keys, double exponent) {
    double[] cumulativeWeights = new double[keys];
    double sum = 0;
    for (int key = 0; key < keys; key++) {
      sum += Math.pow(key + 1.0, -exponent);
      cumulativeWeights[key] = sum;
    }
    return new KeyChooser(cumulativeWeights);
  }

  int next(UniformRandomProvider random) {
    double point = random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1];
    int index = Arrays.binarySearch(cumulativeWeights, point);
    int key = index >= 0 ? index + 1 : -index - 1;
    return Math.min(key, cumulativeWeights.length - 1);
  }
}
