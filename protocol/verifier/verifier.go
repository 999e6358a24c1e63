// Package verifier checks that responses which end with their connection are whole.
package verifier

import (
	"encoding/json"
	"errors"
	"mime"
	"net/http"
	"strings"
)

// ErrIncomplete reports a response that was broken off although its connection was closed in the
// usual way.
var ErrIncomplete = errors.New("the connection ended before the JSON document of the response")

// CheckComplete returns an error if the body of a response with neither a length nor chunks shows
// that it is not whole.
func CheckComplete(header http.Header, body []byte) error {
	if isJSON(header.Get("Content-Type")) && !json.Valid(body) {
		return ErrIncomplete
	}
	return nil
}

func isJSON(contentType string) bool {
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && (mediaType == "application/json" || strings.HasSuffix(mediaType, "+json"))
}
