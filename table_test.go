package crocushollow_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow"
)

func TestCrocushollow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crocushollow")
}

func workspace(id string) crocushollow.Workspace {
	return crocushollow.Workspace{ID: id, TokenRate: 100, TokenBurst: 200, Weight: 1}
}

func set(row crocushollow.Row, base uint64) crocushollow.Edit {
	return crocushollow.Edit{
		ID: crocushollow.NewID(), Ref: row.Ref(), BaseRevision: base, Value: crocushollow.NewRowValue(row), Author: "ana",
	}
}

func remove(ref crocushollow.RowRef, base uint64) crocushollow.Edit {
	return crocushollow.Edit{ID: crocushollow.NewID(), Ref: ref, BaseRevision: base, Delete: true, Author: "ana"}
}

var _ = Describe("Table", func() {
	var table *crocushollow.Table
	var offset uint64

	apply := func(edit crocushollow.Edit) error {
		next, err := table.WithEdit(edit, offset)
		offset++
		if err == nil {
			table = next
		}
		return err
	}

	BeforeEach(func() {
		table, offset = crocushollow.NewTable(), 0
		Expect(apply(set(workspace("a"), 0))).To(Succeed())
	})

	It("rejects the second of two edits of the same revision and reports the winner", func() {
		first, second := set(workspace("a"), 1), set(workspace("a"), 1)
		first.Author = "bo"
		Expect(apply(first)).To(Succeed())
		var conflict *crocushollow.ConflictError
		Expect(errors.As(apply(second), &conflict)).To(BeTrue())
		Expect(conflict.Current.Author).To(Equal("bo"))
		Expect(conflict.Current.Revision).To(Equal(uint64(2)))
	})

	It("applies an edit only once if it is appended twice", func() {
		edit := set(workspace("a"), 1)
		Expect(apply(edit)).To(Succeed())
		Expect(apply(edit)).To(Succeed())
		Expect(table.Entry(edit.Ref).Revision).To(Equal(uint64(2)))
	})

	It("rejects an edit based on a row that was deleted and added again", func() {
		ref := workspace("a").Ref()
		Expect(apply(remove(ref, 1))).To(Succeed())
		Expect(apply(set(workspace("a"), 0))).To(Succeed())
		Expect(apply(set(workspace("a"), 1))).To(MatchError(ContainSubstring("revision 3")))
	})

	It("enforces referential integrity", func() {
		key := crocushollow.APIKey{ID: "k", Workspace: "b", Digest: crocushollow.DigestKey("s")}
		Expect(apply(set(key, 0))).To(MatchError("keys/k refers to workspaces/b, which does not exist"))
		key.Workspace = "a"
		Expect(apply(set(key, 0))).To(Succeed())
		Expect(apply(remove(workspace("a").Ref(), 1))).To(MatchError("workspaces/a is referred to by 1 rows"))
		Expect(apply(remove(key.Ref(), table.Entry(key.Ref()).Revision))).To(Succeed())
		Expect(apply(remove(workspace("a").Ref(), 1))).To(Succeed())
	})

	It("finds API keys by digest until they are deleted", func() {
		key := crocushollow.APIKey{ID: "k", Workspace: "a", Digest: crocushollow.DigestKey("s")}
		Expect(apply(set(key, 0))).To(Succeed())
		found, ok := table.APIKeyByDigest(crocushollow.DigestKey("s"))
		Expect(ok).To(BeTrue())
		Expect(found.ID).To(Equal("k"))
		other := key
		other.ID = "l"
		Expect(apply(set(other, 0))).To(MatchError("keys/l: digest is already used by keys/k"))
		Expect(apply(remove(key.Ref(), table.Entry(key.Ref()).Revision))).To(Succeed())
		_, ok = table.APIKeyByDigest(key.Digest)
		Expect(ok).To(BeFalse())
	})

	It("matches the longest prefix at a segment boundary", func() {
		zone := crocushollow.AvailabilityZone{ID: "z", InService: true}
		service := crocushollow.Upstream{
			ID: "s", Kind: crocushollow.ServiceUpstream, Address: "127.0.0.1:1", AvailabilityZone: "z",
			MaxInFlight: 1, ColdMaxInFlight: 1,
		}
		Expect(apply(set(zone, 0))).To(Succeed())
		Expect(apply(set(service, 0))).To(Succeed())
		for id, prefix := range map[string]string{"short": "/orders", "long": "/orders/large"} {
			route := crocushollow.Route{ID: id, PathPrefix: prefix, Upstreams: []string{"s"}, Timeout: time.Second}
			Expect(apply(set(route, 0))).To(Succeed())
		}
		for path, id := range map[string]string{"/orders": "short", "/orders/1": "short", "/orders/large/1": "long", "/orderss": ""} {
			route, found := table.MatchRoute(path)
			Expect(found).To(Equal(id != ""), path)
			Expect(route.ID).To(Equal(id), path)
		}
	})
})

