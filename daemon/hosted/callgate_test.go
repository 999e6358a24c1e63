package hosted

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// slowEndListener accepts connections whose last chunk of a response is written late.
type slowEndListener struct{ net.Listener }

func (l slowEndListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowEndConn{conn}, err
}

type slowEndConn struct{ net.Conn }

func (c slowEndConn) Write(p []byte) (int, error) {
	if bytes.HasSuffix(p, []byte("0\r\n\r\n")) {
		time.Sleep(300 * time.Millisecond)
	}
	return c.Conn.Write(p)
}

// Guards against responses that a stop cuts although their calls have ended, because the server
// has not written their end yet.
func TestGateClosesWhenResponsesAreWritten(t *testing.T) {
	var gate callGate
	entered := make(chan struct{})
	server := newServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if !gate.enter(request) {
			t.Error("gate is closed")
		}
		_, _ = io.WriteString(w, "event")
		_ = http.NewResponseController(w).Flush()
		close(entered)
	}))
	gate.observe(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- serve(server, slowEndListener{listener}) }()
	ended := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		ended <- err
	}()
	<-entered
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := gate.close(ctx); err != nil {
		t.Error(err)
	}
	_ = server.Close()
	if err := <-ended; err != nil {
		t.Errorf("response cut: %v", err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}
