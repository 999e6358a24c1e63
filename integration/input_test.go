package integration_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/daemon"
	"github.com/crocushollow/crocushollow/standin/caller"
	"github.com/crocushollow/crocushollow/standin/stager"
	"github.com/crocushollow/crocushollow/transport/console"
)

// startServingSite starts one instance with engines, a plain service and the rows
// of the sample workload. It returns the API keys by workspace.
func startServingSite(change func(*stager.Config)) (*stager.Site, map[string]string) {
	GinkgoHelper()
	site := startSite(1, func(config *stager.Config) {
		config.Engines, config.Services = 3, 1
		change(config)
	})
	rows, apiKeys := site.Rows(stager.SampleWorkload(), stager.DirectAddress)
	var changes []console.Change
	for _, row := range rows {
		changes = append(changes, console.NewInsert(row))
	}
	ctx := contextWithTimeout(20 * time.Second)
	Expect(stager.ApplyChanges(ctx, siteConsoleClient(site.Instances()[0]), changes...)).To(Succeed())
	Expect(stager.AwaitModel(ctx, site.Instances()[0].Callers, apiKeys["hives"], "letters")).To(Succeed())
	return site, apiKeys
}

var _ = Describe("untrusted input", func() {
	// Guards against invalid requests that stop an instance or leave open whether
	// they ran.
	It("that is invalid is rejected with a matching status, and the instance keeps serving", func() {
		site, apiKeys := startServingSite(func(config *stager.Config) {
			config.Settings.Calls.MaxBodyBytes = 4096
		})
		address := site.Instances()[0].Callers
		c := caller.New(apiKeys["hives"])
		const chat = "/v1/chat/completions"
		for _, request := range []struct {
			method, target, body string
			header               http.Header
			status               int
		}{
			{method: http.MethodPost, target: chat, body: "{", status: http.StatusBadRequest},
			{method: http.MethodPost, target: chat, body: `{"model":"nobody","messages":[]}`, status: http.StatusNotFound},
			{method: http.MethodGet, target: chat, status: http.StatusMethodNotAllowed},
			{method: http.MethodPost, target: chat, body: strings.Repeat("x", 5000), status: http.StatusRequestEntityTooLarge},
			{method: http.MethodPost, target: "/nowhere", status: http.StatusNotFound},
			{method: http.MethodPost, target: "/orders/../stock", status: http.StatusBadRequest},
		} {
			reply, err := c.Send(context.Background(), request.method, address, request.target, request.header, request.body)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Status).To(Equal(request.status), request.target+" "+string(reply.Body))
			Expect(reply.Outcome()).To(Equal("not_run"), request.target)
		}
		oversized, err := c.Send(context.Background(), http.MethodGet, address, "/stock",
			http.Header{"X-Huge": {strings.Repeat("h", 64<<10)}}, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(oversized.Status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		valid, err := c.Complete(context.Background(), address, caller.Prompt{Model: "letters", Content: "x", Tokens: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(valid.Status).To(Equal(http.StatusOK))
	})

	// Guards against callers that occupy a connection by never completing a body.
	It("times out when a body arrives too slowly", func() {
		site, apiKeys := startServingSite(func(config *stager.Config) {
			config.Settings.Calls.BodyTimeout = daemon.Duration(300 * time.Millisecond)
		})
		conn, err := net.Dial("tcp", site.Instances()[0].Callers)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", apiKeys["hives"])
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(3 * time.Second))).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
	})

	// Guards against credentials, hop-by-hop headers and forged identities that
	// reach an upstream. Upstreams trust X-Workspace and X-Request-Id.
	It("in headers is not forwarded to an upstream", func() {
		site, apiKeys := startServingSite(func(*stager.Config) {})
		header := http.Header{
			"Connection":   {"keep-alive, X-Secret"},
			"X-Secret":     {"hop"},
			"X-Workspace":  {"shoes"},
			"X-Request-Id": {"forged"},
			"Cookie":       {"session=1"},
			"X-Kept":       {"yes"},
		}
		reply, err := caller.New(apiKeys["hives"]).Send(context.Background(), http.MethodPost,
			site.Instances()[0].Callers, "/orders", header, "{}")
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(http.StatusOK))
		executions := site.Services[0].Server.Executions()
		Expect(executions).To(HaveLen(1))
		forwarded := executions[0].Header
		Expect(forwarded.Get("X-Workspace")).To(Equal("hives"))
		Expect(forwarded.Get("X-Request-Id")).NotTo(Equal("forged"))
		Expect(forwarded.Get("X-Kept")).To(Equal("yes"))
		Expect(forwarded.Get("Connection")).NotTo(ContainSubstring("X-Secret"))
		for _, name := range []string{"Authorization", "Cookie", "X-Secret"} {
			Expect(forwarded.Values(name)).To(BeEmpty(), name)
		}
	})
})

var _ = Describe("the operator listener", func() {
	// Guards against operators who edit rows without the editor role.
	It("lets readers read and editors edit, and rejects requests without a token", func() {
		digest := func(token string) crocushollow.Digest { return sha256.Sum256([]byte(token)) }
		site := startSite(1, func(config *stager.Config) {
			config.Settings.Operators = []daemon.OperatorSettings{
				{Name: "rita", TokenSHA256: digest("r"), Role: console.Reader},
				{Name: "ed", TokenSHA256: digest("e"), Role: console.Editor},
			}
		})
		address := site.Instances()[0].Console
		row := console.NewInsert(crocushollow.Workspace{ID: "w", TokenRate: 1, TokenBurst: 1, Weight: 1})
		ctx := contextWithTimeout(10 * time.Second)
		_, err := console.Client{Address: address}.Status(ctx)
		Expect(err).To(MatchError(ContainSubstring("401")))
		reader := console.Client{Address: address, Token: "r"}
		_, err = reader.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = reader.Edit(ctx, []console.Change{row})
		Expect(err).To(MatchError(ContainSubstring("403")))
		Expect(stager.ApplyChanges(ctx, console.Client{Address: address, Token: "e"}, row)).To(Succeed())
		history, err := reader.History(ctx, crocushollow.RowRef{Table: crocushollow.WorkspaceTable, ID: "w"})
		Expect(err).NotTo(HaveOccurred())
		Expect(history[0].Author).To(Equal("ed"))
	})

	// Guards against web pages that edit rows through an operator's browser.
	It("rejects cross-site requests", func() {
		site := startSite(1, func(*stager.Config) {})
		reply, err := caller.New("").Send(context.Background(), http.MethodPost, site.Instances()[0].Console, "/edits",
			http.Header{"Origin": {"http://elsewhere.example"}}, "{}")
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(http.StatusForbidden))
	})
})
