package logging

import (
	"fmt"
	"log/slog"
	"runtime/debug"
)

// LogPanic logs the value that recover returned, with the stack, for a
// component that continues without the work that panicked.
func LogPanic(log *slog.Logger, component string, cause any) {
	log.Error("Component panicked, its current work is abandoned.", slog.String("panicked", component), slog.String("cause", fmt.Sprint(cause)),
		slog.String("stack", string(debug.Stack())))
}
