package verifier_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/protocol/verifier"
)

func TestVerifier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "verifier")
}

var _ = DescribeTable("CheckComplete finds parts of JSON documents",
	func(contentType, body string, isComplete bool) {
		err := verifier.CheckComplete(http.Header{"Content-Type": {contentType}}, []byte(body))
		if isComplete {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(err).To(MatchError(verifier.ErrIncomplete))
	},
	Entry("a document", "application/json", `{"a":1}`+"\n", true),
	Entry("a part of one", "application/json", `{"a":`, false),
	Entry("no byte", "application/json", "", false),
	Entry("a part with a character set", "application/json; charset=utf-8", `{"a":`, false),
	Entry("a part of a type that is based on JSON", "application/problem+json", `{"a":`, false),
	Entry("text", "text/plain", `{"a":`, true),
	Entry("no type", "", `{"a":`, true),
)
