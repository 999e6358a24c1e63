package decoder_test

import (
	"encoding/json"
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/protocol/decoder"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/state/scheduler"
)

func TestDecoder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "decoder")
}

var _ = Describe("Decode", func() {
	It("decodes the fields that routing and accounting need", func() {
		call, err := decoder.Decode(decoder.ChatCompletions,
			[]byte(`{"model":"m","stream":true,"max_tokens":7,"service_tier":"flex","messages":[{"role":"user","content":"hi"}]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(call.Model).To(Equal("m"))
		Expect(call.Stream).To(BeTrue())
		Expect(call.MaxTokens).To(Equal(int64(7)))
		Expect(call.Class).To(Equal(scheduler.Batch))
	})

	It("identifies the messages that other prompts may share, but not the last one", func() {
		decode := func(messages string) []uint64 {
			call, err := decoder.Decode(decoder.ChatCompletions, []byte(`{"model":"m","messages":`+messages+`}`))
			Expect(err).NotTo(HaveOccurred())
			return call.Parts
		}
		first := decode(`[{"role":"system","content":"a"},{"role":"user","content":"b"}]`)
		second := decode(`[{"role":"system","content":"x"},{"role":"system","content":"a"},{"role":"user","content":"c"}]`)
		Expect(first).To(HaveLen(1))
		Expect(second).To(HaveLen(2))
		Expect(second[1]).To(Equal(first[0]))
		Expect(decode(`[{"role":"user","content":"b"}]`)).To(BeEmpty())
		Expect(decode(`"text"`)).To(BeEmpty())
	})

	DescribeTable("rejects invalid bodies with the outcome not_run", func(endpoint decoder.Endpoint, body string) {
		_, err := decoder.Decode(endpoint, []byte(body))
		var apiErr *rejecter.Error
		Expect(errors.As(err, &apiErr)).To(BeTrue())
		Expect(apiErr.Status).To(Equal(400))
		Expect(string(apiErr.Outcome)).To(Equal("not_run"))
	},
		Entry("not JSON", decoder.ChatCompletions, `{`),
		Entry("not an object", decoder.ChatCompletions, `[1]`),
		Entry("no model", decoder.ChatCompletions, `{"messages":[]}`),
		Entry("no prompt", decoder.Completions, `{"model":"m"}`),
		Entry("null input", decoder.Embeddings, `{"model":"m","input":null}`),
		Entry("max_tokens of 0", decoder.Completions, `{"model":"m","prompt":"x","max_tokens":0}`),
		Entry("negative max_tokens", decoder.Completions, `{"model":"m","prompt":"x","max_tokens":-1}`),
	)

	It("sets the default max_tokens in the body as well", func() {
		call, err := decoder.Decode(decoder.Completions, []byte(` { "model":"m","prompt":"x"}`))
		Expect(err).NotTo(HaveOccurred())
		call = call.WithDefaultMaxTokens(50)
		var body struct {
			MaxTokens int    `json:"max_tokens"`
			Model     string `json:"model"`
		}
		Expect(json.Unmarshal(call.Body, &body)).To(Succeed())
		Expect(body.MaxTokens).To(Equal(50))
		Expect(body.Model).To(Equal("m"))
		Expect(call.EstimatedTokens()).To(Equal(int64(51)))
	})
})

// FuzzDecode checks that the body of a decoded call is still valid JSON after
// WithDefaultMaxTokens.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[]}`, `{"model":"m","prompt":"x","max_tokens":1}`, `{"input":[],"model":""}`, `{`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		call, err := decoder.Decode(decoder.Completions, body)
		if err != nil {
			return
		}
		bounded := call.WithDefaultMaxTokens(5)
		if !json.Valid(bounded.Body) || bounded.MaxTokens <= 0 {
			t.Fatalf("%q became %q", body, bounded.Body)
		}
	})
}
