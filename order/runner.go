package order

import (
	"context"

	"bilberryshelf/logs"
)

// Runner runs a guard until it is stopped.
type Runner struct {
	guard *Guard
	ctx   context.Context
	stop  context.CancelFunc
	done  chan struct{}
}

// NewRunner returns a runner for a guard.
func NewRunner(gu *Guard) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{guard: gu, ctx: ctx, stop: cancel, done: make(chan struct{})}
}

// Run runs the guard until Stop.
func (ru *Runner) Run() error {
	defer close(ru.done)
	ru.guard.Run(ru.ctx)
	return nil
}

// Stop ends the guard. The engine completes an order in progress.
func (ru *Runner) Stop() {
	logs.Info(ru.guard.Logger, "stopping")
	ru.stop()
}

// Done returns a channel that is closed when the guard has ended.
func (ru *Runner) Done() <-chan struct{} { return ru.done }
