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

// startServingSite runs one instance with engines, a service and the sample
// rows.
func startServingSite(change func(*stager.Config)) (*stager.Site, map[string]string) {
	GinkgoHelper()
	site := startSite(1, func(config *stager.Config) {
		config.Engines, config.Services = 3, 1
		change(config)
	})
	rows, secrets := site.Rows(stager.SampleWorkload(), stager.Direct)
	var changes []console.Change
	for _, row := range rows {
		changes = append(changes, console.NewInsert(row))
	}
	ctx := ctxOf(20 * time.Second)
	Expect(stager.Edit(ctx, consoleAt(site.Instances()[0]), changes...)).To(Succeed())
	Expect(stager.AwaitModel(ctx, site.Instances()[0].Callers, secrets["hives"], "letters")).To(Succeed())
	return site, secrets
}

var _ = Describe("bad input", func() {
	It("gets a typed refusal, and the instance goes on", func() {
		site, secrets := startServingSite(func(config *stager.Config) {
			config.Settings.Calls.MaxBodyBytes = 4096
		})
		address := site.Instances()[0].Callers
		c := caller.New(secrets["hives"])
		const chat = "/v1/chat/completions"
		for _, bad := range []struct {
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
			reply, err := c.Send(context.Background(), bad.method, address, bad.target, bad.header, bad.body)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Status).To(Equal(bad.status), bad.target+" "+string(reply.Body))
			Expect(reply.Outcome()).To(Equal("not_run"), bad.target)
		}
		huge, err := c.Send(context.Background(), http.MethodGet, address, "/stock",
			http.Header{"X-Huge": {strings.Repeat("h", 64<<10)}}, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(huge.Status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		good, err := c.Complete(context.Background(), address, caller.Prompt{Model: "letters", Content: "x", Tokens: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(good.Status).To(Equal(http.StatusOK))
	})

	It("of a slow writer is given up in time", func() {
		site, secrets := startServingSite(func(config *stager.Config) {
			config.Settings.Calls.BodyTimeout = daemon.Duration(300 * time.Millisecond)
		})
		conn, err := net.Dial("tcp", site.Instances()[0].Callers)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", secrets["hives"])
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(3 * time.Second))).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
	})

	It("in headers reaches no upstream", func() {
		site, secrets := startServingSite(func(*stager.Config) {})
		header := http.Header{
			"Connection":   {"keep-alive, X-Secret"},
			"X-Secret":     {"hop"},
			"X-Workspace":  {"shoes"},
			"X-Request-Id": {"forged"},
			"Cookie":       {"session=1"},
			"X-Kept":       {"yes"},
		}
		reply, err := caller.New(secrets["hives"]).Send(context.Background(), http.MethodPost,
			site.Instances()[0].Callers, "/orders", header, "{}")
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(http.StatusOK))
		executions := site.Services[0].Server.Executions()
		Expect(executions).To(HaveLen(1))
		seen := executions[0].Header
		Expect(seen.Get("X-Workspace")).To(Equal("hives"))
		Expect(seen.Get("X-Request-Id")).NotTo(Equal("forged"))
		Expect(seen.Get("X-Kept")).To(Equal("yes"))
		Expect(seen.Get("Connection")).NotTo(ContainSubstring("X-Secret"))
		for _, name := range []string{"Authorization", "Cookie", "X-Secret"} {
			Expect(seen.Values(name)).To(BeEmpty(), name)
		}
	})
})

var _ = Describe("the operators' listener", func() {
	It("lets readers read, editors edit and nobody else in", func() {
		digest := func(token string) crocushollow.Digest { return sha256.Sum256([]byte(token)) }
		site := startSite(1, func(config *stager.Config) {
			config.Settings.Operators = []daemon.OperatorSetting{
				{Name: "rita", TokenSHA256: digest("r"), Role: console.Reader},
				{Name: "ed", TokenSHA256: digest("e"), Role: console.Editor},
			}
		})
		address := site.Instances()[0].Console
		row := console.NewInsert(crocushollow.Workspace{ID: "w", TokenRate: 1, TokenBurst: 1, Weight: 1})
		ctx := ctxOf(10 * time.Second)
		_, err := console.Client{Address: address}.Status(ctx)
		Expect(err).To(MatchError(ContainSubstring("401")))
		reader := console.Client{Address: address, Token: "r"}
		_, err = reader.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = reader.Edit(ctx, []console.Change{row})
		Expect(err).To(MatchError(ContainSubstring("403")))
		Expect(stager.Edit(ctx, console.Client{Address: address, Token: "e"}, row)).To(Succeed())
		history, err := reader.History(ctx, crocushollow.RowRef{Table: crocushollow.WorkspaceTable, ID: "w"})
		Expect(err).NotTo(HaveOccurred())
		Expect(history[0].Author).To(Equal("ed"))
	})

	It("refuses cross-site requests", func() {
		site := startSite(1, func(*stager.Config) {})
		reply, err := caller.New("").Send(context.Background(), http.MethodPost, site.Instances()[0].Console, "/edits",
			http.Header{"Origin": {"http://elsewhere.example"}}, "{}")
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(http.StatusForbidden))
	})
})