var _ = Describe("cells", func() {
	It("round-trip rows through text", func() {
		row := crocushollow.Route{
			ID: "r", PathPrefix: "/x", Upstreams: []string{"a", "b"}, Retryable: true, Timeout: 3 * time.Second,
		}
		columns, texts := crocushollow.Columns(crocushollow.RouteTable), crocushollow.Cells(row)
		var cells []crocushollow.Cell
		for i, column := range columns {
			cells = append(cells, crocushollow.Cell{Column: column, Text: texts[i]})
		}
		Expect(crocushollow.NewRow(crocushollow.RouteTable, cells)).To(Equal(row))
	})

	It("report the column of an invalid value", func() {
		_, err := crocushollow.WithCells(workspace("a"), []crocushollow.Cell{{Column: "token_rate", Text: "fast"}})
		Expect(err).To(MatchError(`token_rate: "fast" is not a whole number`))
		_, err = crocushollow.WithCells(workspace("a"), []crocushollow.Cell{{Column: "speed", Text: "1"}})
		Expect(err).To(MatchError("speed: no such column"))
	})
})

// filledTable returns a table with the given numbers of workspaces, API keys and
// models.
func filledTable(b *testing.B, workspaces, keys, models int) *crocushollow.Table {
	b.Helper()
	var rows []crocushollow.Row
	for i := range workspaces {
		rows = append(rows, workspace(fmt.Sprintf("w%d", i)))
	}
	for i := range keys {
		rows = append(rows, crocushollow.APIKey{
			ID: fmt.Sprintf("k%d", i), Workspace: fmt.Sprintf("w%d", i%workspaces),
			Digest: crocushollow.DigestKey(fmt.Sprintf("secret-%d", i)),
		})
	}
	for i := range models {
		rows = append(rows, crocushollow.Model{
			ID: fmt.Sprintf("m%d", i), Version: "1", MemoryBytes: 1, MinReplicas: 1, DefaultMaxTokens: 1,
		})
	}
	table := crocushollow.NewTable()
	for i, row := range rows {
		next, err := table.WithEdit(set(row, 0), uint64(i))
		if err != nil {
			b.Fatal(err)
		}
		table = next
	}
	return table
}

// BenchmarkLookUp measures the lookup of the API key, workspace and model of a
// request.
func BenchmarkLookUp(b *testing.B) {
	table := filledTable(b, 1000, 10_000, 300)
	b.ReportAllocs()
	for i := range b.N {
		key, found := table.APIKeyByDigest(crocushollow.DigestKey("secret-1234"))
		_, hasWorkspace := table.Workspace(key.Workspace)
		_, hasModel := table.Model("m123")
		if !found || !hasWorkspace || !hasModel {
			b.Fatal("missing", i)
		}
	}
}

// BenchmarkWithEdit measures applying an edit to a table of 50,000 rows.
func BenchmarkWithEdit(b *testing.B) {
	table := filledTable(b, 1000, 48_700, 300)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		row := workspace(fmt.Sprintf("w%d", i%1000))
		if _, err := table.WithEdit(set(row, table.Entry(row.Ref()).Revision), uint64(i)); err != nil {
			b.Fatal(err)
		}
	}
}
