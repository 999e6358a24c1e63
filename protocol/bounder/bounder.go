// Package bounder bounds the memory of all responses together that are read into memory, and
// what errors and log lines quote of them.
package bounder

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
)

// ErrFull reports a response that exceeds its limit, or the memory that is left.
var ErrFull = errors.New("the response or one of its events is too large for the memory that is left")

// MinBytes is the memory that every buffer may use beside the budget.
const MinBytes = 4 << 10

// Buffers of up to smallBytes have a part of the budget, 1/smallDivisor, for themselves: a few
// responses without end must not take the memory that most responses need.
const (
	smallBytes   = 64 << 10
	smallDivisor = 4
)

// Budget is the memory that buffers share. It is safe for concurrent use.
type Budget struct {
	capacity int64
	used     atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(capacity int64) *Budget { return &Budget{capacity: capacity} }

// take takes bytes for a buffer that holds others, and reports whether it may.
func (b *Budget) take(bytes, held int64) bool {
	limit := b.capacity
	if held+bytes > smallBytes {
		limit -= b.capacity / smallDivisor
	}
	for {
		used := b.used.Load()
		if used+bytes > limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

// Buffer holds the bytes of a response that cannot be forwarded yet. What exceeds MinBytes
// is taken from the budget.
type Buffer struct {
	budget *Budget
	// limit is the maximum size of the buffer.
	limit int
	bytes []byte
	taken int64
}

// NewBuffer returns an empty buffer with a maximum size. The budget gets its memory back with
// Release.
func NewBuffer(budget *Budget, limit int) *Buffer {
	return &Buffer{budget: budget, limit: limit, bytes: make([]byte, 0, min(MinBytes, limit))}
}

// Limit returns the maximum size of the buffer for a response. It is no more than the response
// needs if its header names a length.
func Limit(header http.Header, limit int) int {
	length, err := strconv.Atoi(header.Get("Content-Length"))
	if err != nil || length < 0 || length >= limit {
		return limit
	}
	// A full buffer has no room to notice the end of the response.
	return length + 1
}

// Bytes returns what the buffer holds. It is valid until the next call.
func (b *Buffer) Bytes() []byte { return b.bytes }

// Read reads from a response once. It returns ErrFull if the buffer is full and cannot grow.
func (b *Buffer) Read(reader io.Reader) error {
	if len(b.bytes) == cap(b.bytes) {
		if err := b.grow(); err != nil {
			return err
		}
	}
	n, err := reader.Read(b.bytes[len(b.bytes):cap(b.bytes)])
	b.bytes = b.bytes[:len(b.bytes)+n]
	return err
}

// ReadAll reads a response to its end.
func (b *Buffer) ReadAll(reader io.Reader) error {
	for {
		err := b.Read(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (b *Buffer) grow() error {
	added := min(cap(b.bytes), b.limit-cap(b.bytes))
	if added <= 0 || !b.budget.take(int64(added), b.taken) {
		return ErrFull
	}
	b.taken += int64(added)
	b.bytes = append(make([]byte, 0, cap(b.bytes)+added), b.bytes...)
	return nil
}

// Consume removes the first bytes.
func (b *Buffer) Consume(count int) {
	b.bytes = b.bytes[:copy(b.bytes, b.bytes[count:])]
}

// Release gives the memory back.
func (b *Buffer) Release() {
	b.budget.used.Add(-b.taken)
	b.taken, b.bytes = 0, nil
}
