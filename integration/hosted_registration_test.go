package integration_test

import (
	"encoding/json"
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

var _ = Describe("Instances that read an odd registration of another writer", func() {
	registration := func(fields string) []byte {
		return []byte(`{"service":"writer","address":"127.0.0.1:9","zone":"za","version":"v1","slots":64,"state":"ready",` +
			`"coldLeftMs":0,"seq":1,"born":1,"models":[{"name":"m0","version":1,"adapters":[]}],` + fields + `}`)
	}
	nested := func(depth int) string {
		return `"later":` + strings.Repeat("[", depth) + strings.Repeat("]", depth)
	}

	// Guards against an instance that ends or stops following the registrations, or sends
	// requests to an upstream that does not exist.
	It("go on, follow later registrations, and use no upstream that it names", func() {
		f := startHostedFleet(2)
		for name, content := range map[string][]byte{
			"that is nested deeply":                              registration(nested(9000)),
			"that is nested more deeply than the decoder allows": registration(nested(100_000)),
			"with a port out of range":                           registration(`"address":"127.0.0.1:99999"`),
			"with port 0":                                        registration(`"address":"127.0.0.1:0"`),
			"without a host":                                     registration(`"address":":8080"`),
			"with an address of no single host":                  registration(`"address":"0.0.0.0:8080"`),
			"with a multicast address":                           registration(`"address":"224.0.0.1:8080"`),
			"with more slots than an integer holds":              registration(`"slots":1e30`),
			"with very many slots":                               registration(`"slots":9223372036854775807`),
			"with a negative number of slots":                    registration(`"slots":-1`),
			"with a cold start longer than a number holds":       registration(`"coldLeftMs":1e400`),
			"with an endless cold start":                         registration(`"coldLeftMs":1e300`),
			"with a sequence number too large":                   registration(`"seq":1e30`),
			"with a start too large":                             registration(`"born":99999999999999999999`),
			"with a start in the far future":                     registration(`"born":9223372036854775807`),
			"with a weight version too large":                    registration(`"models":[{"name":"m0","version":1e30}]`),
			"with a start that is not a whole number":            registration(`"born":1.5`),
			"with very many adapters":                            registration(`"models":[{"name":"m0","version":1,"adapters":[` + strings.Repeat(`"a",`, 60_000) + `"a"]}]`),
			"with a very long name":                              registration(`"zone":"` + strings.Repeat("z", 200_000) + `"`),
		} {
			f.PutRegistration("i-odd-"+strings.ReplaceAll(name, " ", "-"), content)
		}
		f.StartUpstream(platformtest.UpstreamConfig{ID: "i-later", Service: platformtest.PlainService, Zone: "za", Slots: 4})
		f.DeregisterUpstream("i-c")
		f.DeregisterUpstream("i-d")
		for n := range f.Instances {
			Eventually(func() string {
				return f.sendTo(n, stockRequest()).Header.Get("X-Response-Stamp")
			}, drainTimeout, "20ms").Should(Equal("stamp-i-later"))
			for range 40 {
				answer := f.sendTo(n, notesRequest())
				Expect(answer.Status).To(Equal(200))
				Expect(answer.Duration).To(BeNumerically("<", time.Second))
			}
			Expect(f.Instances[n].Done()).NotTo(BeClosed())
		}
	})

	// Guards against an engine that is lost, since its next registrations look older than
	// the odd one under its ID.
	DescribeTable("go on with the engine whose ID another writer has used", func(field string, value any) {
		f := startHostedFleet(2)
		f.DeregisterUpstream("i-b")
		time.Sleep(500 * time.Millisecond)
		var fields map[string]any
		Expect(json.Unmarshal(f.Upstreams()["i-a"].Registration("ready"), &fields)).To(Succeed())
		fields["address"], fields["born"] = "127.0.0.1:9", int64(fields["born"].(float64))
		fields[field] = value
		content, err := json.Marshal(fields)
		Expect(err).NotTo(HaveOccurred())
		f.PutRegistration("i-a", content)
		time.Sleep(time.Second)
		for n := range f.Instances {
			for range 10 {
				Expect(f.sendTo(n, notesRequest()).Status).To(Equal(200))
			}
		}
	},
		Entry("with a start in the far future", "born", int64(1)<<53),
		Entry("with the largest start", "born", int64(math.MaxInt64)),
		Entry("with a large sequence number", "seq", int64(1)<<53),
		Entry("with the largest sequence number", "seq", int64(math.MaxInt64)),
		Entry("with an endless cold start", "coldLeftMs", 1e300),
	)
})
