package io.coltsfootwheel.tool;

import io.coltsfootwheel.api.OperatorApi;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Report of the rates at which services use up their error budgets, as text or an HTML page. */
final class BurnReport {
  private static final int CHART_WIDTH = 640;
  private static final int CHART_HEIGHT = 300;

  private final OperatorApi.Burn burn;

  BurnReport(OperatorApi.Burn burn) {
    this.burn = burn;
  }

  String text() {
    return burn.services().stream()
        .map(service -> service.service() + "\n" + textTable(service))
        .collect(Collectors.joining("\n\n", countedInstances() + "\n\n", ""));
  }

  private String countedInstances() {
    String text = "counted by " + String.join(", ", burn.instances());
    return burn.missing().isEmpty()
        ? text
        : text + "; NOT COUNTED, no answer: " + String.join(", ", burn.missing());
  }

  /** Returns a self-contained HTML page; the plots are embedded as PNG images. */
  String html() {
    String sections =
        burn.services().stream().map(BurnReport::htmlSection).collect(Collectors.joining());
    return """
        <!DOCTYPE html>
        <html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
        <style>body{font-family:sans-serif}pre{background:#f4f4f4;padding:1em}</style></head>
        <body><h1>Service-level burn</h1>
        <p>A burn rate of 1 uses the budget exactly; above 1 the objective is missed if it lasts.</p>
        <p>%s</p>
        %s</body></html>
        """
        .formatted(escapeHtml(countedInstances()), sections);
  }

  private static String htmlSection(OperatorApi.ServiceBurn service) {
    return """
        <h2>%s</h2>
        <pre>%s</pre>
        <img alt="burn rates of %1$s" src="data:image/png;base64,%3$s">
        <img alt="requests of %1$s" src="data:image/png;base64,%4$s">
        """
        .formatted(
            escapeHtml(service.service()),
            escapeHtml(textTable(service)),
            pngBase64(burnRateChart(service)),
            pngBase64(requestChart(service)));
  }

  private static String textTable(OperatorApi.ServiceBurn service) {
    TextTable table =
        TextTable.of(
            "WINDOW",
            "ANSWERED",
            "LATE",
            "LOST",
            "NOT-RUN",
            "UNKNOWN",
            "REFUSED",
            "IMBALANCE",
            "CHURN",
            "UNAVAILABLE-MS",
            "BURN-ANSWERS",
            "BURN-UNAVAILABLE",
            "BURN-CHURN");
    for (OperatorApi.BurnWindow window : service.windows()) {
      Optional<BurnRates> rates = BurnRates.of(window, service.objectives());
      table.row(
          window.windowSeconds() + " s",
          window.answered(),
          window.late(),
          window.lost(),
          window.notRun(),
          window.unknown(),
          window.refused(),
          window.imbalance(),
          window.churnSlots(),
          window.unavailableMillis(),
          rateText(rates, BurnRates::answers),
          rateText(rates, BurnRates::unavailable),
          rateText(rates, BurnRates::churn));
    }
    return table.toString();
  }

  private static String rateText(Optional<BurnRates> rates, ToDoubleFunction<BurnRates> rate) {
    return rates.map(value -> "%.2f".formatted(rate.applyAsDouble(value))).orElse("");
  }

  private static CategoryChart burnRateChart(OperatorApi.ServiceBurn service) {
    CategoryChart chart = chart("Burn rate by window", "burn rate");
    service
        .objectives()
        .ifPresent(
            objectives -> {
              List<BurnRates> rates =
                  service.windows().stream()
                      .map(window -> BurnRates.of(window, objectives))
                      .toList();
              addSeries(chart, service, "answers", rates, BurnRates::answers);
              addSeries(chart, service, "unavailable", rates, BurnRates::unavailable);
              addSeries(chart, service, "churn", rates, BurnRates::churn);
            });
    return chart;
  }

  private static CategoryChart requestChart(OperatorApi.ServiceBurn service) {
    CategoryChart chart = chart("Requests by window", "requests");
    List<OperatorApi.BurnWindow> windows = service.windows();
    addSeries(chart, service, "answered", windows, OperatorApi.BurnWindow::answered);
    addSeries(chart, service, "late", windows, OperatorApi.BurnWindow::late);
    addSeries(chart, service, "lost", windows, OperatorApi.BurnWindow::lost);
    return chart;
  }

  private static CategoryChart chart(String title, String yAxisTitle) {
    return new CategoryChartBuilder()
        .width(CHART_WIDTH)
        .height(CHART_HEIGHT)
        .title(title)
        .xAxisTitle("window")
        .yAxisTitle(yAxisTitle)
        .build();
  }

  private static <T> void addSeries(
      CategoryChart chart,
      OperatorApi.ServiceBurn service,
      String name,
      List<T> values,
      ToDoubleFunction<T> value) {
    if (values.isEmpty()) {
      return;
    }
    List<String> windows =
        service.windows().stream().map(window -> window.windowSeconds() + " s").toList();
    chart.addSeries(name, windows, values.stream().map(value::applyAsDouble).toList());
  }

  private static String pngBase64(CategoryChart chart) {
    // XChart throws an exception for a chart without series.
    if (chart.getSeriesMap().isEmpty()) {
      return "";
    }
    try {
      byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
      return Base64.getEncoder().encodeToString(png);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String escapeHtml(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
