package transfer

import "citrontray.example/citrontray/internal/traffic"

const (
	// defaultSize is the estimate for a route without a response so far: somewhat above the
	// average of 90 KB of the known downloads.
	defaultSize Bytes = 128 << 10
	// minSize is the least estimate, the overhead of any response.
	minSize Bytes = 1 << 10
	// meanGain and spreadGain are the weights of a new response. Sizes vary by a factor of
	// ten from one response to the next, so that one of them has little weight.
	meanGain, spreadGain = 1.0 / 16, 1.0 / 16
	// maxRoutes bounds the routes of which sizes are kept. Names come and go with
	// configurations.
	maxRoutes = 1000
)

// size is the distribution of the sizes of a route's responses.
type size struct{ mean, spread float64 }

// sizes estimates the sizes of responses, which are known only once they begin.
type sizes map[traffic.RouteName]size

// estimate returns the size to expect of a route's next response: the mean, as several are
// under way at a time, and a spread for the case that it is alone.
func (s sizes) estimate(route traffic.RouteName) Bytes {
	known, ok := s[route]
	if !ok {
		return defaultSize
	}
	return max(Bytes(known.mean+known.spread), minSize)
}

// observe records the size of a response.
func (s sizes) observe(route traffic.RouteName, n Bytes) {
	sample := float64(n)
	known, ok := s[route]
	switch {
	case ok:
		deviation := max(sample-known.mean, known.mean-sample)
		known.spread += spreadGain * (deviation - known.spread)
		known.mean += meanGain * (sample - known.mean)
	case len(s) >= maxRoutes:
		clear(s)
		fallthrough
	default:
		known = size{mean: sample, spread: sample / 2}
	}
	s[route] = known
}
