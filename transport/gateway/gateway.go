// Package gateway serves the HTTP API that callers use.
package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"path"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/controller"
	"github.com/crocushollow/crocushollow/protocol/authenticator"
	"github.com/crocushollow/crocushollow/protocol/bounder"
	"github.com/crocushollow/crocushollow/protocol/decoder"
	"github.com/crocushollow/crocushollow/protocol/executor"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/transport/acceptor"
)

var tracer = otel.Tracer("github.com/crocushollow/crocushollow/transport/gateway")

// Recorder counts completed requests.
type Recorder interface {
	RequestEnded(workspace, result string, took time.Duration)
}

// Config configures a Gateway.
type Config struct {
	View           func() *controller.View
	Executor       *executor.Executor
	ActiveRequests *authenticator.ActiveRequests
	Recorder       Recorder
	Logger         zerolog.Logger
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64
	// BodyTimeout limits the time to read a request body.
	BodyTimeout time.Duration
	// Bodies is the memory of all request bodies.
	Bodies *bounder.Intake
	// Connections bounds the connections of callers.
	Connections *acceptor.Keeper
	Discovery   DiscoveryConfig
}

// Gateway implements http.Handler.
type Gateway struct {
	config   Config
	inFlight atomic.Int64
}

// New returns a gateway.
func New(config Config) *Gateway { return &Gateway{config: config} }

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := &observedBody{ReadCloser: r.Body, ctx: r.Context(), connections: g.config.Connections}
	r.Body = body
	switch r.URL.Path {
	case "/healthz", "/readyz", discoveryPath:
		g.closeUnread(w, r, body)
	}
	switch r.URL.Path {
	case "/healthz":
		w.WriteHeader(http.StatusOK)
		return
	case "/readyz":
		g.serveReadiness(w)
		return
	case discoveryPath:
		g.serveDiscovery(w, r)
		return
	}
	if g.config.View().Draining {
		// Closing the connection makes the caller connect to another instance.
		w.Header().Set("Connection", "close")
	}
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.serveRequest(w, r, body)
}

