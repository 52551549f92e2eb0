package host

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/key"
)

// BenchmarkPath sends requests from 16 clients through three hosts.
func BenchmarkPath(b *testing.B) {
	d := deploy(b, 3, 6, 6)
	d.awaitServed()
	for _, r := range d.targets {
		r.SetFaults(fake.RangeTargetFaults{Work: 2 * time.Millisecond})
	}
	b.ResetTimer()
	var clients sync.WaitGroup
	const many = 16
	for c := range many {
		clients.Go(func() {
			for i := c; i < b.N; i += many {
				path := "/keys/x"
				if i%2 == 0 {
					path = "/free/x"
				}
				if a := d.send(d.hosts[i%3], "GET", path, key.Point(i*977%key.Points)); a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
					b.Errorf("status %d: %v %s", a.status, a.err, a.body)
				}
			}
		})
	}
	clients.Wait()
}

// BenchmarkIdle measures three idle hosts for a second.
func BenchmarkIdle(b *testing.B) {
	d := deploy(b, 3, 6, 6)
	d.awaitServed()
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
}
