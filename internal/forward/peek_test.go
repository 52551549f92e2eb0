package forward

import (
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestIdleDuringRead checks that Idle does not block while another goroutine reads from
// the connection.
func TestIdleDuringRead(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = client.Close() }()
	server, err := l.Accept()
	assert.NilError(t, err)
	defer func() { _ = server.Close() }()
	go func() { _, _ = server.Read(make([]byte, 1)) }()
	time.Sleep(20 * time.Millisecond)
	sysConn, ok := server.(syscall.Conn)
	assert.Assert(t, ok)
	raw, err := sysConn.SyscallConn()
	assert.NilError(t, err)
	done := make(chan bool)
	go func() { done <- Idle(raw) }()
	select {
	case idle := <-done:
		assert.Assert(t, idle)
	case <-time.After(2 * time.Second):
		t.Fatal("Idle blocks on the reader")
	}
}
