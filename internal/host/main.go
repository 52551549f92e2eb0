package host

import (
	"context"
	"log/slog"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"citrontray.example/citrontray/internal/version"
)

// logFlushTimeout is how long an ending process waits for its log to be written.
const logFlushTimeout = 200 * time.Millisecond

// heapShare is the share of a host's memory up to which garbage may stay uncollected. The
// rest is for what sockets hold.
const heapShare = 0.6

// Main runs a host until SIGTERM or SIGINT. It returns the exit code: 0 after a
// graceful stop, 1 after a failure, 2 if its sockets can't be opened.
func Main(env Environment) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	defer env.LogHandler.Close(logFlushTimeout)
	log := slog.New(env.LogHandler)
	debug.SetMemoryLimit(int64(heapShare * float64(env.Site.MemoryBytes)))
	h, err := Open(env)
	if err != nil {
		log.Error("Not started.", slog.Any("error", err))
		const usage = 2
		return usage
	}
	log.Info("Started.", slog.String("version", version.String()), slog.String("host", string(h.site.Host)), slog.String("zone", string(h.site.Zone)),
		slog.Uint64("life", uint64(h.incarnation)), slog.String("front", h.site.Front.String()))
	if err := h.Run(ctx); err != nil {
		log.Error("Failed.", slog.Any("error", err))
		return 1
	}
	return 0
}
