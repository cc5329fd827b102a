package logs

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Debug, Info, Warn and Error log a message with pairs of keys and values. The
// loggers here never fail; with others a line that can't be written is lost, and
// there is nowhere else to say so.

// Debug logs what helps to find a fault in the program.
func Debug(lg log.Logger, msg string, keyvals ...any) { logMessage(level.Debug(lg), msg, keyvals) }

// Info logs a decision or a change of state.
func Info(lg log.Logger, msg string, keyvals ...any) { logMessage(level.Info(lg), msg, keyvals) }

// Warn logs a failure that is handled.
func Warn(lg log.Logger, msg string, keyvals ...any) { logMessage(level.Warn(lg), msg, keyvals) }

// Error logs a failure that somebody must look at.
func Error(lg log.Logger, msg string, keyvals ...any) { logMessage(level.Error(lg), msg, keyvals) }

func logMessage(lg log.Logger, msg string, keyvals []any) {
	_ = lg.Log(append([]any{"msg", msg}, keyvals...)...)
}
