package shutdown

import (
	"sync"
	"time"

	"citrontray.example/citrontray/internal/traffic"
)

const (
	// meanWeight and deviationWeight are the weights of the newest sample.
	meanWeight      = 0.125
	deviationWeight = 0.25
	// deviations is how many mean deviations above the mean a request is expected to take
	// at most.
	deviations = 3
	// unknownWork is the work time of a route without samples.
	unknownWork = 500 * time.Millisecond
)

// WorkTimes estimates how long the requests of each route take at targets, their wait there
// included. Safe for concurrent use.
type WorkTimes struct {
	mu     sync.Mutex
	routes map[traffic.RouteName]workTime
}

// workTime is the moving mean of the samples of one route and their mean deviation from it.
type workTime struct{ mean, deviation time.Duration }

// NewWorkTimes returns WorkTimes without samples.
func NewWorkTimes() *WorkTimes {
	return &WorkTimes{routes: make(map[traffic.RouteName]workTime)}
}

// Record records how long a request took.
func (w *WorkTimes) Record(route traffic.RouteName, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, known := w.routes[route]
	if !known {
		w.routes[route] = workTime{took, took / 2}
		return
	}
	t.deviation += time.Duration(deviationWeight * float64((took-t.mean).Abs()-t.deviation))
	t.mean += time.Duration(meanWeight * float64(took-t.mean))
	w.routes[route] = t
}

// Longest returns how long a request of the route is expected to take at most.
func (w *WorkTimes) Longest(route traffic.RouteName) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, known := w.routes[route]
	if !known {
		return unknownWork
	}
	return t.mean + deviations*t.deviation
}
