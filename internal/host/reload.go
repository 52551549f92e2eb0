package host

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// settingsInterval is the time between two looks at the settings file: it may
// change without a signal.
const settingsInterval = 2 * time.Second

// loopSettings takes over changes of the settings file until ctx ends.
func (h *Host) loopSettings(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangup:
			h.reload("signal")
		case <-ticker.C:
			h.reload("timer")
		}
	}
}

// reload reads the settings file. What names the process and its sockets stays
// as it was at the start; bounds are in force at once.
func (h *Host) reload(why string) {
	next, err := h.env.ReadSite()
	if err != nil {
		h.log.Error("Settings file not read, the last one stays in force.", slog.Any("error", err))
		return
	}
	if next.Host != h.site.Host || next.Front != h.site.Front || next.Peer != h.site.Peer || next.Ready != h.site.Ready {
		h.log.Warn("Settings file names another host or other addresses; they are taken over at the next start.",
			slog.String("host", string(next.Host)), slog.String("front", next.Front.String()))
	}
	if next.Bounds == *h.bounds.Load() {
		if why == "signal" {
			h.log.Info("Settings file read again, nothing changed.")
		}
		return
	}
	h.setBounds(next.Bounds)
	h.log.Info("Settings file read again.", slog.String("why", why), millisAttr("grace", next.Bounds.Grace),
		millisAttr("drain", next.Bounds.Drain), slog.Float64("retries", next.Bounds.Retry.Ratio))
}
