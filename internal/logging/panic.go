package logging

import (
	"fmt"
	"log/slog"
	"runtime/debug"
)

// LogPanic logs what recover returned, with the stack, in the part of a process
// that goes on without what it was doing.
func LogPanic(log *slog.Logger, part string, cause any) {
	log.Error("Part panicked, what it was doing ends.", slog.String("panicked", part), slog.String("cause", fmt.Sprint(cause)),
		slog.String("stack", string(debug.Stack())))
}
