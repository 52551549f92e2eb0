package forward

import (
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestIdleDuringRead: the look whether bytes wait on a connection does not
// itself wait for the goroutine that reads it.
func TestIdleDuringRead(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	near, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = near.Close() }()
	far, err := l.Accept()
	assert.NilError(t, err)
	defer func() { _ = far.Close() }()
	go func() { _, _ = far.Read(make([]byte, 1)) }()
	time.Sleep(20 * time.Millisecond)
	conn, ok := far.(syscall.Conn)
	assert.Assert(t, ok)
	raw, err := conn.SyscallConn()
	assert.NilError(t, err)
	done := make(chan bool)
	go func() { done <- Idle(raw) }()
	select {
	case quiet := <-done:
		assert.Assert(t, quiet)
	case <-time.After(2 * time.Second):
		t.Fatal("waits for the reader")
	}
}
