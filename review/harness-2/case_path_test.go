//go:build review

package harness2

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// sendTarget sends an order with a request target as it is, and returns its ID.
func (i *instance) sendTarget(method, target string) (string, error) {
	id := fmt.Sprintf("%016x", callCount.Add(1))
	conn, err := net.DialTimeout("tcp", i.settings.Callers, time.Second)
	if err != nil {
		return id, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(callerTimeout))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 3\r\n\r\nten",
		method, target, host, id, callerTimeout.Milliseconds(), limitedKey)
	if err != nil {
		return id, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return id, err
	}
	response.Body.Close()
	i.site.log.printf("%s to %s (%s %s): %d", id, i.settings.ID, method, target, response.StatusCode)
	return id, nil
}

// targetOf returns the target of an order. With trouble it has two slashes at the beginning, as from
// a base URL that ends with a slash, or the absolute form of RFC 9112.
func targetOf(round int, trouble bool) string {
	target := fmt.Sprintf("/orders/frames%%2F%d?n=1", round)
	switch {
	case !trouble:
		return target
	case round%2 == 0:
		return "/" + target
	}
	return "http://" + host + target
}

func casePath(s *site, trouble bool) (verdict, error) {
	s.putTable()
	s.addEngines(plainService, 3)
	if err := s.start(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	sent := make(map[string]string)
	for round := range 4 {
		for _, i := range s.instances {
			target := targetOf(round, trouble)
			id, err := i.sendTarget(http.MethodPost, target)
			if err != nil {
				return verdict{}, err
			}
			sent[id] = target
		}
	}
	runs, changed := 0, 0
	for _, e := range s.engines {
		for _, a := range e.seen() {
			if !a.hasRun {
				continue
			}
			runs++
			if a.method != http.MethodPost || a.target != sent[a.id] {
				changed++
				s.log.printf("%s was sent as %s and has run as %s %s", a.id, sent[a.id], a.method, a.target)
			}
		}
	}
	return verdict{isBroken: changed > 0, text: fmt.Sprintf("%d requests were sent, %d have run, %d with another path", len(sent), runs, changed)}, nil
}
