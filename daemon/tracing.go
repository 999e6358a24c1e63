package daemon

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// StartTracing starts the export of spans if the settings name a collector. The
// returned function exports the remaining spans and stops the export.
func StartTracing(settings Settings) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if settings.Tracing.OTLP == "" {
		return func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracehttp.New(context.Background(),
		otlptracehttp.WithEndpoint(settings.Tracing.OTLP), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, err
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(settings.Tracing.SampleRatio))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "crocushollow"),
			attribute.String("service.instance.id", settings.Instance.ID),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}
