package catalog_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/catalog"
)

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catalog")
}

func route(host, prefix string) catalog.Route {
	return catalog.Route{
		Name: host + prefix, Host: host, PathPrefix: prefix, Timeout: time.Second,
		WeightedServices: []catalog.WeightedService{{Service: "desk", Weight: 1}},
	}
}

func mustCatalog(config catalog.Config) *catalog.Catalog {
	GinkgoHelper()
	c, err := catalog.New(config)
	Expect(err).NotTo(HaveOccurred())
	return c
}

var _ = Describe("Catalog", func() {
	It("matches the longest prefix of the host's routes", func() {
		c := mustCatalog(catalog.Config{Routes: []catalog.Route{
			route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/"),
		}})
		for path, want := range map[string]string{"/x/1": "/x/", "/x/y/1": "/x/y/", "/x/yz": "/x/", "/x/y": "/x/"} {
			found, ok := c.Match("a.example:80", path)
			Expect(ok).To(BeTrue(), path)
			Expect(found.PathPrefix).To(Equal(want), path)
		}
		_, ok := c.Match("a.example", "/z")
		Expect(ok).To(BeFalse())
		_, ok = c.Match("c.example", "/x/1")
		Expect(ok).To(BeFalse())
		found, ok := c.Match("B.Example", "/any/thing")
		Expect(ok).To(BeTrue())
		Expect(found.PathPrefix).To(Equal("/"))
	})

	It("rejects invalid tables", func() {
		for _, config := range []catalog.Config{
			{Routes: []catalog.Route{{Host: "a", PathPrefix: "/x/"}}},
			{Routes: []catalog.Route{route("a", "x/")}},
			{Routes: []catalog.Route{route("a", "/x")}},
			{Keys: map[crocushollow.Digest]string{crocushollow.DigestKey("k"): "nobody"}},
		} {
			_, err := catalog.New(config)
			Expect(err).To(MatchError(catalog.ErrInvalid))
		}
	})

	It("finds the workspace of an API key", func() {
		c := mustCatalog(catalog.Config{
			Workspaces: []catalog.Workspace{{Name: "hives"}},
			Keys:       map[crocushollow.Digest]string{crocushollow.DigestKey("k"): "hives"},
		})
		workspace, found := c.WorkspaceByKey(crocushollow.DigestKey("k"))
		Expect(found).To(BeTrue())
		Expect(workspace.Name).To(Equal("hives"))
		_, found = c.WorkspaceByKey(crocushollow.DigestKey("other"))
		Expect(found).To(BeFalse())
	})

	It("splits requests by the services' weights", func() {
		r := catalog.Route{WeightedServices: []catalog.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
		count := 0
		for i := range 1000 {
			if r.PickService(float64(i)/1000) == "b" {
				count++
			}
		}
		Expect(count).To(Equal(100))
	})

	It("allows retries only of idempotent and resumable requests", func() {
		for kind, want := range map[catalog.RouteKind]bool{catalog.Idempotent: true, catalog.NonIdempotent: false, catalog.Streaming: false} {
			Expect((&catalog.Route{Kind: kind}).IsRetryable()).To(Equal(want))
		}
		Expect((&catalog.Route{Kind: catalog.Streaming, Resumable: true}).IsRetryable()).To(BeTrue())
	})
})

// TestMatchAgainstScan compares Match with a linear scan of all routes.
func TestMatchAgainstScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "ab", ""})
		path := func(name string) string {
			text := "/"
			for i := range rapid.IntRange(0, 4).Draw(t, name) {
				text += segment.Draw(t, fmt.Sprint(name, i)) + "/"
			}
			return text
		}
		var config catalog.Config
		for i := range rapid.IntRange(1, 8).Draw(t, "routes") {
			config.Routes = append(config.Routes, route("h", path(fmt.Sprint("route", i))))
		}
		c, err := catalog.New(config)
		if err != nil {
			t.Fatal(err)
		}
		requested := path("requested") + segment.Draw(t, "last")
		longest := ""
		for _, r := range config.Routes {
			if len(r.PathPrefix) > len(longest) && len(requested) >= len(r.PathPrefix) && requested[:len(r.PathPrefix)] == r.PathPrefix {
				longest = r.PathPrefix
			}
		}
		found, ok := c.Match("h", requested)
		if ok != (longest != "") || ok && found.PathPrefix != longest {
			t.Fatalf("match of %q: %v, want %q", requested, found, longest)
		}
	})
}

// BenchmarkMatch measures matching among 2,000 routes.
func BenchmarkMatch(b *testing.B) {
	var config catalog.Config
	for i := range 2000 {
		config.Routes = append(config.Routes, route(fmt.Sprintf("h%d", i%50), fmt.Sprintf("/a%d/b/", i)))
	}
	c, err := catalog.New(config)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, found := c.Match("h7", "/a1007/b/c/d"); !found {
			b.Fatal("not found")
		}
	}
}
