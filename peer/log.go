package peer

import (
	"fmt"
	"log/slog"
)

// slogLogger forwards the log of the event loop to slog; information lines become debug lines because only debugging needs them.
type slogLogger struct{}

func (slogLogger) Debugf(f string, args ...any) { slog.Debug(fmt.Sprintf(f, args...)) }
func (slogLogger) Infof(f string, args ...any)  { slog.Debug(fmt.Sprintf(f, args...)) }
func (slogLogger) Warnf(f string, args ...any)  { slog.Warn(fmt.Sprintf(f, args...)) }
func (slogLogger) Errorf(f string, args ...any) { slog.Error(fmt.Sprintf(f, args...)) }
func (slogLogger) Fatalf(f string, args ...any) { slog.Error(fmt.Sprintf(f, args...)) }
