package host

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// settingsInterval is the time between two checks of the settings file, which may
// change without a signal.
const settingsInterval = 2 * time.Second

// loopSettings reloads the settings file until ctx ends.
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

// reload reads the settings file and puts its bounds in force. The host name and the
// socket addresses can't change before the next start.
func (h *Host) reload(why string) {
	next, err := h.env.ReadSite()
	if err != nil {
		h.log.Error("Settings file not read, keeping the last settings.", slog.Any("error", err))
		return
	}
	if next.Host != h.site.Host || next.Front != h.site.Front || next.Peer != h.site.Peer || next.Ready != h.site.Ready {
		h.log.Warn("Settings file has another host name or other addresses, which take effect at the next start.",
			slog.String("host", string(next.Host)), slog.String("front", next.Front.String()))
	}
	if next.Bounds == *h.bounds.Load() {
		if why == "signal" {
			h.log.Info("Settings file reloaded, nothing changed.")
		}
		return
	}
	h.setBounds(next.Bounds)
	h.log.Info("Settings file reloaded.", slog.String("why", why), millisAttr("grace", next.Bounds.Grace),
		millisAttr("drain", next.Bounds.Drain), slog.Float64("retries", next.Bounds.Retry.Ratio))
}
