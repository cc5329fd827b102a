package logs

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Debug, Info, Warn and Error log a message with pairs of keys and values. The loggers of
// this package never return an error. An error of another logger is ignored, because
// there is nowhere else to report it.

// Debug logs details that help to debug the program.
func Debug(lg log.Logger, msg string, keyvals ...any) { logMessage(level.Debug(lg), msg, keyvals) }

// Info logs a decision or a change of state.
func Info(lg log.Logger, msg string, keyvals ...any) { logMessage(level.Info(lg), msg, keyvals) }

// Warn logs a failure that is handled.
func Warn(lg log.Logger, msg string, keyvals ...any) { logMessage(level.Warn(lg), msg, keyvals) }

// Error logs a failure that an operator must look at.
func Error(lg log.Logger, msg string, keyvals ...any) { logMessage(level.Error(lg), msg, keyvals) }

// maxValue is the longest text that is logged as one value, in bytes. Lines that wait for a
// slow output would otherwise hold whatever a client sends as an id or a path.
const maxValue = 512

func logMessage(lg log.Logger, msg string, keyvals []any) {
	all := append([]any{"msg", msg}, keyvals...)
	for at, value := range all {
		if text, isText := value.(string); isText && len(text) > maxValue {
			all[at] = text[:maxValue] + "..."
		}
	}
	_ = lg.Log(all...)
}
