package proxy

import (
	"io"
	"sync/atomic"
)

const (
	// minBufferBytes is the memory that every response may use for bytes that cannot
	// be forwarded yet.
	minBufferBytes = 4 << 10
	// maxResponseBytes is the maximum size of a response that is not streamed. Such a
	// response is buffered in memory until it is complete.
	maxResponseBytes = 16 << 20
	// maxEventBytes is the maximum size of an event, and the maximum number of bytes
	// of a stream without an event that has an ID.
	maxEventBytes = 1 << 20
)

// memoryBudget is the memory that the buffers of all responses share. It is safe for
// concurrent use.
type memoryBudget struct {
	capacity int64
	used     atomic.Int64
}

// take reports whether the budget has bytes left, and takes them if it has.
func (b *memoryBudget) take(bytes int64) bool {
	if b.used.Add(bytes) <= b.capacity {
		return true
	}
	b.used.Add(-bytes)
	return false
}

// responseBuffer holds the bytes of a response that cannot be forwarded yet. What
// exceeds minBufferBytes is taken from the budget.
type responseBuffer struct {
	budget *memoryBudget
	// limit is the maximum size of the buffer.
	limit int
	bytes []byte
	taken int64
}

func newResponseBuffer(budget *memoryBudget, limit int) *responseBuffer {
	return &responseBuffer{budget: budget, limit: limit, bytes: make([]byte, 0, minBufferBytes)}
}

// read reads from a response once. It returns errResponseTooLarge if the buffer is
// full and cannot grow.
func (b *responseBuffer) read(reader io.Reader) error {
	if len(b.bytes) == cap(b.bytes) {
		if err := b.grow(); err != nil {
			return err
		}
	}
	n, err := reader.Read(b.bytes[len(b.bytes):cap(b.bytes)])
	b.bytes = b.bytes[:len(b.bytes)+n]
	return err
}

func (b *responseBuffer) grow() error {
	added := cap(b.bytes)
	if 2*added > b.limit || !b.budget.take(int64(added)) {
		return errResponseTooLarge
	}
	b.taken += int64(added)
	b.bytes = append(make([]byte, 0, 2*added), b.bytes...)
	return nil
}

// consume removes the first bytes.
func (b *responseBuffer) consume(count int) {
	b.bytes = b.bytes[:copy(b.bytes, b.bytes[count:])]
}

// release gives the memory back.
func (b *responseBuffer) release() {
	b.budget.used.Add(-b.taken)
	b.taken, b.bytes = 0, nil
}
