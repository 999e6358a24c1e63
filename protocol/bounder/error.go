package bounder

import "strings"

// maxErrorBytes is the maximum size of the text of an error.
const maxErrorBytes = 256

// LimitError limits the text of an error, as that of net/http quotes what a peer has sent.
func LimitError(err error) error {
	if err == nil {
		return nil
	}
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return err
	}
	return &limitedError{text: LimitText(text), err: err}
}

// LimitText returns the beginning of a text that is logged.
func LimitText(text string) string {
	if len(text) <= maxErrorBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxErrorBytes], "?") + "…"
}

type limitedError struct {
	text string
	err  error
}

func (e *limitedError) Error() string { return e.text }

func (e *limitedError) Unwrap() error { return e.err }
