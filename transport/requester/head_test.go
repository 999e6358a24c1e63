package requester

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// statusLines is the number of status lines at the beginning of headParts.
const statusLines = 3

// headParts are parts of which heads are made.
var headParts = []string{
	"HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n", "HTTP/1.0 404\n", "HTTP/1.1", "200", "100", "101", "000",
	"\r\n", "\r\n", "\n", "\r", " ", "\t", ":", "Name: value\r\n", "Name", "Content-Length: 0\r\n", "\x01",
}

// parsedBytes returns the length of the heads up to that of a final response. It returns false if
// net/http accepts no such head.
func parsedBytes(text string) (int, bool) {
	unread := strings.NewReader(text)
	reader := bufio.NewReader(unread)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return 0, false
		}
		if response.StatusCode < http.StatusContinue || response.StatusCode >= http.StatusOK {
			return len(text) - reader.Buffered() - unread.Len(), true
		}
	}
}

// checkedBytes returns the length of the heads up to that of a final response, or that of the text if
// they do not end. It returns an error if the checker does not accept them.
func checkedBytes(text string) (int, error) {
	var checker headChecker
	for n := range len(text) {
		if _, err := checker.check([]byte{text[n]}); err != nil || checker.state == inBody {
			return n + 1, err
		}
	}
	return len(text), nil
}

// TestHeadEndsWhereNetHTTPEndsIt guards against bytes of a body that are checked as a head, and
// against a head that is not checked to its end.
func TestHeadEndsWhereNetHTTPEndsIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		statusLine := rapid.SampledFrom(headParts[:statusLines]).Draw(t, "status line")
		parts := rapid.SliceOfN(rapid.SampledFrom(headParts), 0, 12).Draw(t, "parts")
		text := statusLine + strings.Join(parts, "") + "\r\n\r\nbody"
		parsed, isParsed := parsedBytes(text)
		if !isParsed {
			t.Skip("net/http accepts no such response")
		}
		if checked, err := checkedBytes(text); err == nil && checked != parsed {
			t.Fatalf("%q: the head ends after %d bytes, in net/http after %d", text, checked, parsed)
		}
	})
}
