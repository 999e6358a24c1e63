//go:build review

package harness

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that lists what was sent, answered and run.
type record struct {
	mu        sync.Mutex
	file      *os.File
	writer    *bufio.Writer
	startedAt time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), startedAt: time.Now()}, nil
}

// add appends a line with the time since the start.
func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%8.3f  ", time.Since(r.startedAt).Seconds())
	fmt.Fprintf(r.writer, format, arguments...)
	fmt.Fprintln(r.writer)
}

// Close writes the remaining lines.
func (r *record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writer.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