func (g *Gateway) serveReadiness(w http.ResponseWriter) {
	view := g.config.View()
	if view.Draining || !view.IsReady(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request, body *observedBody) {
	started := time.Now()
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	identity, err := g.dispatch(ctx, w, r)
	result := "ok"
	if err != nil {
		rejection := toRejection(err)
		g.closeUnread(w, r, body)
		rejection.Write(w)
		result = string(rejection.Code)
		span.SetStatus(codes.Error, result)
		g.logRejection(identity, r, rejection)
	}
	span.SetAttributes(attribute.String("workspace", identity.Workspace.ID), attribute.String("result", result))
	g.config.Recorder.RequestEnded(identity.Workspace.ID, result, time.Since(started))
}

func (g *Gateway) logRejection(identity authenticator.Identity, r *http.Request, rejection *rejecter.Error) {
	g.config.Logger.Info().Str("workspace", identity.Workspace.ID).Str("key", identity.APIKeyID).
		Str("path", r.URL.Path).Int("status", rejection.Status).Str("code", string(rejection.Code)).
		Str("outcome", string(rejection.Outcome)).Msg("request refused")
}

// toRejection converts any error into an error response. An error that is not a
// *rejecter.Error has an unknown outcome, because the request may have run.
func toRejection(err error) *rejecter.Error {
	var rejection *rejecter.Error
	if errors.As(err, &rejection) {
		return rejection
	}
	return rejecter.New(http.StatusInternalServerError, rejecter.UpstreamFailed, "internal error").
		WithOutcome(crocushollow.OutcomeUnknown)
}

// dispatch authenticates the caller and passes the request to the handler of its
// path.
func (g *Gateway) dispatch(ctx context.Context, w http.ResponseWriter, r *http.Request) (authenticator.Identity, error) {
	view := g.config.View()
	if !view.IsReady(time.Now()) && view.State.NextOffset() == 0 {
		return authenticator.Identity{}, rejecter.New(http.StatusServiceUnavailable, rejecter.InstanceIsolated,
			"the instance has not caught up with the log").WithRetryAfter(time.Second)
	}
	if cleanPath := path.Clean(r.URL.Path); cleanPath != strings.TrimSuffix(r.URL.Path, "/") && r.URL.Path != "/" {
		return authenticator.Identity{}, rejecter.New(http.StatusBadRequest, rejecter.InvalidRequest,
			"the path contains empty or dot segments")
	}
	table := view.State.Table()
	if strings.HasPrefix(r.URL.Path, "/v1/") {
		identity, err := authenticator.Authenticate(table, r.Header)
		if err != nil {
			return identity, err
		}
		return identity, g.serveModelAPI(ctx, w, r, identity)
	}
	route, found := table.MatchRoute(r.URL.Path)
	if !found {
		return authenticator.Identity{}, rejecter.New(http.StatusNotFound, rejecter.NotFound, "no such path")
	}
	var identity authenticator.Identity
	if !route.AllowAnonymous {
		var err error
		if identity, err = authenticator.Authenticate(table, r.Header); err != nil {
			return identity, err
		}
	}
	return identity, g.serveRoute(ctx, w, r, identity, route)
}

func (g *Gateway) serveModelAPI(ctx context.Context, w http.ResponseWriter, r *http.Request, identity authenticator.Identity) error {
	if r.URL.Path == "/v1/models" || strings.HasPrefix(r.URL.Path, "/v1/models/") {
		return g.listModels(w, r)
	}
	endpoint := decoder.Endpoint(r.URL.Path)
	switch endpoint {
	case decoder.ChatCompletions, decoder.Completions, decoder.Embeddings:
	default:
		return rejecter.New(http.StatusNotFound, rejecter.NotFound, "no such path")
	}
	if r.Method != http.MethodPost {
		return rejecter.New(http.StatusMethodNotAllowed, rejecter.MethodNotAllowed, "the method must be POST")
	}
	body, err := g.readBody(w, r, identity)
	if err != nil {
		return err
	}
	defer body.Close()
	call, err := decoder.Decode(endpoint, body.Bytes())
	if err != nil {
		return err
	}
	ctx, end := g.config.ActiveRequests.Track(ctx, identity)
	defer end()
	return g.config.Executor.RunModel(ctx, w, identity, call)
}

func (g *Gateway) serveRoute(ctx context.Context, w http.ResponseWriter, r *http.Request, identity authenticator.Identity, route crocushollow.Route) error {
	body, err := g.readBody(w, r, identity)
	if err != nil {
		return err
	}
	defer body.Close()
	ctx, end := g.config.ActiveRequests.Track(ctx, identity)
	defer end()
	return g.config.Executor.RunService(ctx, w, identity, executor.ServiceCall{
		Route:          route,
		Method:         r.Method,
		Target:         r.URL.RequestURI(),
		Header:         forwardedHeaders(r.Header),
		Body:           body.Bytes(),
		IdempotencyKey: r.Header.Get(idempotencyHeader),
	})
}

// idempotencyHeader carries the caller's ID for a request that must run at most
// once.
const idempotencyHeader = "Idempotency-Key"

// strippedHeaders are request headers that are not forwarded to upstreams: the
// caller's credentials, hop-by-hop headers (RFC 9110, section 7.6.1) and headers
// that the forwarder sets itself.
var strippedHeaders = []string{
	"Authorization", "Proxy-Authorization", "Cookie",
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect", "X-Request-Id", "X-Workspace", "X-Priority", "X-Resume-From",
	"X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "Forwarded", "Traceparent", "Tracestate",
	"Accept-Encoding",
}

// forwardedHeaders returns the request headers that are forwarded to an upstream.
func forwardedHeaders(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, field := range header.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range strippedHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// modelList is a list of models in the format of the OpenAI API.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
}

func (g *Gateway) listModels(w http.ResponseWriter, r *http.Request) error {
	if r.Method != http.MethodGet {
		return rejecter.New(http.StatusMethodNotAllowed, rejecter.MethodNotAllowed, "the method must be GET")
	}
	table := g.config.View().State.Table()
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range table.Models() {
		list.Data = append(list.Data, modelEntry{ID: model.ID, Object: "model", OwnedBy: "crocushollow"})
	}
	for _, adapter := range table.Adapters() {
		list.Data = append(list.Data, modelEntry{ID: adapter.ID, Object: "model", OwnedBy: "crocushollow", Parent: adapter.Model})
	}
	id := strings.TrimPrefix(r.URL.Path, "/v1/models")
	if id == "" {
		return writeJSON(w, list)
	}
	for _, entry := range list.Data {
		if "/"+entry.ID == id {
			return writeJSON(w, entry)
		}
	}
	return rejecter.New(http.StatusNotFound, rejecter.ModelNotFound, "no such model")
}

func writeJSON(w http.ResponseWriter, response any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(response)
}
