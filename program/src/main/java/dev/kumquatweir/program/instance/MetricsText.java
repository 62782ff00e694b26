package dev.kumquatweir.program.instance;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.gateway.http.HttpResponses;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;

/** Metrics as Prometheus text, also served over HTTP. Thread-safe. */
public final class MetricsText implements StreamingHttpService {
    private static final String PATH = "/metrics";
    private static final String CONTENT_TYPE = "text/plain; version=0.0.4";

    private final CollectorRegistry mCollectors = new CollectorRegistry();

    /** Shows the metrics of a registry. */
    public MetricsText(MetricRegistry metrics) {
        new DropwizardExports(metrics).register(mCollectors);
    }

    /** Returns all metrics as they are now. */
    public String text() {
        StringWriter text = new StringWriter();
        try {
            TextFormat.write004(text, mCollectors.metricFamilySamples());
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return text.toString();
    }

    @Override
    public Single<StreamingHttpResponse> handle(
            HttpServiceContext context,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory responses) {
        HttpResponses answers = new HttpResponses(context, responses);
        return request.path().equals(PATH)
                ? answers.text(200, CONTENT_TYPE, text())
                : answers.text(404, "text/plain", "");
    }
}
