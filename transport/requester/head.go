package requester

import (
	"bytes"
	"net/http"
	"strings"
)

// HeadError reports a response whose head is broken. Its text has no bytes of the response.
type HeadError struct{ reason string }

// Error implements error.
func (e *HeadError) Error() string { return "broken head of a response: " + e.reason }

var (
	errStatus = &HeadError{"the status is not one of HTTP"}
	errName   = &HeadError{"the name of a field is invalid"}
)

// headState is where the next byte of a response stands.
type headState int

const (
	inStatusLine headState = iota
	atLineStart
	// inEmptyLine is after a carriage return at the start of a line.
	inEmptyLine
	inName
	inValue
	inBody
)

// headChecker checks the head of a response and the heads of the interim responses before it. Its
// zero value expects the first byte of a response.
type headChecker struct {
	state headState
	// statusLine is the beginning of the status line, up to maxStatusBytes.
	statusLine []byte
	isInterim  bool
}

// check checks the next bytes of a response. With an error, it returns how many of them may be
// passed on.
func (c *headChecker) check(p []byte) (int, error) {
	for n, b := range p {
		switch c.state {
		case inBody:
			return len(p), nil
		case inStatusLine:
			if err := c.checkStatusLine(b); err != nil {
				// net/http gets the line: it sends some requests again if a connection fails
				// before the first byte of the response.
				return n + 1, err
			}
		default:
			if err := c.checkField(b); err != nil {
				return n, err
			}
		}
	}
	return len(p), nil
}

// maxStatusBytes is the number of bytes of a status line within which the status ends.
const maxStatusBytes = 64

// checkStatusLine checks the next byte of a status line.
func (c *headChecker) checkStatusLine(b byte) error {
	if b != '\n' {
		if len(c.statusLine) < maxStatusBytes {
			c.statusLine = append(c.statusLine, b)
		}
		return nil
	}
	const afterLastStatus = 600
	status := parseStatus(c.statusLine)
	// No request asks for another protocol.
	if status < http.StatusContinue || status >= afterLastStatus || status == http.StatusSwitchingProtocols {
		return errStatus
	}
	c.statusLine, c.isInterim = c.statusLine[:0], status < http.StatusOK
	c.state = atLineStart
	return nil
}

// statusDigits is the number of digits of a status.
const statusDigits = 3

// parseStatus returns the status of a status line, or 0 if it has none.
func parseStatus(line []byte) int {
	_, rest, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(" "))
	digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(digits) != statusDigits {
		return 0
	}
	status := 0
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0
		}
		status = 10*status + int(digit-'0')
	}
	return status
}

// checkField checks the next byte of a line after the status line. A blank at the start of a line
// is invalid too: lines that continue the one before are obsolete, and look like a field whose name
// begins with a blank.
func (c *headChecker) checkField(b byte) error {
	switch {
	case c.state == inValue:
		if b == '\n' {
			c.state = atLineStart
		}
	case b == '\n' && c.state != inName:
		c.endHead()
	case b == '\r' && c.state == atLineStart:
		c.state = inEmptyLine
	case b == ':' && c.state == inName:
		c.state = inValue
	case isNameByte(b) && c.state != inEmptyLine:
		c.state = inName
	default:
		return errName
	}
	return nil
}

// isNameByte reports whether the name of a field may have a byte (RFC 9110, 5.6.2).
func isNameByte(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' ||
		strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// endHead records the end of a head. That of an interim response is followed by another head.
func (c *headChecker) endHead() {
	c.state = inBody
	if c.isInterim {
		c.state = inStatusLine
	}
}
